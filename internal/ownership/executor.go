package ownership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/program"
)

// Work is one call that is ready for dispatch: its intent and reservation are durable.
type Work struct {
	Header     program.Header // as stored; Epoch is the fence
	Sequence   int64
	Request    api.CallRequest
	Repeatable bool
	Key        string          // idempotency key, the same for every attempt
	Prompt     *backend.Prompt // for a model: the whole history followed by the request's messages
	MaxTokens  int64
	Arrived    time.Time
	Deadline   time.Time
	// ReserveAgain charges an attempt that may have run and durably reserves
	// the call's maximum cost for the next attempt. It returns the epoch for
	// that attempt.
	ReserveAgain func(ctx context.Context) (epoch uint64, refusal *api.Error)
}

// Outcome is how a dispatched call ended. Exactly one of two cases holds:
// Refusal is set: the call certainly did not run; its number stays free.
// Otherwise Code is final: OK, BackendFailed, OutcomeUnknown or Cancelled.
type Outcome struct {
	Refusal *api.Error
	Code    api.Code
	Detail  string
	Text    string
	Result  json.RawMessage
	Usage   api.Usage
	Engine  string // engine that may now hold KV cache for the program
	Backend string
	// Unbilled reports that the current reservation was not used: what may
	// have run was an earlier attempt, which has already been charged.
	Unbilled bool
}

// Executor runs work at back ends. Safe for concurrent use.
type Executor interface {
	// Execute returns when the call has ended, and records its own decisions. It dispatches work that
	// is not repeatable at most once. onText receives chunks of a model's answer;
	// an offset below the length so far replaces the text from there on.
	Execute(ctx context.Context, work Work, onText func(offset int64, text string)) Outcome
	// Lookup queries a tool for the outcome under an idempotency key; false if
	// the tool does not know it.
	Lookup(ctx context.Context, tool, key string) (Outcome, bool)
	// Engines returns the names of the engines that calls may have been sent to.
	Engines() []string
	// Release makes the engine free what it holds for the program.
	Release(ctx context.Context, engine, program string) error
}
