package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Settings of the circuit breakers in front of the table.
const (
	failuresToOpen = 4
	// failedPartsToOpen is how many parts must fail, without an answer from any other part in between,
	// before the whole table counts as down.
	failedPartsToOpen = 5
	// unansweredWeight is the number of failed parts that a part counts for if its call timed out
	// while no other call was answered.
	unansweredWeight = 3
	probePeriod      = 200 * time.Millisecond
	// throttledPeriod is for how long after writes were throttled no turn starts
	// whose record needs a write. After it turns start again, and their writes are the probes.
	throttledPeriod = 400 * time.Millisecond
	// Retry-after times for callers. A table that fails for all nodes is worth waiting for; if it fails for
	// this node only, the caller can retry at another node soon.
	longRetryAfter  = 1100 * time.Millisecond
	shortRetryAfter = 250 * time.Millisecond
	// shortRetryPeriod is for how long after this node lost its path to the table other nodes may
	// still reach it, as far as this node knows.
	shortRetryPeriod = time.Second
	// pathFailurePeriod is for how long a failed call counts against the path to the
	// table; a node that checks the table regularly detects within it whether the path is lost.
	pathFailurePeriod = 2500 * time.Millisecond
)

// callKind is the kind of a call. Reads and writes are rate-limited separately.
type callKind int

// Kinds of calls.
const (
	reading callKind = iota
	writing
	callKinds
)

// health holds a circuit breaker for each part of the table, one for the table as a
// whole, and one for the path to it: after a number of consecutive failures, calls are rejected at once, except for
// one probe each probePeriod. Throttled calls have breakers of their own,
// which hold back only calls of the same kind: the table is up. Safe for concurrent use.
type health struct {
	mutex           sync.Mutex
	failing         breakers            // of calls without an answer
	throttled       [callKinds]breakers // of throttled calls
	path            breaker
	lastErr         error // of the last call that failed
	lastErrAt       time.Time
	answeredAt      time.Time                // when a call was last answered
	fastSentAt      time.Time                // when the newest of the calls that were answered within fastAnswer was sent
	newestSentAt    time.Time                // when the newest of the answered calls was sent
	writeAnsweredAt time.Time                // when a write was last answered
	smoothedTime    time.Duration            // smoothed response time of all calls
	fastest         time.Duration            // shortest response time so far; 0 before the first answer
	smoothedByKind  [callKinds]time.Duration // smoothed response time of each kind; 0 before the first answer
	unansweredParts map[int]bool             // parts whose calls timed out since any call was answered
	recoveredAt     time.Time                // when the table, or the path to it, last answered after it counted as lost
	// recovered wakes callers that wait for the table, once it answers a call after calls were held
	// back.
	recovered  signal
	batchDelay time.Duration // see Options.BatchDelay
}

func newHealth(batchDelay time.Duration) *health {
	return &health{smoothedTime: initialSmoothedTime, batchDelay: batchDelay, unansweredParts: make(map[int]bool)}
}

// callTimeout is the timeout of a call while the table is not slow.
const callTimeout = 800 * time.Millisecond

// silenceTimeout replaces callTimeout for a write while no read of its row and no fast call is answered either. Nothing
// shows then that this write is lost, and sent again it would wait in the same queue. It is half of the 2 s that callers
// wait for the end of an answer, so that a write that is lost can be made once more.
const silenceTimeout = time.Second

// readTimeout is the timeout of a read while the table is neither slow nor down. Unlike a write, a read that times out
// and is repeated does not lose a place in a part's write queue.
const readTimeout = 300 * time.Millisecond

// fastAnswer is the response time below which an answer shows that a call sent earlier, and still without a response,
// went to an unresponsive part: a table that becomes slow as a whole answers the calls that were sent first before
// later ones.
const fastAnswer = readTimeout / 2

