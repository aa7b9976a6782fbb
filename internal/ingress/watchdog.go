package ingress

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/placement"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
)

// Times of the watchdog for engines that stop responding.
const (
	// stallAfter is how long an engine may send nothing before it is probed. An engine that is only
	// slow accepts a connection, and the request waits for it.
	stallAfter = 500 * time.Millisecond
	// zoneCheckAfter is how long it may send nothing before this node checks whether its zone is lost,
	// which costs nothing.
	zoneCheckAfter = 250 * time.Millisecond
	// probeTimeout is how long an engine may take to accept a connection.
	probeTimeout = 200 * time.Millisecond
	// probeInterval is the time between the two probes that both have to time out: an engine with many
	// simultaneous callers may miss one connection attempt.
	probeInterval = 150 * time.Millisecond
	// maxReferences is how many other engines are probed to distinguish an unresponsive engine from a node
	// that is itself isolated.
	maxReferences = 3
	// maxFurtherReferences is how many more are probed if none of these accepts a connection: many engines may be lost.
	maxFurtherReferences = 9
	// probeTTL is how long the result of a probe applies to all requests.
	probeTTL = time.Second
	// unreachedTTL is how long a reference engine that accepted no connection is asked after others.
	unreachedTTL = time.Minute
)

// errUnresponsive is the reason why a send to an unresponsive engine is cancelled.
var errUnresponsive = errors.New("the engine stopped responding and accepts no connections")

// errZoneSuspected is the reason why a send to an engine of a zone that is suspected to be lost is cancelled. The engine may be at
// work.
var errZoneSuspected = errors.New("the engine stopped responding and its zone is suspected to be lost")

// errRestarted is the reason why a send to an engine that has restarted is cancelled.
var errRestarted = errors.New("the engine stopped responding and has restarted since")

// watch gives the attempt its own context and starts to watch the engine. finish ends that.
func (t *attempt) watch(ctx context.Context) {
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	t.watchdog = time.AfterFunc(stallAfter, t.checkEngine)
	t.watchdog.Reset(zoneCheckAfter) // set here, since checkEngine must not run before the field is assigned
	t.request.handler.zoneAttempts.add(t)
}

// recordActivity records that the engine has sent something.
func (t *attempt) recordActivity() {
	t.activityAfter.Store(int64(time.Since(t.startedAt)))
	t.abandonMutex.Lock()
	t.activity.Add(1)
	t.abandonMutex.Unlock()
	t.stalled.Store(false)
	t.watchdog.Reset(zoneCheckAfter)
}

// watchedBody is the body of an engine's answer. Whatever arrives of it is activity: an answer that is not a stream has no events.
type watchedBody struct {
	io.ReadCloser
	attempt *attempt
}

// Read implements io.Reader.
func (b *watchedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if count > 0 {
		b.attempt.recordActivity()
	}
	return count, err
}

// abandon cancels the send, unless the engine has sent something since that was counted: what was
// counted first is not followed by the cancellation.
func (t *attempt) abandon(activity int64, cause error) (abandoned bool) {
	t.abandonMutex.Lock()
	defer t.abandonMutex.Unlock()
	if t.activity.Load() != activity {
		return false
	}
	t.cancel(cause)
	return true
}

// begin records that the client is about to get the beginning of an answer whose rest can come from this engine only. It returns an error if
// the send was cancelled before.
func (t *attempt) begin() error {
	t.begun.Store(true)
	t.recordActivity()
	return context.Cause(t.ctx)
}

