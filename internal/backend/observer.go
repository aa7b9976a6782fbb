package backend

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Defaults of ObserverOptions.
const (
	DefaultObserveInterval    = 250 * time.Millisecond
	DefaultObserveTimeout     = 2 * time.Second
	DefaultObserveMaxInterval = 2 * time.Second
)

// errNotObserved: no poll has finished yet.
var errNotObserved = errors.New("engine not observed yet")

// ObserverOptions configures an Observer; zero values mean the defaults.
type ObserverOptions struct {
	Interval    time.Duration // between polls, with a tenth of jitter
	Timeout     time.Duration // of one poll
	MaxInterval time.Duration // between polls of a failing engine
	// EventInterval is the time between polls of cache events; zero means
	// that they are polled together with the load.
	EventInterval time.Duration
	// FirstEventPollDelay is the time from the start of Run to the first poll of
	// cache events, which returns a snapshot of the whole cache.
	FirstEventPollDelay time.Duration
	// OnPoll is called after each poll, in the goroutine of Run.
	OnPoll func(load Load, observedAt time.Time, err error)
}

// Observer polls the load and the cache events of one engine, and applies the events to an Index. Run
// must be called once; Latest is safe for concurrent use.
type Observer struct {
	name    string
	engine  Engine
	index   *Index
	options ObserverOptions
	latest  atomic.Pointer[observation]

	nextEvents time.Time // of the next poll of events; used only by Run
}

// observation is the outcome of a poll. A failed poll keeps the load and the time of the last
// successful one.
type observation struct {
	load       Load
	observedAt time.Time
	err        error
}

// NewObserver returns an observer of the named engine. If index is nil, cache events are not polled.
func NewObserver(name string, engine Engine, index *Index, options ObserverOptions) *Observer {
	if options.Interval <= 0 {
		options.Interval = DefaultObserveInterval
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultObserveTimeout
	}
	if options.MaxInterval <= 0 {
		options.MaxInterval = max(DefaultObserveMaxInterval, options.Interval)
	}
	observer := &Observer{name: name, engine: engine, index: index, options: options}
	observer.latest.Store(&observation{err: errNotObserved})
	return observer
}

// Run polls until ctx ends. It keeps the engine's blocks in the index; the caller removes them when the
// engine is removed.
func (o *Observer) Run(ctx context.Context) {
	o.nextEvents = time.Now().Add(o.options.FirstEventPollDelay)
	failures := 0
	for {
		err := o.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failures = 0
		} else {
			failures++
		}
		if !backoff.Wait(ctx, o.delay(failures)) {
			return
		}
	}
}

// Latest returns the last load that was read, the time at which it was read, and the error of the last
// poll if that poll failed.
func (o *Observer) Latest() (Load, time.Time, error) {
	latest := o.latest.Load()
	return latest.load, latest.observedAt, latest.err
}

// poll reads load and events once. The load is published as soon as it is read. Only the load decides
// whether the poll failed, because the index is a hint.
func (o *Observer) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, o.options.Timeout)
	defer cancel()
	next := *o.latest.Load()
	load, err := o.engine.Load(ctx)
	next.err = err
	if err == nil {
		next.load = load
		next.observedAt = time.Now()
	}
	o.latest.Store(&next)
	if err == nil && o.index != nil && !time.Now().Before(o.nextEvents) {
		o.nextEvents = time.Now().Add(o.options.EventInterval)
		o.pollEvents(ctx)
	}
	if o.options.OnPoll != nil {
		o.options.OnPoll(next.load, next.observedAt, next.err)
	}
	return err
}

// pollEvents applies the newest events. After a gap it first requests a snapshot, so that readers of
// the index do not see the blocks disappear until the next poll.
func (o *Observer) pollEvents(ctx context.Context) {
	after := o.index.Sequence(o.name)
	page, err := o.engine.CacheEvents(ctx, after)
	if err != nil {
		return
	}
	if !page.Snapshot && page.HasGap(after) {
		snapshot, err := o.engine.CacheEvents(ctx, 0)
		if err == nil {
			page = snapshot
		}
	}
	o.index.Apply(o.name, page)
}

// delay returns the interval, doubled for each consecutive failure up to MaxInterval, plus a jitter of
// up to a tenth.
func (o *Observer) delay(failures int) time.Duration {
	delay := o.options.Interval
	for ; failures > 0 && delay < o.options.MaxInterval; failures-- {
		delay *= 2
	}
	delay = min(delay, max(o.options.MaxInterval, o.options.Interval))
	return delay + rand.N(delay/10+1)
}
