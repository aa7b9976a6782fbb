// Package scheduler decides where a model call runs, when it waits, and when it
// is refused. The decisions are pure: time and randomness are arguments.
// A Core is not safe for concurrent use; its owner serialises access.
package scheduler

import (
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/explain"
)

// Call is one model call that needs an engine.
type Call struct {
	ID              string // unique per attempt
	Program         string
	Sequence        int64
	Tenant          string
	Class           string
	Model           string
	Zone            string   // zone of the requesting node
	PrefixBlocks    []uint64 // chained hashes of the rendered prompt's blocks
	PromptTokens    int64
	ExpectedTokens  int64 // estimated length of the answer
	Submitted       time.Time
	Deadline        time.Time // of the call; zero = none
	ProgramStarted  time.Time
	ProgramDeadline time.Time
	LatestStart     time.Time     // the program misses its deadline unless this call starts before; zero = no limit
	AttainedService time.Duration // engine service that the program has had
	LastEngine      string        // engine that served the program's previous turn
	Sample          Sample        // engines to place the call on; nil for all
	Excluded        []string      // engines already tried
	Regions         []string      // regions where it may run; nil for everywhere, empty for nowhere
	Version         string        // software version of the engines that may run it; empty for any
	LastResort      bool          // engines that are not ready or failing may be tried, since no other engine is allowed
}

// EngineView is the known state of one engine; all of it may be outdated.
type EngineView struct {
	Name    string
	Zone    string
	Region  string // of the zone; empty if it is not known
	Models  []string
	Version string // of its software; empty if versions do not matter
	// ReservedForVersion is the number of its slots reserved for calls that name its version. At
	// least one slot remains for all calls.
	ReservedForVersion  int
	Ready               bool
	Leaving             bool
	Evacuated           bool // an operator ordered that nothing more is sent to its zone
	Failing             bool // the outlier detection excludes it, since it failed recently
	Running             int
	Waiting             int
	MaxRunning          int
	CacheUsedTokens     int64
	CacheCapacityTokens int64
	PrefillTokensPerSec float64
	DecodeTokensPerSec  float64
	// LoadComplete reports that Running and Waiting are recent and include the calls of all
	// nodes. The cost of a call to others is then counted per call, and an engine that other
	// nodes have filled gets no call.
	LoadComplete bool
	// SlowdownPerCall is the fraction of a call's decode time that each other call at the
	// engine adds; 0 if it is not known.
	SlowdownPerCall float64
	ObservedAt      time.Time
}

// PrefixIndex reports how much of a prompt an engine has cached. It is only a hint.
type PrefixIndex interface {
	// CachedBlocks returns how many leading blocks the engine has.
	CachedBlocks(engine string, blocks []uint64) int
}

// Assignment is the decision to send a queued call to an engine.
type Assignment struct {
	Call     Call
	Engine   string
	SendBy   time.Time // when the call must be sent at the latest, from ColdStarts; zero means no limit
	Decision explain.Decision
}

// Refusal rejects a call before dispatch.
type Refusal struct {
	Call     Call
	Error    *api.Error
	Decision explain.Decision
}

// Result reports how an assigned call ended.
type Result struct {
	Engine       string
	Succeeded    bool // false counts towards ejection; a call cancelled by its client is no failure of the engine
	Shed         bool // the engine rejected the call because of its load; neither a success nor a failure
	Duration     time.Duration
	CachedTokens int64
	PromptTokens int64
}
