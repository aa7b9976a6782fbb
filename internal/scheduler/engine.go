package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// tokensPerBlock is the size of one prefix block in tokens.
const tokensPerBlock = backend.BlockBytes / backend.BytesPerToken

// maxLoadHistory bounds the changes of the in-flight count that are stored
// between two reports.
const maxLoadHistory = 512

// engine is the core's state of one engine: the last report, this node's own
// calls there, the concurrency limit and the failure record.
type engine struct {
	view          EngineView
	nameHash      uint64  // hash of view.Name
	listed        bool    // in the list of the last SetEngines
	inFlight      int     // this node's own calls
	otherInFlight int     // calls of other nodes, by the last report
	waitingFor    int     // queued calls that wait for this engine
	limit         float64 // max own calls in flight, at least 1
	lastDecrease  time.Time
	serviceMillis float64 // smoothed duration of a call
	history       []loadChange
	samples       int // durations recorded, up to serviceSamples
	recent        []recentPrefix

	failures     int // consecutive
	ejections    int // consecutive
	ejectedUntil time.Time
}

// loadChange records how many own calls were in flight from a time on.
type loadChange struct {
	at       time.Time
	inFlight int
}

// newEngine returns an engine whose limit is its batch size.
func newEngine(view EngineView) *engine {
	e := &engine{serviceMillis: defaultServiceMillis, nameHash: xxhash.Sum64String(view.Name)}
	e.view.MaxRunning = view.MaxRunning
	e.limit = float64(e.batchSize())
	return e
}

// observe sets a new view. If its report is newer, observe also adapts the limit:
// additive increase while the limit is reached and no call waits at the engine,
// multiplicative decrease when calls wait there.
func (e *engine) observe(view EngineView) {
	newer := view.ObservedAt.After(e.view.ObservedAt)
	e.view = view
	e.listed = true
	if !newer {
		return
	}
	e.otherInFlight = max(0, view.Running+view.Waiting-e.inFlightAt(view.ObservedAt))
	if view.Waiting > 0 {
		if e.inFlight > 0 {
			e.decreaseLimit(view.ObservedAt)
		}
	} else if e.inFlight >= int(e.limit) {
		e.limit++
	}
	e.limit = min(e.limit, float64(e.batchSize()))
}

// decreaseLimit lowers the limit, at most once per interval, because several
// reports may show the same congestion.
func (e *engine) decreaseLimit(now time.Time) {
	if now.Sub(e.lastDecrease) < limitDecreaseInterval {
		return
	}
	e.lastDecrease = now
	e.limit = max(1, e.limit*limitDecreaseFactor)
}

// setInFlight records a change of the own calls in flight.
func (e *engine) setInFlight(count int, now time.Time) {
	e.inFlight = count
	if len(e.history) >= maxLoadHistory {
		e.history = slices.Delete(e.history, 0, maxLoadHistory/2)
	}
	e.history = append(e.history, loadChange{at: now, inFlight: count})
}

// inFlightAt returns the own calls in flight at a time and discards older
// changes.
func (e *engine) inFlightAt(at time.Time) int {
	last := -1
	for i := range e.history {
		if e.history[i].at.After(at) {
			break
		}
		last = i
	}
	if last < 0 {
		return 0
	}
	e.history = slices.Delete(e.history, 0, last)
	return e.history[0].inFlight
}

// batchSize returns how many calls the engine runs at once.
func (e *engine) batchSize() int {
	if e.view.MaxRunning <= 0 {
		return defaultMaxRunning
	}
	return e.view.MaxRunning
}

// slots returns how many own calls may be in flight: the adaptive limit, or the slots
// of the batch that other nodes do not use, and at least one. If the load is known, an
// engine may have queueFactor times its batch, and gets no call if other nodes have filled
// that. An engine that is being probed after an ejection gets one call.
func (e *engine) slots(now time.Time) int {
	if e.probing(now) {
		return 1
	}
	if e.view.LoadComplete {
		return max(0, min(queueFactor*int(e.limit), queueFactor*e.batchSize()-e.otherInFlight))
	}
	return max(1, min(int(e.limit), e.batchSize()-e.otherInFlight))
}

// freeSlots returns how many more own calls the engine may get now.
func (e *engine) freeSlots(now time.Time) int { return e.slots(now) - e.inFlight }

// utilisation returns the estimated number of calls at the engine divided by its batch size.
func (e *engine) utilisation() float64 {
	return float64(e.otherInFlight+e.inFlight) / float64(e.batchSize())
}

// queueMillis estimates the wait for a slot behind the calls in flight and
// the queued calls that already wait for this engine.
func (e *engine) queueMillis(now time.Time) float64 {
	slots := max(1, e.slots(now))
	if e.view.LoadComplete {
		slots = e.batchSize()
	}
	ahead := e.inFlight + e.waitingFor - slots + 1
	queuedAtEngine := e.otherInFlight + e.inFlight + 1 - e.batchSize()
	ahead = max(ahead, queuedAtEngine)
	if ahead <= 0 {
		return 0
	}
	return float64(ahead) * e.serviceMillis / float64(slots)
}

// prefillMillis returns the time to prefill tokens.
func (e *engine) prefillMillis(tokens int64) float64 {
	rate := e.view.PrefillTokensPerSec
	if rate <= 0 {
		rate = defaultPrefillTokensPerSec
	}
	return float64(tokens) * 1000 / rate
}

// decodeMillis returns the time to decode the call's expected answer on an
// unloaded engine.
func (e *engine) decodeMillis(call *Call) float64 {
	rate := e.view.DecodeTokensPerSec
	if rate <= 0 {
		rate = defaultDecodeTokensPerSec
	}
	return float64(expectedTokens(call)) * 1000 / rate
}

// slowdownMillis estimates how much the calls at the engine slow the call's decoding.
func (e *engine) slowdownMillis(call *Call) float64 {
	if e.view.SlowdownPerCall > 0 {
		return float64(e.otherInFlight+e.inFlight) * e.view.SlowdownPerCall * e.decodeMillis(call)
	}
	return min(1, e.utilisation()) * batchSlowdown * e.decodeMillis(call)
}

// expectedTokens returns the call's expected answer length, or the default.
func expectedTokens(call *Call) int64 {
	if call.ExpectedTokens <= 0 {
		return defaultExpectedTokens
	}
	return call.ExpectedTokens
}

// recordDuration adds a finished call's duration to the mean service time: a plain mean
// of the first serviceSamples durations, an exponentially smoothed one after that.
func (e *engine) recordDuration(duration time.Duration) {
	e.samples = min(serviceSamples, e.samples+1)
	millis := float64(duration) / float64(time.Millisecond)
	e.serviceMillis += (millis - e.serviceMillis) / float64(e.samples)
}