// Response times, and the hedge delay: how long to wait for the response to a write before reading its row to see
// whether the response was lost.
const (
	initialSmoothedTime = 20 * time.Millisecond
	// minAnswerTime is how long a response of a fast table may take on a busy machine.
	minAnswerTime    = 60 * time.Millisecond
	smoothing        = 0.2 // weight of the newest response time
	hedgeDelayFactor = 8   // hedge delay as a multiple of the smoothed response time
	minHedgeDelay    = 60 * time.Millisecond
	// maxHedgeDelay limits the hedge delay, so that an unresponsive part is detected before the callers' deadlines,
	// also while responses are slower than normal.
	maxHedgeDelay     = 250 * time.Millisecond
	slowFactor        = 4                    // the table is slow above this multiple of the fastest response time
	minFastest        = 5 * time.Millisecond // lower bound of the fastest response time in comparisons; below it differences are noise
	slowTimeoutFactor = 10                   // timeout of calls to a slow table, as a multiple of the smoothed response time
)

// slow reports whether recent responses take much longer than the fastest one did. The time for which the
// table may delay writes to batch them does not count.
func (h *health) slow() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.isSlow()
}

// writeTime returns the smoothed response time of writes; 0 before the first one.
func (h *health) writeTime() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.smoothedByKind[writing]
}

// answerTime returns how long the response to a call of a kind may take, from recent response times.
func (h *health) answerTime(kind callKind) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return max(minAnswerTime, h.smoothedByKind[kind])
}

// isSlowCall reports whether one read took as long as reads of a slow table do. A write in flight during such a read
// is queued, even if responses have not been slow for long enough for slow to report it.
func (h *health) isSlowCall(took time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return took > slowFactor*max(minFastest, h.fastest)
}

// isSlowWrite is isSlowCall for a write, which the table may have delayed to batch it.
func (h *health) isSlowWrite(took time.Duration) bool {
	return h.isSlowCall(took - h.batchDelay)
}

func (h *health) isSlow() bool {
	limit := slowFactor * max(minFastest, h.fastest)
	return h.smoothedByKind[reading] > limit || h.smoothedByKind[writing] > limit+h.batchDelay
}

// tooSlow returns an error if the table is slow and a write that starts now would probably end after the
// deadline, given recent response times. deadline is zero if the caller has none. If no write was answered
// within throttledPeriod it returns nil: the next write shows how long writes take now.
func (h *health) tooSlow(now, deadline time.Time) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if deadline.IsZero() || !h.isSlow() || now.Sub(h.writeAnsweredAt) > throttledPeriod || now.Add(h.smoothedByKind[writing]).Before(deadline) {
		return nil
	}
	return errors.Mark(errors.Newf("writes take %s, but the caller's deadline is in %s", h.smoothedByKind[writing], deadline.Sub(now)), tablestore.ErrUnavailable)
}

// currentCallTimeout returns the timeout of a write; currentReadTimeout that of a read. Both are longer while the
// table is slow: a call that is abandoned and sent again makes a slow table slower.
func (h *health) currentCallTimeout() time.Duration { return h.timeout(callTimeout) }

// currentReadTimeout is longer while the table as a whole counts as down: it may be slow for all nodes, and a
// node that only reads detects that only by an answer. Reads are then few probes.
func (h *health) currentReadTimeout() time.Duration {
	if h.allDown() {
		return h.timeout(callTimeout)
	}
	return h.timeout(readTimeout)
}

// allDown reports whether the table as a whole counts as down.
func (h *health) allDown() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.failing.all.failures >= failedPartsToOpen
}

func (h *health) timeout(whileFast time.Duration) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.isSlow() {
		return whileFast
	}
	return max(whileFast, slowTimeoutFactor*h.smoothedTime)
}

// hedgeDelay returns the time after which the response to a write may be lost.
func (h *health) hedgeDelay() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return min(maxHedgeDelay, max(minHedgeDelay, hedgeDelayFactor*h.smoothedTime))
}

