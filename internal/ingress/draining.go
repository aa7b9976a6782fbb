package ingress

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
)

// drainAnswerMargin is how long before the end of a planned stop the requests in progress are ended, so that their clients get an answer.
const drainAnswerMargin = 150 * time.Millisecond

// drainWriteMargin is the part of drainAnswerMargin that is reserved for writing the answers.
const drainWriteMargin = 50 * time.Millisecond

// errDrained is the reason why requests in progress are cancelled at the end of a planned stop.
var errDrained = errors.New("the node stops before the engine has answered")

// drain is the planned stop of a handler. The zero value is one that has not begun. Safe for concurrent use.
type drain struct {
	end    atomic.Pointer[time.Time] // when connections are closed; nil before the stop
	strict atomic.Bool               // requests are accepted only if their deadline is before the end

	mutex     sync.Mutex
	requests  map[*request]context.CancelCauseFunc // in progress
	cancelled bool                                 // the end has come
}

// DrainUntil starts a planned stop, at whose end connections are closed. Requests that are not expected to be answered by then are
// rejected, and those whose answer has not begun shortly before it are cancelled and answered. An expectation may be wrong, and the
// answer cut off, so it serves only while new connections come; see RejectLonger.
func (h *Handler) DrainUntil(end time.Time) {
	h.drain.end.Store(&end)
	time.AfterFunc(time.Until(end)-drainAnswerMargin, h.drain.cancelAll)
}

// RejectLonger makes a planned stop reject all requests whose deadline is beyond its end, whatever the recent ones of their route took.
// Call it once no new connections come: the requests that still arrive are few, and a rejection costs each of them one more try.
func (h *Handler) RejectLonger() { h.drain.strict.Store(true) }

// limitWait returns how long an answer may be held back that is held back for limit otherwise, so that it is written before a planned stop ends.
func (d *drain) limitWait(limit time.Duration) time.Duration {
	end := d.end.Load()
	if end == nil {
		return limit
	}
	return min(limit, max(0, time.Until(*end)-drainWriteMargin))
}

// add returns a context that is cancelled shortly before the end of a planned stop. remove must be called when the request ends.
func (d *drain) add(ctx context.Context, r *request) (cancellable context.Context, remove func()) {
	cancellable, cancel := context.WithCancelCause(ctx)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.cancelled {
		cancel(errDrained)
	}
	if d.requests == nil {
		d.requests = make(map[*request]context.CancelCauseFunc)
	}
	d.requests[r] = cancel
	return cancellable, func() {
		d.mutex.Lock()
		delete(d.requests, r)
		d.mutex.Unlock()
		cancel(nil)
	}
}

// cancelAll cancels the requests whose answer has not begun, and all that follow. An answer that has begun may still end in time.
func (d *drain) cancelAll() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.cancelled = true
	for r, cancel := range d.requests {
		if !r.answerBegun.Load() {
			cancel(errDrained)
		}
	}
}

// checkDrain rejects a request that is not expected to be answered before a planned stop ends; see lastsUntil.
func (r *request) checkDrain(now time.Time) *api.Error {
	end := r.handler.drain.end.Load()
	if end == nil || r.handler.lastsUntil(r, now).Before(end.Add(-drainAnswerMargin)) {
		return nil
	}
	r.writer.Header().Set("Connection", "close")
	return api.Errorf(api.Draining, "this node is stopping").WithRetryAfter(backoff.Jitter(elsewhereRetryAfter))
}

// lastsUntil returns until when a request is expected to last. After RejectLonger it is until its deadline. Before, one that cannot be
// repeated is expected to take as long as it may, unless requests of its route have shown otherwise.
func (h *Handler) lastsUntil(r *request, now time.Time) time.Time {
	if h.drain.strict.Load() {
		return r.deadline
	}
	longest, known := h.durations.longest(r.route.Name, now)
	switch {
	case known && r.route.Repeatable():
		return earlier(r.deadline, now.Add(longest))
	case known:
		return earlier(r.deadline, now.Add(durationSafety*longest))
	case !r.route.Repeatable():
		return r.deadline
	}
	return now
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Durations of requests that were answered.
const (
	// durationSafety is by what factor a request that cannot be repeated may exceed the longest recent one of its route.
	durationSafety = 2
	// durationPeriod is how long a duration counts at least, and half of how long at most.
	durationPeriod = 30 * time.Second
	// minDurations is how many requests of a route have to be known.
	minDurations = 10
	// maxDurationRoutes limits the routes whose durations are known.
	maxDurationRoutes = 1024
)

// durations knows the longest recent requests of each route. The zero value knows none. Safe for concurrent use.
type durations struct {
	mutex    sync.Mutex
	since    time.Time // when current began
	current  map[string]recentDurations
	previous map[string]recentDurations
}

// recentDurations are those of one route and period.
type recentDurations struct {
	longest time.Duration
	count   int
}

// rotate begins a new period if the current one is over. The mutex is held.
func (d *durations) rotate(now time.Time) {
	age := now.Sub(d.since)
	if d.current != nil && age < durationPeriod {
		return
	}
	d.previous = d.current
	if age >= 2*durationPeriod {
		d.previous = nil
	}
	d.current, d.since = make(map[string]recentDurations), now
}

// add counts a request that an engine got.
func (d *durations) add(route string, took time.Duration, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rotate(now)
	recent, known := d.current[route]
	if !known && len(d.current) >= maxDurationRoutes {
		return
	}
	d.current[route] = recentDurations{longest: max(recent.longest, took), count: recent.count + 1}
}

// longest returns how long the longest recent request of a route took. known is false if there were too few.
func (d *durations) longest(route string, now time.Time) (longest time.Duration, known bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rotate(now)
	current, previous := d.current[route], d.previous[route]
	return max(current.longest, previous.longest), current.count+previous.count >= minDurations
}

// recordDuration counts the request if an engine got it and its client waited for the answer.
func (r *request) recordDuration() {
	if r.route != nil && r.reachedEngine() && r.http.Context().Err() == nil {
		r.handler.durations.add(r.route.Name, time.Since(r.arrived), time.Now())
	}
}
