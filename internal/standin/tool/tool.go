// Package tool is a stand-in for a tool service. It executes and logs every
// request, including repeated ones, so that its log shows a double dispatch.
package tool

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/standin"
)

const maxRequestBytes = 16 << 20

// Options sets up a Tool.
type Options struct {
	Name  string
	Tools []string      // names of the tools that it serves; empty means any
	Delay time.Duration // duration of each execution
}

// Faults are the fault switches; the zero value has none on.
type Faults struct {
	Hang          bool  `json:"hang"`         // executions that start now hang until the faults change
	DelayMillis   int64 `json:"delay_millis"` // added to Options.Delay for each execution
	Fail          bool  `json:"fail"`         // executions run and report failure
	DropReplyNext int   `json:"drop_reply_next"`
	Refuse        bool  `json:"refuse"`
	Leaving       bool  `json:"leaving"`
}

// Execution is one entry of the log. Number counts the executions of the same
// tool and key from 1. Finished is zero while the execution is in progress.
type Execution struct {
	Tool           string          `json:"tool"`
	IdempotencyKey string          `json:"idempotency_key"`
	Epoch          uint64          `json:"epoch"`
	Number         int             `json:"number"`
	Input          json.RawMessage `json:"input,omitempty"`
	Started        time.Time       `json:"started"`
	Finished       time.Time       `json:"finished,omitzero"`
	Failed         bool            `json:"failed"`
}

// result is the JSON result of every execution.
type result struct {
	Tool           string          `json:"tool"`
	IdempotencyKey string          `json:"idempotency_key"`
	Execution      int             `json:"execution"`
	Echo           json.RawMessage `json:"echo,omitempty"`
}

// callKey identifies a call: requests with the same tool and idempotency key are one call.
type callKey struct {
	tool string
	key  string
}

// Tool is the HTTP stand-in. It is safe for concurrent use.
type Tool struct {
	options       Options
	mutex         sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // closed when the faults change
	log           []Execution
	counts        map[callKey]int
	outcomes      map[callKey]backend.WireToolResult // of the first execution that finished
}

// New returns a tool service.
func New(options Options) *Tool {
	return &Tool{
		options:       options,
		faultsChanged: make(chan struct{}),
		counts:        map[callKey]int{},
		outcomes:      map[callKey]backend.WireToolResult{},
	}
}

// Handler returns the tool's HTTP interface.
func (t *Tool) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", t.serveRun)
	mux.HandleFunc("GET /outcome", t.serveOutcome)
	mux.HandleFunc("POST /faults", standin.FaultsHandler(t.SetFaults))
	mux.HandleFunc("GET /log", t.serveLog)
	return mux
}

// SetFaults replaces all fault switches; hanging executions continue.
func (t *Tool) SetFaults(faults Faults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
	close(t.faultsChanged)
	t.faultsChanged = make(chan struct{})
}

// Log returns all executions so far, in the order of their start.
func (t *Tool) Log() []Execution {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.log)
}

func (t *Tool) serveRun(writer http.ResponseWriter, request *http.Request) {
	var call backend.WireToolRequest
	body := http.MaxBytesReader(writer, request.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&call); err != nil {
		backend.WriteError(writer, http.StatusBadRequest, backend.WireInvalid, err.Error())
		return
	}
	index, refusal := t.start(call)
	if refusal != "" {
		backend.WriteError(writer, http.StatusServiceUnavailable, refusal, "not run")
		return
	}
	t.execute(request)
	answer, dropReply := t.finish(index)
	if dropReply {
		panic(http.ErrAbortHandler)
	}
	backend.WriteJSON(writer, http.StatusOK, answer)
}

// start logs an execution and returns its index in the log, or the code of a
// refusal.
func (t *Tool) start(call backend.WireToolRequest) (index int, refusal string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case t.faults.Refuse:
		return 0, backend.WireRefused
	case t.faults.Leaving:
		return 0, backend.WireLeaving
	case len(t.options.Tools) > 0 && !slices.Contains(t.options.Tools, call.Tool):
		return 0, backend.WireUnknownTool
	}
	key := callKey{tool: call.Tool, key: call.IdempotencyKey}
	t.counts[key]++
	t.log = append(t.log, Execution{
		Tool:           call.Tool,
		IdempotencyKey: call.IdempotencyKey,
		Epoch:          call.Epoch,
		Number:         t.counts[key],
		Input:          call.Input,
		Started:        time.Now(),
	})
	return len(t.log) - 1, ""
}

// execute takes the time of an execution. It continues if the client
// disconnects, except for a hang, which then ends.
func (t *Tool) execute(request *http.Request) {
	t.mutex.Lock()
	faults, faultsChanged := t.faults, t.faultsChanged
	t.mutex.Unlock()
	time.Sleep(t.options.Delay + time.Duration(faults.DelayMillis)*time.Millisecond)
	if !faults.Hang {
		return
	}
	select {
	case <-faultsChanged:
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// finish records the outcome of an execution and reports whether to drop its
// reply.
func (t *Tool) finish(index int) (answer backend.WireToolResult, dropReply bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := &t.log[index]
	entry.Finished = time.Now()
	entry.Failed = t.faults.Fail
	answer = entry.answer()
	key := callKey{tool: entry.Tool, key: entry.IdempotencyKey}
	if _, exists := t.outcomes[key]; !exists {
		t.outcomes[key] = answer
	}
	if t.faults.DropReplyNext > 0 {
		t.faults.DropReplyNext--
		return answer, true
	}
	return answer, false
}

func (x *Execution) answer() backend.WireToolResult {
	encoded, err := json.Marshal(result{
		Tool:           x.Tool,
		IdempotencyKey: x.IdempotencyKey,
		Execution:      x.Number,
		Echo:           x.Input,
	})
	if err != nil {
		encoded = json.RawMessage(`null`) // unreachable: the input was decoded from JSON
	}
	return backend.WireToolResult{Result: encoded, Failed: x.Failed}
}

func (t *Tool) serveOutcome(writer http.ResponseWriter, request *http.Request) {
	key := callKey{tool: request.FormValue("tool"), key: request.FormValue("key")}
	t.mutex.Lock()
	answer, exists := t.outcomes[key]
	started := t.counts[key] > 0
	t.mutex.Unlock()
	switch {
	case exists:
		backend.WriteJSON(writer, http.StatusOK, answer)
	case started:
		backend.WriteError(writer, http.StatusConflict, backend.WireRunning, "no outcome yet")
	default:
		backend.WriteError(writer, http.StatusNotFound, backend.WireNoRecord, "no such key")
	}
}

func (t *Tool) serveLog(writer http.ResponseWriter, _ *http.Request) {
	backend.WriteJSON(writer, http.StatusOK, t.Log())
}