// checkEngine checks whether an engine that sends nothing still accepts connections.
func (t *attempt) checkEngine() {
	activity := t.activity.Load()
	if t.zoneLost() {
		if t.mayRunElsewhere() && t.abandon(activity, errZoneSuspected) {
			return
		}
		if !t.mayRunElsewhere() && t.mayAbandon() && t.abandon(activity, errUnresponsive) {
			return
		}
	}
	if !t.stalled.Swap(true) {
		t.watchdog.Reset(stallAfter - zoneCheckAfter)
		return
	}
	if t.request.handler.options.View().ReplacedAfter(t.placed.Engine, t.startedAt) && t.abandon(activity, errRestarted) {
		return // the later incarnation at the address does not know the outcome of the request
	}
	if t.carrierUnresponsive() && t.abandon(activity, errCarrierUnresponsive) {
		return
	}
	if t.request.foundUnresponsive(t.ctx, t.placed.Engine) && t.abandon(activity, errUnresponsive) {
		return
	}
	if t.ctx.Err() == nil {
		t.watchdog.Reset(stallAfter)
	}
}

// classifyFailure returns the outcome of a send that ended without a complete answer.
func (t *attempt) classifyFailure(ctx context.Context, err error) placement.Outcome {
	switch {
	case ctx.Err() != nil:
		return cancelledOutcome(ctx)
	case errors.Is(context.Cause(t.ctx), errUnresponsive), t.leftOnSuspicion():
		return placement.Unresponsive
	case errors.Is(context.Cause(t.ctx), errRestarted):
		return placement.Failed
	case t.carrierLost(err):
		return placement.CarrierLost
	case upstream.IsAckTimeout(err) && t.request.foundUnresponsive(ctx, t.placed.Engine):
		return placement.Unresponsive
	}
	return placement.Failed
}

// leftOnSuspicion reports whether the send was cancelled since the engine's zone is suspected to be lost.
func (t *attempt) leftOnSuspicion() bool { return errors.Is(context.Cause(t.ctx), errZoneSuspected) }

// foundUnresponsive reports whether an engine that the request was sent to accepts no connections, while others do.
func (r *request) foundUnresponsive(ctx context.Context, engine routing.Engine) bool {
	return !r.handler.options.View().Evacuated(engine.Zone) && r.handler.prober.unresponsive(ctx, engine)
}

// responded reports whether the probe is over and the engine was found responsive.
func (r *probeResult) responded() bool {
	select {
	case <-r.done:
		return !r.unresponsive
	default:
		return false
	}
}

// prober probes whether engines accept connections, each at most once per probeTTL. Safe for
// concurrent use.
type prober struct {
	pool *upstream.Pool
	view func() *discovery.View
	zone string // of this node

	mutex   sync.Mutex
	results map[upstream.Destination]*probeResult
	// unreached is when reference engines were probed last that accepted no connection.
	unreached map[upstream.Destination]time.Time
}

// probeResult is the result of probing an engine. Concurrent callers wait for it.
type probeResult struct {
	done         chan struct{}
	at           time.Time
	unresponsive bool
}

func newProber(pool *upstream.Pool, view func() *discovery.View, zone string) *prober {
	return &prober{pool: pool, view: view, zone: zone, results: make(map[upstream.Destination]*probeResult), unreached: make(map[upstream.Destination]time.Time)}
}

// destinationOf returns the destination of connections to an engine.
func destinationOf(engine routing.Engine) upstream.Destination {
	return upstream.Destination{Incarnation: engine.ID, Address: engine.Address}
}

// unresponsive reports whether the engine does not respond to connection attempts at all, while another
// engine does: otherwise this node may be isolated, and the engine may still be at work. An engine that
// refuses connections is alive, or its connections have ended already.
func (l *prober) unresponsive(ctx context.Context, engine routing.Engine) bool {
	return l.unresponsiveSince(ctx, engine, time.Time{})
}

// unresponsiveSince is like unresponsive, but does not rely on an earlier probe that started before a time and to which
// the engine responded.
func (l *prober) unresponsiveSince(ctx context.Context, engine routing.Engine, since time.Time) bool {
	for {
		result := l.probe(ctx, engine, since)
		select {
		case <-result.done:
		case <-ctx.Done():
			return false
		}
		if result.unresponsive || !result.at.Before(since) {
			return result.unresponsive
		}
	}
}

