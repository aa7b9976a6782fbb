// Package program is the state machine of one program: the order of its
// calls, its budget, its intents and its limits. It is pure: time is an
// argument, and nothing here does I/O. The caller must make each returned
// Header durable, by a write conditional on the row's revision, before acting
// on it.
package program

import (
	"time"

	"github.com/pewtermill/pewtermill/api"
)

// Header is a program's durable row. The row's revision is the fence: a node
// that takes over the program rewrites the row with Epoch+1, after which every
// write of the former owner fails.
type Header struct {
	ID            string            `json:"id"`
	Tenant        string            `json:"tenant"`
	Class         string            `json:"class"`
	Parent        string            `json:"parent,omitempty"`
	Depth         int               `json:"depth"` // 0 for a program without parent
	Status        api.ProgramStatus `json:"status"`
	Epoch         uint64            `json:"epoch"`
	Owner         string            `json:"owner"`                 // node name; empty after a release
	OwnerStart    uint64            `json:"owner_start,omitempty"` // owner's incarnation
	Budget        api.Credits       `json:"budget"`
	Spent         api.Credits       `json:"spent"`
	Reserved      api.Credits       `json:"reserved"` // max cost of calls that may be dispatched without a write; durable before dispatch
	NextSequence  int64             `json:"next_sequence"`
	Intent        *Intent           `json:"intent,omitempty"`
	Calls         int64             `json:"calls"`
	Tokens        int64             `json:"tokens"`             // all billed tokens
	HistoryTokens int64             `json:"history_tokens"`     // length of the model history
	Children      []string          `json:"children,omitempty"` // open sub-agents
	Holds         []string          `json:"holds,omitempty"`    // engines that may hold KV cache for the program
	CreatedAt     time.Time         `json:"created_at"`
	DeadlineAt    time.Time         `json:"deadline_at"` // target for the whole program; orders the queue
	ExpiresAt     time.Time         `json:"expires_at"`  // hard wall-time limit
	EndedAt       time.Time         `json:"ended_at,omitzero"`
	EndReason     api.Code          `json:"end_reason,omitempty"`
	// FreeCalls reports that calls that cost nothing may be dispatched without
	// a further write, like calls whose cost is within Reserved.
	FreeCalls bool `json:"free_calls,omitempty"`
	// AttemptedSequence is the number of the call that a former owner may have
	// dispatched without an intent; 0 if there is none.
	AttemptedSequence int64 `json:"attempted_sequence,omitempty"`
	// FailedAttempts counts the engines that failed while they may have run the next call.
	FailedAttempts int `json:"failed_attempts,omitempty"`
}

// Intent records that a call that is not repeatable may have been dispatched.
type Intent struct {
	Sequence       int64  `json:"sequence"`
	RequestDigest  string `json:"request_digest"`
	IdempotencyKey string `json:"idempotency_key"`
	Target         string `json:"target"`
	Epoch          uint64 `json:"epoch"`
}

// CallRow is the durable row of one final call: a segment of the history.
// Large Segments are moved to the object store and named by SegmentObject.
type CallRow struct {
	Program       string   `json:"program"`
	Tenant        string   `json:"tenant"`
	Sequence      int64    `json:"sequence"`
	RequestDigest string   `json:"request_digest"`
	Segment       *Segment `json:"segment,omitempty"`
	SegmentObject string   `json:"segment_object,omitempty"`
	// Attempted reports that an earlier attempt may have run, possibly with another body.
	Attempted bool `json:"attempted,omitempty"`
}

// Segment is what the call added to the history, with the call's final result.
type Segment struct {
	Messages []api.Message  `json:"messages,omitempty"` // messages of the request, then the answer
	Result   api.CallResult `json:"result"`
}

// ClassLimits are the limits of the program's class. Zero means no limit.
type ClassLimits struct {
	MaxCalls  int64
	MaxDepth  int
	MaxTokens int64
}

// Call is the part of a call that the state machine needs.
type Call struct {
	Sequence      int64
	RequestDigest string
	Target        string
	Repeatable    bool
	MaxCost       api.Credits
	MaxTokens     int64 // max tokens that the call can add
}

// Verdict is the decision about an arriving call.
type Verdict int

// Decisions about an arriving call.
const (
	// Run: make the new Header durable if NeedsCommit, then dispatch.
	Run Verdict = iota + 1
	// Replay: the call is final; return the result in its CallRow if the digest matches.
	Replay
	// Wait: an earlier call is not final yet.
	Wait
	// Refuse: Error is the reason; the sequence number stays free.
	Refuse
)

// Admission is the result of Admit.
type Admission struct {
	Verdict     Verdict
	Header      Header // next state, with Verdict Run
	NeedsCommit bool
	Error       *api.Error
}

// Outcome is the result of a dispatched call.
type Outcome struct {
	Sequence      int64
	Cost          api.Credits // Settle charges at most the reservation
	Tokens        int64
	HistoryTokens int64  // added to the model history
	Backend       string // engine that may now hold KV cache; empty for tools
}