// recordAnswer records the response time of a call of a kind.
func (h *health) recordAnswer(kind callKind, took time.Duration, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.answeredAt = now
	if kind == writing {
		h.writeAnsweredAt = now
	}
	sentAt := now.Add(-took)
	if took < fastAnswer && h.fastSentAt.Before(sentAt) {
		h.fastSentAt = sentAt
	}
	if h.newestSentAt.Before(sentAt) {
		h.newestSentAt = sentAt
	}
	h.smoothedTime = smoothed(h.smoothedTime, took, h.fastest == 0)
	h.smoothedByKind[kind] = smoothed(h.smoothedByKind[kind], took, h.smoothedByKind[kind] == 0)
	if h.fastest == 0 || took < h.fastest {
		h.fastest = took
	}
}

// smoothed adds a response time to an exponential moving average. The first one replaces it.
func smoothed(average, took time.Duration, first bool) time.Duration {
	if first {
		return took
	}
	return average + time.Duration(smoothing*float64(took-average))
}

// allow reports whether a read of a part may be tried now.
func (h *health) allow(part int, now time.Time) bool { return h.admit(reading, part, now) == nil }

// admit returns why a call to a part may not be tried now; nil if it may.
func (h *health) admit(kind callKind, part int, now time.Time) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case !h.path.allow(now, 1), !h.failing.allow(part, now):
		return h.skippedError(now, tablestore.ErrUnavailable)
	case !h.throttled[kind].allow(part, now):
		return h.skippedError(now, tablestore.ErrThrottled)
	}
	return nil
}

// holdsBack reports whether calls of a kind to a part are held back except for probes. It does not use up a
// probe: a call that is no evidence about the part alone would leave none to calls that are.
func (h *health) holdsBack(kind callKind, part int) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.path.failures > 0 || h.failing.holdsBack(part) || h.throttled[kind].holdsBack(part)
}

// report records the outcome of a read of a part.
func (h *health) report(part int, err error, now time.Time) { h.recordResult(reading, part, err, now) }

