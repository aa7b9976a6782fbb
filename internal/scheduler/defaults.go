package scheduler

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Defaults of the weights in bundle.Scheduling. A field left at zero takes
// its default; a negative field turns its rule off.
const (
	DefaultWaitWeight = 1.0 // per estimated millisecond of waiting at the engine
	// DefaultPrefixWeight is per estimated millisecond of prefill, own and
	// that of evicted cache. It is above 1, because an engine that prefills
	// keeps its whole batch waiting.
	DefaultPrefixWeight   = 4.0
	DefaultDistanceWeight = 1.0 // per estimated millisecond on the network

	DefaultWorthWeight    = 10.0 // seconds of head start per doubling of (1 + class worth)
	DefaultSlackWeight    = 0.5  // seconds of delay per second of slack to the program's deadline
	DefaultAttainedWeight = 1.0  // seconds of delay per doubling of (1 + attained seconds)
	DefaultAgingPerSecond = 1.0  // seconds gained per second in the queue

	DefaultMaxQueue     = 2000 // queued calls per node
	DefaultRetryBudget  = 0.1  // retries per fresh call
	DefaultEngineMaxAge = 10 * time.Second
)

// Fixed parameters of the queue order and of admission.
const (
	// maxSlack bounds the slack that ordering counts, so that a distant
	// deadline delays a call but cannot starve it.
	maxSlack = 10 * time.Minute
	// maxOverdue bounds the credit of a program that is past its deadline.
	maxOverdue = time.Minute
	// latePenalty is how long a call that came later goes first, if its program can
	// still be in time and that of the other call cannot.
	latePenalty = 6 * time.Second
	// fairnessWindow is how far apart, in seconds of engine service divided
	// by weight, tenants may drift before the one ahead has to wait.
	fairnessWindow = 5.0
	// strandedGrace is how long queued calls outlive the last engine that
	// could serve them.
	strandedGrace = 2 * time.Second
	// noBackendRetryAfter is the advice given when no engine can serve.
	noBackendRetryAfter = time.Second
	minRetryAfter       = 100 * time.Millisecond
	maxRetryAfter       = time.Minute
	// maxCandidates bounds the candidates that one decision lists.
	maxCandidates = 12
)

// Assumptions about engines that have not reported a figure.
const (
	defaultMaxRunning          = 8
	defaultPrefillTokensPerSec = 5000.0
	defaultDecodeTokensPerSec  = 50.0
	defaultExpectedTokens      = 200
	defaultServiceMillis       = 4000.0
)

// Parameters of the concurrency limit and of ejection.
const (
	// queueFactor is how many times its batch an engine may have where the load is
	// known. It keeps engines busy while nodes hear of each other late.
	queueFactor           = 2
	limitDecreaseFactor   = 0.7
	limitDecreaseInterval = 2 * time.Second
	serviceSamples        = 10 // durations that make up the mean
	ejectAfterFailures    = 5
	ejectionBaseDelay     = 5 * time.Second
	ejectionMaxDelay      = 2 * time.Minute
)

// Parameters of the scores.
const (
	// recentPrefixAge is how long an assigned call's prompt counts as cached
	// although the index does not show it yet: about the lag of cache events.
	recentPrefixAge = 3 * time.Second
	// maxRecentPrefixes bounds such prompts per engine.
	maxRecentPrefixes = 16
	// sharedBlocks is how long, in blocks, a prompt must be at least for the
	// guess that other nodes have left its prefix at an engine: 2,048 tokens.
	// Shorter prefixes are cheap to prefill, and soon cached everywhere.
	sharedBlocks = 32
	// firstChance is that guess at the first engine in a prefix's order.
	firstChance = 0.9
	// batchSlowdown is the share of the expected decode time that a full
	// batch adds over an empty one.
	batchSlowdown = 0.5
	// returningFactor multiplies the prefix weight for a program that has had
	// turns. Shared prefixes that a new program brings to another engine serve
	// later programs there too; a program's own history serves it alone, and
	// moving it leaves a copy behind that takes memory from others.
	returningFactor = 8
	// evictedReuseShare is the assumed chance that evicted cache would have
	// been used again.
	evictedReuseShare = 0.25
)

// weights are bundle.Scheduling with every default filled in.
type weights struct {
	wait, prefix, distance        float64
	worth, slack, attained, aging float64
	maxQueue                      int
	engineMaxAge                  time.Duration
}

// resolveWeights fills in defaults.
func resolveWeights(configured bundle.Scheduling) weights {
	resolved := weights{
		wait:         valueOr(configured.WaitWeight, DefaultWaitWeight),
		prefix:       valueOr(configured.PrefixWeight, DefaultPrefixWeight),
		distance:     valueOr(configured.DistanceWeight, DefaultDistanceWeight),
		worth:        valueOr(configured.WorthWeight, DefaultWorthWeight),
		slack:        valueOr(configured.SlackWeight, DefaultSlackWeight),
		attained:     valueOr(configured.AttainedWeight, DefaultAttainedWeight),
		aging:        valueOr(configured.AgingPerSecond, DefaultAgingPerSecond),
		maxQueue:     configured.MaxQueue,
		engineMaxAge: time.Duration(configured.EngineMaxAgeMillis) * time.Millisecond,
	}
	if resolved.maxQueue <= 0 {
		resolved.maxQueue = DefaultMaxQueue
	}
	if resolved.engineMaxAge <= 0 {
		resolved.engineMaxAge = DefaultEngineMaxAge
	}
	return resolved
}

// valueOr returns the default for zero, and zero for a negative value.
func valueOr(configured, fallback float64) float64 {
	if configured == 0 {
		return fallback
	}
	return max(0, configured)
}
