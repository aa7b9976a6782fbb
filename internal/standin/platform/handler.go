package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 20

// objectReply answers PUT /objects.
type objectReply struct {
	Digest string `json:"digest"`
}

// Handler serves the platform over HTTP JSON. A commit gets status 200 and a
// Receipt, 409 and a ConflictError, 429 if throttled, or 503 if not applied.
// For a lost reply the connection is closed without a response.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/commit", p.serveCommit)
	mux.HandleFunc("GET /table/row", p.serveRow)
	mux.HandleFunc("GET /table/range", p.serveRange)
	mux.HandleFunc("PUT /objects", p.servePutObject)
	mux.HandleFunc("GET /objects/{digest}", p.serveGetObject)
	mux.HandleFunc("GET /machines", p.serveMachines)
	mux.HandleFunc("PUT /machines/{name}", p.serveAnnounce)
	mux.HandleFunc("DELETE /machines/{name}", p.serveWithdraw)
	mux.HandleFunc("POST /faults", p.serveFaults)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { answer(w, p.Stats()) })
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { answer(w, p.History()) })
	return mux
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var transaction tablestore.Transaction
	if !decode(w, r, &transaction) {
		return
	}
	receipt, err := p.Commit(r.Context(), transaction)
	if err != nil {
		writeError(w, err)
		return
	}
	answer(w, receipt)
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	answer(w, row)
}

func (p *Platform) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		http.Error(w, "limit is not a number", http.StatusBadRequest)
		return
	}
	page, err := p.Range(r.Context(), query.Get("start"), query.Get("end"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	answer(w, page)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	digest, err := p.PutObject(r.Context(), content)
	if err != nil {
		writeError(w, err)
		return
	}
	answer(w, objectReply{Digest: digest})
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	content, err := p.GetObject(r.Context(), r.PathValue("digest"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content) // fails only if the client has disconnected
}

func (p *Platform) serveMachines(w http.ResponseWriter, r *http.Request) {
	machines, err := p.List(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	answer(w, machines)
}

func (p *Platform) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var machine tablestore.Machine
	if !decode(w, r, &machine) {
		return
	}
	machine.Name = r.PathValue("name")
	p.Announce(machine)
	answer(w, machine)
}

func (p *Platform) serveWithdraw(w http.ResponseWriter, r *http.Request) {
	p.Withdraw(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decode(w, r, &faults) {
		return
	}
	p.SetFaults(faults)
	answer(w, faults)
}

// decode reads a JSON body and rejects unknown fields; on failure it responds with 400.
func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// answer responds with a JSON body and status 200.
func answer(w http.ResponseWriter, value any) { answerStatus(w, http.StatusOK, value) }

func answerStatus(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the client has disconnected
}

// writeError maps an error of the platform to a status, or closes the connection.
func writeError(w http.ResponseWriter, err error) {
	var conflict *tablestore.ConflictError
	switch {
	case errors.As(err, &conflict):
		answerStatus(w, http.StatusConflict, conflict)
	case errors.Is(err, tablestore.ErrThrottled):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, tablestore.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, tablestore.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}
