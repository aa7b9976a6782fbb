// Package tool is a stand-in for a tool service. It executes and counts every
// request, also repeated ones, so that a double dispatch shows in its log.
package tool

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
)

const maxRequestBytes = 16 << 20

// Options sets up a Tool.
type Options struct {
	Name  string
	Tools []string      // names that it serves; empty means any
	Delay time.Duration // of each execution
}

// Faults switches misbehaviour on; the zero value is none.
type Faults struct {
	Hang          bool  `json:"hang"`         // executions that start now never end, until the switch is off
	DelayMillis   int64 `json:"delay_millis"` // of each execution, added to Options.Delay
	Fail          bool  `json:"fail"`         // the tool runs and reports failure
	DropReplyNext int   `json:"drop_reply_next"`
	Refuse        bool  `json:"refuse"`
	Leaving       bool  `json:"leaving"`
}

// Execution is one entry of the log. Number counts the executions of the same
// tool and key from 1. Finished is zero while it is under way.
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

// result is the JSON that every execution answers with.
type result struct {
	Tool           string          `json:"tool"`
	IdempotencyKey string          `json:"idempotency_key"`
	Execution      int             `json:"execution"`
	Echo           json.RawMessage `json:"echo,omitempty"`
}

// callKey names the calls that an idempotency key makes one.
type callKey struct {
	tool string
	key  string
}

// Tool is the HTTP stand-in. It is safe for concurrent use.
type Tool struct {
	options  Options
	mutex    sync.Mutex
	faults   Faults
	unhang   chan struct{} // closed when the faults change
	log      []Execution
	counts   map[callKey]int
	outcomes map[callKey]backend.WireToolResult // of the first execution that ended
}

// New returns a tool service.
func New(options Options) *Tool {
	return &Tool{
		options:  options,
		unhang:   make(chan struct{}),
		counts:   map[callKey]int{},
		outcomes: map[callKey]backend.WireToolResult{},
	}
}

// Handler returns the tool's HTTP interface.
func (t *Tool) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", t.serveRun)
	mux.HandleFunc("GET /outcome", t.serveOutcome)
	mux.HandleFunc("POST /faults", t.serveFaults)
	mux.HandleFunc("GET /log", t.serveLog)
	return mux
}

// SetFaults replaces all fault switches; executions that hang go on.
func (t *Tool) SetFaults(faults Faults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
	close(t.unhang)
	t.unhang = make(chan struct{})
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
	answer, dropped := t.finish(index)
	if dropped {
		panic(http.ErrAbortHandler)
	}
	backend.WriteJSON(writer, http.StatusOK, answer)
}

// start logs an execution and returns its place in the log, or the code of a
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

// execute takes the time of an execution. It goes on when the caller leaves,
// except for a hang, which then ends with the connection.
func (t *Tool) execute(request *http.Request) {
	t.mutex.Lock()
	faults, unhang := t.faults, t.unhang
	t.mutex.Unlock()
	time.Sleep(t.options.Delay + time.Duration(faults.DelayMillis)*time.Millisecond)
	if !faults.Hang {
		return
	}
	select {
	case <-unhang:
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// finish records the outcome of an execution, and tells whether its reply is
// to be dropped.
func (t *Tool) finish(index int) (answer backend.WireToolResult, dropped bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := &t.log[index]
	entry.Finished = time.Now()
	entry.Failed = t.faults.Fail
	answer = entry.answer()
	key := callKey{tool: entry.Tool, key: entry.IdempotencyKey}
	if _, found := t.outcomes[key]; !found {
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
		encoded = json.RawMessage(`null`) // the input was decoded from JSON, so it encodes
	}
	return backend.WireToolResult{Result: encoded, Failed: x.Failed}
}

func (t *Tool) serveOutcome(writer http.ResponseWriter, request *http.Request) {
	key := callKey{tool: request.FormValue("tool"), key: request.FormValue("key")}
	t.mutex.Lock()
	answer, found := t.outcomes[key]
	started := t.counts[key] > 0
	t.mutex.Unlock()
	switch {
	case found:
		backend.WriteJSON(writer, http.StatusOK, answer)
	case started:
		backend.WriteError(writer, http.StatusConflict, backend.WireRunning, "no outcome yet")
	default:
		backend.WriteError(writer, http.StatusNotFound, backend.WireNoRecord, "no such key")
	}
}

func (t *Tool) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		backend.WriteError(writer, http.StatusBadRequest, backend.WireInvalid, err.Error())
		return
	}
	t.SetFaults(faults)
	writer.WriteHeader(http.StatusNoContent)
}

func (t *Tool) serveLog(writer http.ResponseWriter, _ *http.Request) {
	backend.WriteJSON(writer, http.StatusOK, t.Log())
}
