package api

import (
	"encoding/json"
	"time"
)

// Credits is money in millionths of the operator's currency unit.
type Credits int64

// Kind distinguishes model calls from tool calls.
type Kind string

// Kinds of call.
const (
	KindModel Kind = "model"
	KindTool  Kind = "tool"
)

// Message is one OpenAI-style chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CreateProgramRequest is the body of POST /v1/programs. With a Parent the new program is its sub-agent, and Budget is
// moved from the parent's budget. With the header Idempotency-Key, a repeated POST returns the same program.
type CreateProgramRequest struct {
	Class          string  `json:"class"`
	Budget         Credits `json:"budget"`
	Parent         string  `json:"parent,omitempty"`
	DeadlineMillis int64   `json:"deadline_ms,omitempty"` // whole program, from now
}

// ProgramStatus is a program's lifecycle state.
type ProgramStatus string

// Program states.
const (
	ProgramOpen   ProgramStatus = "open"
	ProgramClosed ProgramStatus = "ended"
)

// Program is the response to GET /v1/programs/{program}.
type Program struct {
	ID           string        `json:"id"`
	Tenant       string        `json:"tenant"`
	Class        string        `json:"class"`
	Parent       string        `json:"parent,omitempty"`
	Status       ProgramStatus `json:"status"`
	Budget       Credits       `json:"budget"`
	Spent        Credits       `json:"spent"`
	Reserved     Credits       `json:"reserved"`
	NextSequence int64         `json:"next_sequence"`
	Calls        int64         `json:"calls"`
	Tokens       int64         `json:"tokens"`
	Epoch        uint64        `json:"epoch"`
	Owner        string        `json:"owner"`
	CreatedAt    time.Time     `json:"created_at"`
	Children     []string      `json:"children,omitempty"`
}

// CallRequest is the body of PUT /v1/programs/{program}/calls/{sequence}.
// Sequence numbers start at 1.
type CallRequest struct {
	Kind           Kind            `json:"kind"`
	Target         string          `json:"target"`             // model or tool name in the bundle
	Messages       []Message       `json:"messages,omitempty"` // model: messages added since the last model call
	Input          json.RawMessage `json:"input,omitempty"`    // tool
	MaxTokens      int64           `json:"max_tokens,omitempty"`
	Repeatable     *bool           `json:"repeatable,omitempty"`  // default: true for models, false for tools
	DeadlineMillis int64           `json:"deadline_ms,omitempty"` // of this call, from its arrival
}

// IsRepeatable returns Repeatable, or the default for the call's kind.
func (r *CallRequest) IsRepeatable() bool {
	if r.Repeatable != nil {
		return *r.Repeatable
	}
	return r.Kind == KindModel
}

// Usage counts tokens as the engine billed them.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"` // part of PromptTokens found in cache
	CompletionTokens int64 `json:"completion_tokens"`
}

// CallResult is the final result of one call; it never changes once it has been returned.
type CallResult struct {
	Program   string          `json:"program"`
	Sequence  int64           `json:"sequence"`
	Code      Code            `json:"code"`
	Execution Execution       `json:"execution"`
	Output    string          `json:"output,omitempty"` // model text
	Result    json.RawMessage `json:"result,omitempty"` // tool result
	Detail    string          `json:"detail,omitempty"`
	Usage     Usage           `json:"usage"`
	Cost      Credits         `json:"cost"`
	Backend   string          `json:"backend,omitempty"`
	Digest    string          `json:"digest"` // xxhash64 of Output or Result, hexadecimal
}

// StreamPart is one server-sent event of a streamed response: `event: part`. Offset is the byte offset of Text in the
// whole output. The stream ends with `event: result` with a CallResult, or `event: problem`.
type StreamPart struct {
	Offset int64  `json:"offset"`
	Text   string `json:"text"`
}

// MemberStatus is one node as another sees it.
type MemberStatus struct {
	Name          string  `json:"name"`
	Zone          string  `json:"zone"`
	Address       string  `json:"address"`
	State         string  `json:"state"` // alive, suspect, leaving, dead
	BundleVersion uint64  `json:"bundle_version"`
	Programs      int     `json:"programs"`
	LastHeardSecs float64 `json:"last_heard_seconds"`
}

// EngineStatus is one back end as the responding node sees it.
type EngineStatus struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	State    string   `json:"state"` // ready, leaving, ejected, unreachable
	Models   []string `json:"models"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	InFlight int      `json:"in_flight"` // this node's own
}

// FleetStatus is the response to GET /v1/operator/status.
type FleetStatus struct {
	Node          string         `json:"node"`
	Cell          string         `json:"cell"`
	BundleVersion uint64         `json:"bundle_version"`
	BundleDigest  string         `json:"bundle_digest"`
	Members       []MemberStatus `json:"members"`
	Engines       []EngineStatus `json:"engines"`
}
