// Package backend defines how the system talks to model engines and tool services: clients, and
// observers of engines' load and cache events. Another wire format is supported by another
// implementation of the Engine and Tool interfaces.
package backend

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
)

// ChatRequest is one model call. Engines that support fencing reject a request whose Epoch is older
// than one they have seen for the same program, so that a former owner of the program runs nothing.
type ChatRequest struct {
	Model     string
	Adapter   string
	Program   string
	RequestID string // unique per attempt; identifies the stream for resume and cancel
	Epoch     uint64
	Priority  int // higher runs first
	Prompt    *Prompt
	MaxTokens int64
}

// ChatResult is the result of a completed stream.
type ChatResult struct {
	Text   string
	Usage  api.Usage
	Digest string // of Text, as the engine reported it
}

// ToolRequest is one tool call. IdempotencyKey is the same for every attempt
// of the same call.
type ToolRequest struct {
	Tool           string
	IdempotencyKey string
	Epoch          uint64
	Input          json.RawMessage
}

// ToolResult is the result of a tool call.
type ToolResult struct {
	Result json.RawMessage
	Failed bool // the tool ran and reported failure in Result
}

// Errors of back ends, by what they imply about execution.
var (
	// ErrRefused: the back end rejected the call and did not run it.
	ErrRefused = errors.New("back end rejected the call")
	// ErrNotLoaded is the ErrRefused of an engine that does not have the requested model loaded (yet
	// or any more); it does not indicate a failing engine.
	ErrNotLoaded = errors.Wrap(ErrRefused, "model is not loaded")
	// ErrUnreachable: no connection was made; the call was not sent.
	ErrUnreachable = errors.New("back end unreachable")
	// ErrLeaving: the back end is draining and rejected the call.
	ErrLeaving = errors.New("back end is draining")
	// ErrOutcomeUnknown: the connection failed after sending; the call may have run.
	ErrOutcomeUnknown = errors.New("connection to back end failed after sending")
	// ErrFenced: a newer epoch of this program was used at the back end.
	ErrFenced = errors.New("fenced by a newer epoch")
	// ErrNoRecord: the tool has no record of the idempotency key.
	ErrNoRecord = errors.New("no record of this idempotency key")
)

// Engine is a client of one model engine. Safe for concurrent use.
type Engine interface {
	// Chat streams one call. onText receives each new chunk of text in order. After an interrupted
	// connection the stream is resumed at its offset, so that no text is repeated or missing.
	// When ctx ends, the engine's stream is cancelled.
	Chat(ctx context.Context, request ChatRequest, onText func(offset int64, text string)) (ChatResult, error)
	// Release drops everything that the engine holds for a program; idempotent.
	Release(ctx context.Context, program string) error
	// HeldPrograms lists the programs whose KV cache the engine holds between model calls.
	HeldPrograms(ctx context.Context) ([]string, error)
	// Load returns the engine's load report, which lags behind its state.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns events after the given sequence number.
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	// Order sends a fenced administrative order.
	Order(ctx context.Context, order Order) error
}

// Load is an engine's report about itself.
type Load struct {
	Engine              string   `json:"engine"`
	Running             int      `json:"running"`
	Waiting             int      `json:"waiting"`
	MaxRunning          int      `json:"max_running"`
	CacheUsedTokens     int64    `json:"cache_used_tokens"`
	CacheCapacityTokens int64    `json:"cache_capacity_tokens"`
	PrefillTokensPerSec float64  `json:"prefill_tokens_per_second"`
	DecodeTokensPerSec  float64  `json:"decode_tokens_per_second"` // of one stream, unloaded
	Models              []string `json:"models"`
	Adapters            []string `json:"adapters,omitempty"`
	Role                string   `json:"role"` // prefill, decode, both
	Leaving             bool     `json:"leaving"`
	// Fence is that of the newest order that the engine has accepted; the rest of the report is at
	// least as new as that order. It is 0 before the first order.
	Fence         uint64         `json:"fence,omitempty"`
	MaxModels     int            `json:"max_models,omitempty"` // models that fit in memory together; 0 = no limit
	ModelStates   []WeightsState `json:"model_states,omitempty"`
	AdapterStates []WeightsState `json:"adapter_states,omitempty"`
}

// WeightsState is the state of one model or adapter in an engine's memory: ready for calls or still
// loading. While another version of it is loading, there are two entries of the same name.
type WeightsState struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
	Ready   bool   `json:"ready"`
}

// CacheEvent reports that a block of a prompt prefix was added to or removed from the cache. Block is
// the chained hash of all tokens up to the block's end, as PrefixBlocks computes it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block,string"`
	Stored   bool   `json:"stored"`
}

// CacheEvents is a page of events. If the first sequence number is above after+1, events are missing.
// After such a gap, or with Snapshot set, Blocks replaces the whole content of the cache.
type CacheEvents struct {
	Events   []CacheEvent `json:"events,omitempty"`
	Snapshot bool         `json:"snapshot"`
	Blocks   []string     `json:"blocks,omitempty"` // decimal uint64
	Sequence uint64       `json:"sequence"`         // of the newest event included
}

// Actions of an Order.
const (
	ActionRaiseFence    = "raise_fence" // changes only the fence
	ActionLoadModel     = "load_model"
	ActionUnloadModel   = "unload_model"
	ActionLoadAdapter   = "load_adapter"
	ActionUnloadAdapter = "unload_adapter"
	ActionSetRole       = "set_role"
)

// Order is an administrative order. The engine rejects a Fence lower than the highest that it has
// seen. An order that it rejects for lack of memory counts as seen.
type Order struct {
	Fence   uint64 `json:"fence"`
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Tool is a client of one tool service. Safe for concurrent use.
type Tool interface {
	Run(ctx context.Context, request ToolRequest) (ToolResult, error)
	// Lookup returns the outcome recorded under an idempotency key: the result, ErrNoRecord, or
	// ErrUnreachable.
	Lookup(ctx context.Context, tool, idempotencyKey string) (ToolResult, error)
}

// BlockBytes is the size of one prefix block in bytes of rendered prompt.
const BlockBytes = 256

// BytesPerToken is the approximate number of bytes per token, by which tokens are estimated from text length.
const BytesPerToken = 4
