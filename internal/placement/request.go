package placement

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/routing"
)

// Request describes a request that needs an engine.
type Request struct {
	Program         string
	Service         string
	Class           string       // name of the route
	Parts           []PromptPart // of the prompt
	PromptTokens    int64
	MaxTokens       int64 // limit of the answer; 0 if it is not counted in tokens
	Deadline        time.Time
	ProgramDeadline time.Time
	LastEngine      string   // engine of the conversation's previous turn
	LastTokens      int64    // prompt and answer of that turn
	Excluded        []string // engines already tried
	Version         string   // software version of the engines that started the request's stream; empty for any
	Regions         []string // regions that may serve it; nil for all, empty for none
}

// Placement is a request's assignment to an engine, until Done is called with it.
type Placement struct {
	Engine   routing.Engine
	Decision explain.Decision

	callID          string
	blocks          []uint64
	newSharedPart   uint64 // hash of the prompt's shared first part if the engine had not read it; else 0
	uncachedTokens  int64  // prompt tokens that the engine was not known to have cached
	concurrentCalls int    // calls in flight at the engine at the start
	maxTokens       int64  // limit of the answer
	start           time.Time
	answered        time.Time // when the response started
	sendBy          time.Time // send deadline; zero if there is none
}

// Result is how a request ended at its engine.
type Result struct {
	Outcome Outcome
	Tokens  int64 // tokens that the engine generated; 0 if they are not counted
	// LostHedge reports that this send was cancelled only because another engine was faster.
	LostHedge bool
}

// Outcome is the kind of result of a request at its engine.
type Outcome int

// Outcomes.
const (
	Served       Outcome = iota // the engine responded without a server error
	Failed                      // the engine aborted the response, or sent an invalid one
	Unreachable                 // no connection could be made
	Replaced                    // another engine has the address
	Shed                        // the engine rejected the request for load
	Cancelled                   // the client disconnected; not evidence about the engine
	Unresponsive                // the engine stopped responding after it had the request, and accepts no connections
	ServerError                 // the engine responded with a server error
	SendExpired                 // not sent: the deadline for sending it to a cold engine had passed
	Yielded                     // not sent, for a reason other than the engine, such as another request that it is left to
	CarrierLost                 // the connection to the carrier, the peer that forwarded it, was lost; not evidence about the engine
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"served", "failed", "unreachable", "replaced", "shed", "cancelled", "dark", "erred", "late", "yielded", "carrier_lost"}[o]
}