// recordResult records the outcome of a call to a part. A throttled call shows
// that the table is up, and is no evidence about calls of the other kind. A call that its caller cancelled
// is no evidence at all.
func (h *health) recordResult(kind callKind, part int, err error, now time.Time) {
	if errors.Is(err, context.Canceled) {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err != nil {
		h.lastErr, h.lastErrAt = err, now
	}
	unreachable := errors.Is(err, tablestore.ErrUnreachable)
	pathWasLost := h.path.failures > 0
	wasDown := pathWasLost || h.failing.all.failures >= failedPartsToOpen
	h.path.report(!unreachable, now)
	switch {
	case unreachable:
	case errors.Is(err, tablestore.ErrThrottled), errors.Is(err, tablestore.ErrWasThrottled):
		h.throttled[kind].report(part, false, now)
	case err == nil:
		h.throttled[kind].report(part, true, now)
		clear(h.unansweredParts)
		if wasDown {
			h.recoveredAt = now
		}
		if h.failing.reportAnswer(part, now) || pathWasLost {
			h.recovered.broadcast()
		}
	default:
		h.failing.report(part, false, now)
	}
}

// errNoAnswer marks calls to a part that timed out while other parts answered fast.
var errNoAnswer = errors.New("the part does not respond")

// answeredSince reports whether any call was answered after the given time.
func (h *health) answeredSince(began time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.answeredAt.After(began)
}

// answeredFastSince reports whether any call that was sent after the given time was answered fast. If so, a call sent
// at that time that timed out was sent to an unresponsive part, and not to a table that is slow as a whole. An answer to
// a call that was sent before does not show it: the table may have become slow in between.
func (h *health) answeredFastSince(sentAt time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.fastSentAt.After(sentAt)
}

// answersLate reports whether a call was answered after the given time, and none of the calls sent since the newest of
// these was answered fast: answers arrive, but to calls that were sent a while ago.
func (h *health) answersLate(began time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.answeredAt.After(began) && h.newestSentAt.After(h.fastSentAt)
}

// recoveredSince reports whether the table answered again after it counted as lost, after the given time.
func (h *health) recoveredSince(began time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.recoveredAt.After(began)
}

// recordCallEnd is recordResult for calls of callers. It opens the breaker of a part that did not respond at
// once: each further call would make its caller wait as long.
func (h *health) recordCallEnd(kind callKind, part int, err error, now time.Time) {
	h.recordResult(kind, part, err, now)
	if !errors.Is(err, errNoAnswer) {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failing.parts[part].open(now)
}

// callEnded records the outcome of a call for a caller, unless the caller's context ended before readTimeout had
// passed, within which a response may still have come.
func (l *Ledger) callEnded(ctx context.Context, kind callKind, part int, err error, began time.Time) {
	now := l.options.Now()
	if err != nil && ctx.Err() != nil && now.Sub(began) < readTimeout {
		return
	}
	if err != nil && !errors.IsAny(err, tablestore.ErrThrottled, tablestore.ErrWasThrottled) && l.health.recoveredSince(began) {
		return // the failure belongs to the outage in which the call started, and does not show that its part is unresponsive now
	}
	l.health.recordCallEnd(kind, part, err, now)
	if err != nil && now.Sub(began) >= readTimeout && !l.health.answeredSince(began) {
		l.health.recordUnanswered(part, err, now)
	}
}

// recordUnanswered records that a call timed out while no other call was answered. It counts for more
// against the table as a whole than a failure that a part reports: an unresponsive table yields one failed call in
// a few hundred ms, while turns start that can't be recorded.
func (h *health) recordUnanswered(part int, err error, now time.Time) {
	if errors.IsAny(err, context.Canceled, tablestore.ErrThrottled, tablestore.ErrWasThrottled) {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.unansweredParts[part] {
		return
	}
	h.unansweredParts[part] = true
	for range unansweredWeight - 1 {
		h.failing.all.report(false, now)
	}
}

// down reports whether the table as a whole counts as down, or is unreachable.
func (h *health) down() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.path.failures > 0 || h.failing.all.failures >= failedPartsToOpen
}

// downDuration returns for how long the table as a whole has been down or unreachable; zero if it is
// not.
func (h *health) downDuration(now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case h.failing.all.failures >= failedPartsToOpen:
		return now.Sub(h.failing.all.since)
	case h.path.failures > 0:
		return now.Sub(h.path.since)
	}
	return 0
}

// isFailing reports whether the last call to a part failed, or the table as a whole is down or unreachable.
func (h *health) isFailing(part int) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.path.failures > 0 || h.failing.all.failures >= failedPartsToOpen || h.failing.parts[part].failures > 0
}

// checkThrottled returns an error if a write to a part cannot be expected to succeed soon, because recent writes
// were throttled. It does not use up a probe.
func (h *health) checkThrottled(part int, now time.Time) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	throttled := &h.throttled[writing]
	if throttled.all.isOpen(now, failedPartsToOpen) || throttled.parts[part].isOpen(now, failuresToOpen) {
		return h.skippedError(now, tablestore.ErrThrottled)
	}
	return nil
}

// skippedError returns the error of a call that is not sent because earlier ones failed. The mutex
// is held.
func (h *health) skippedError(now time.Time, kind error) error {
	return errors.Mark(errors.Newf("not asked, since a call failed %d ms ago: %v",
		now.Sub(h.lastErrAt).Milliseconds(), h.lastErr), kind)
}

// reachable reports whether the last call reached the table, or no call
// has failed for pathFailurePeriod: a node without work makes no calls.
func (h *health) reachable(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.path.failures == 0 || now.Sub(h.path.failedAt) > pathFailurePeriod
}

// retryAfter returns when a rejected caller may retry, with jitter so that
// callers rejected together do not retry together.
func (h *health) retryAfter(now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delay := longRetryAfter
	if h.path.failures > 0 && now.Sub(h.path.since) < shortRetryPeriod {
		delay = shortRetryAfter
	}
	return backoff.Jitter(delay)
}
