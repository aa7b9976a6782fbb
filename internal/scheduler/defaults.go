package scheduler

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Defaults of the weights in bundle.Scheduling. A zero field means the default;
// a negative field turns the rule off.
const (
	DefaultWaitWeight = 1.0 // per estimated millisecond of waiting at the engine
	// DefaultPrefixWeight is per estimated millisecond of prefill, both of the call itself
	// and of the cache that it evicts. It is above 1, because an engine that prefills
	// delays its whole batch.
	DefaultPrefixWeight   = 4.0
	DefaultDistanceWeight = 1.0 // per estimated millisecond on the network

	DefaultWorthWeight    = 10.0 // seconds of head start per doubling of (1 + class worth)
	DefaultSlackWeight    = 0.5  // seconds of delay per second of slack to the program's deadline
	DefaultAttainedWeight = 1.0  // seconds of delay per doubling of (1 + attained seconds)
	DefaultAgingPerSecond = 1.0  // seconds of head start per second in the queue

	DefaultMaxQueue     = 2000 // queued calls per node
	DefaultRetryBudget  = 0.1  // retries per fresh call
	DefaultEngineMaxAge = 10 * time.Second
)

// Fixed parameters of the queue order and of admission.
const (
	// maxSlack bounds the slack that counts for the order, so that a distant
	// deadline delays a call but cannot starve it.
	maxSlack = 10 * time.Minute
	// maxOverdue bounds the head start of a program that is past its deadline.
	maxOverdue = time.Minute
	// latePenalty is the head start that a call whose program can still meet its deadline
	// has over a call whose program cannot.
	latePenalty = 6 * time.Second
	// fairnessWindow is how far the virtual service of a tenant, in seconds of engine service
	// divided by weight, may exceed the lowest one before the tenant has to wait.
	fairnessWindow = 5.0
	// noEngineGrace is how long queued calls of a model wait when no engine can serve the
	// model any more. After it they are refused.
	noEngineGrace = 2 * time.Second
	// noBackendRetryAfter is the retry delay in a refusal because no engine can serve the call.
	noBackendRetryAfter = time.Second
	minRetryAfter       = 100 * time.Millisecond
	maxRetryAfter       = time.Minute
	// maxCandidates bounds the candidates that one decision lists.
	maxCandidates = 12
)

// Assumptions about engines that have not reported a value.
const (
	defaultMaxRunning          = 8
	defaultPrefillTokensPerSec = 5000.0
	defaultDecodeTokensPerSec  = 50.0
	defaultExpectedTokens      = 200
	defaultServiceMillis       = 4000.0
)

// Parameters of the concurrency limit and of ejection.
const (
	// queueFactor is the number of calls, in multiples of its batch size, that an engine may have
	// when its load is known. The queued calls keep the engine busy although nodes receive
	// each other's load reports late.
	queueFactor           = 2
	limitDecreaseFactor   = 0.7
	limitDecreaseInterval = 2 * time.Second
	serviceSamples        = 10 // durations in the mean service time
	ejectAfterFailures    = 5
	ejectionBaseDelay     = 5 * time.Second
	ejectionMaxDelay      = 2 * time.Minute
)

// Parameters of the scores.
const (
	// recentPrefixAge is how long the prompt of an assigned call counts as cached
	// although the index does not show it yet: about the lag of cache events.
	recentPrefixAge = 3 * time.Second
	// maxRecentPrefixes bounds these prompts per engine.
	maxRecentPrefixes = 16
	// sharedBlocks is the minimum length of a prompt, in blocks, for the estimate that
	// calls of other nodes have left its prefix in an engine's cache: 2,048 tokens.
	// Shorter prefixes are cheap to prefill, and soon cached on every engine.
	sharedBlocks = 32
	// firstEngineChance is this estimate for the first engine in the prefix's hash order.
	firstEngineChance = 0.9
	// batchSlowdown is the fraction of the expected decode time that a full
	// batch adds, compared to an empty one.
	batchSlowdown = 0.5
	// returningFactor multiplies the prefix weight for a program that has had
	// turns. A shared prefix that a new program brings to another engine serves
	// later programs there too. A program's own history serves only that program, and
	// moving it leaves behind a copy that takes memory from others.
	returningFactor = 8
	// evictedReuseShare is the assumed chance that evicted cache would have
	// been used again.
	evictedReuseShare = 0.25
)

// weights are the values of bundle.Scheduling with every default filled in.
type weights struct {
	wait, prefix, distance        float64
	worth, slack, attained, aging float64
	maxQueue                      int
	engineMaxAge                  time.Duration
}

// resolveWeights returns the configured weights with defaults filled in.
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

// valueOr returns fallback for zero, and zero for a negative value.
func valueOr(configured, fallback float64) float64 {
	if configured == 0 {
		return fallback
	}
	return max(0, configured)
}