// probe returns a probe of the engine, which may be an earlier one. It starts one if the last is older than probeTTL, or found
// the engine responsive before a time.
func (l *prober) probe(ctx context.Context, engine routing.Engine, since time.Time) *probeResult {
	now, destination := time.Now(), destinationOf(engine)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	result := l.results[destination]
	if result != nil && now.Sub(result.at) <= probeTTL && (!result.at.Before(since) || !result.responded()) {
		return result
	}
	result = &probeResult{done: make(chan struct{}), at: now}
	l.dropExpired(now)
	l.results[destination] = result
	go l.complete(context.WithoutCancel(ctx), engine, result) // others may wait for it when the request has ended
	return result
}

// complete makes a probe.
func (l *prober) complete(ctx context.Context, engine routing.Engine, result *probeResult) {
	defer close(result.done)
	result.unresponsive = l.connectTimesOut(ctx, engine) && l.reachesAnother(ctx, engine) &&
		backoff.Wait(ctx, probeInterval) && l.connectTimesOut(ctx, engine)
}

// connectTimesOut reports whether nothing at all responds to a connection attempt.
func (l *prober) connectTimesOut(ctx context.Context, engine routing.Engine) bool {
	err := l.pool.Probe(ctx, destinationOf(engine), probeTimeout)
	return ctx.Err() == nil && upstream.IsDialTimeout(err)
}

// reachesAnother reports whether another engine accepts a connection.
func (l *prober) reachesAnother(ctx context.Context, engine routing.Engine) bool {
	references := l.referenceEngines(engine)
	first := min(len(references), maxReferences)
	return l.reachesAny(ctx, references[:first]) || l.reachesAny(ctx, references[first:])
}

// reachesAny reports whether any of a number of engines accepts a connection.
func (l *prober) reachesAny(ctx context.Context, references []routing.Engine) bool {
	reached := make(chan bool, len(references))
	for _, reference := range references {
		go func() { reached <- l.reaches(ctx, destinationOf(reference)) }()
	}
	for range references {
		if <-reached {
			return true
		}
	}
	return false
}

// reaches reports whether a reference engine accepts a connection, and remembers it if it does not.
func (l *prober) reaches(ctx context.Context, reference upstream.Destination) bool {
	reached := l.pool.Probe(ctx, reference, probeTimeout) == nil
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.unreached, reference)
	if !reached {
		l.unreached[reference] = time.Now()
	}
	return reached
}

// referenceEngines returns engines whose response shows that this node is not isolated from an
// unresponsive one. Engines of this node's zone do not show that for an engine of another zone: this
// node may be isolated together with its zone, while the engine is at work. If there are only these
// two zones, no engine can show it, and any engine is used. Where many engines are lost, those that accepted no connection
// before come after all others.
func (l *prober) referenceEngines(engine routing.Engine) []routing.Engine {
	var others, elsewhere []routing.Engine
	view := l.view()
	for _, other := range view.Engines {
		if other.Address == engine.Address || view.Evacuated(other.Zone) || !view.HasService(other.Service) {
			continue
		}
		others = append(others, other)
		if other.Zone != l.zone && other.Zone != engine.Zone {
			elsewhere = append(elsewhere, other)
		}
	}
	if engine.Zone != l.zone && len(elsewhere) > 0 {
		others = elsewhere
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	slices.SortStableFunc(others, func(a, b routing.Engine) int {
		return l.unreached[destinationOf(a)].Compare(l.unreached[destinationOf(b)])
	})
	return others[:min(len(others), maxReferences+maxFurtherReferences)]
}

// dropExpired drops results older than probeTTL, and reference engines that were unreached for unreachedTTL. The mutex is held.
func (l *prober) dropExpired(now time.Time) {
	for destination, result := range l.results {
		if now.Sub(result.at) > probeTTL {
			delete(l.results, destination)
		}
	}
	maps.DeleteFunc(l.unreached, func(_ upstream.Destination, at time.Time) bool { return now.Sub(at) > unreachedTTL })
}
