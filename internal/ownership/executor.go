package ownership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/program"
)

// Work is one call ready for dispatch: its intent and reservation are durable.
type Work struct {
	Header     program.Header // as it is durable; Epoch is the fence
	Sequence   int64
	Request    api.CallRequest
	Repeatable bool
	Key        string          // idempotency key, the same for every attempt
	Prompt     *backend.Prompt // model: the whole history with the caller's delta
	MaxTokens  int64
	Arrived    time.Time
	Deadline   time.Time
	// ReserveAgain pays for an attempt that may have run and sets the call's
	// dearest cost aside once more, durably, for the next attempt. It returns
	// the epoch for that attempt.
	ReserveAgain func(ctx context.Context) (epoch uint64, refusal *api.Error)
}

// Outcome is how a dispatched call ended. Exactly one case holds:
// Refusal set: it certainly did not run; the number stays free.
// Otherwise Code is final: OK, BackendFailed, OutcomeUnknown or Cancelled.
type Outcome struct {
	Refusal *api.Error
	Code    api.Code
	Detail  string
	Text    string
	Result  json.RawMessage
	Usage   api.Usage
	Engine  string // that may now hold cache for the program
	Backend string
	// Unbilled says that the reservation in force was not used: what may have
	// run was an earlier attempt, which is paid for already.
	Unbilled bool
}

// Executor runs work at back ends. Safe for concurrent use.
type Executor interface {
	// Execute returns when the call has ended, and records its own decisions. It never dispatches work that
	// is not repeatable a second time. onText gets pieces of a model's answer;
	// an offset below what came before replaces the text from there on.
	Execute(ctx context.Context, work Work, onText func(offset int64, text string)) Outcome
	// Lookup asks a tool what became of an idempotency key; false if it
	// cannot tell.
	Lookup(ctx context.Context, tool, key string) (Outcome, bool)
	// Engines returns the names of the engines that a call may have gone to.
	Engines() []string
	// Release frees what the engine holds for the program.
	Release(ctx context.Context, engine, program string) error
}
