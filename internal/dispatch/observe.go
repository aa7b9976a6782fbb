package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/membership"
	"github.com/pewtermill/pewtermill/internal/observation"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

const (
	// digestTimeout is how long a node waits for a digest of an engine before it polls the engine
	// itself: longer than the interval at which digests are refreshed.
	digestTimeout = observation.RefreshAfter + 3*time.Second
	// fallbackInterval is the time between a node's own polls of an engine that another node is
	// assigned to observe.
	fallbackInterval = time.Second
	// eventInterval is the time between an observer's polls of cache events. Until the next poll, the
	// scheduler counts what it has just sent to an engine as cached there for some seconds.
	eventInterval = time.Second
	// firstEventDelay is how long a node has been assigned to observe an engine before it takes the
	// snapshot of the engine's cache, up to twice as long at random: while members join and leave,
	// assignments move several times, and a snapshot is megabytes.
	firstEventDelay = 3 * time.Second
)

// pollMode is why a node polls an engine.
type pollMode int

const (
	notPolled pollMode = iota
	// observer: this node is assigned to observe the engine; cache events are polled too.
	observer
	// fallback: no digest has arrived within digestTimeout.
	fallback
)

// engineMember is one configured engine.
type engineMember struct {
	config bundle.Engine
	number int // index among the cell's engines, sorted by name
	client *backend.EngineClient

	report   atomic.Pointer[observation.Report] // the newest one
	observed atomic.Bool                        // whether this node is the observer

	// Guarded by Fleet.mutex.
	mode pollMode
	stop context.CancelFunc // of the running polls; nil if there are none
	// digestAt is when the last digest arrived or, if later, when this node stopped observing the
	// engine.
	digestAt time.Time
}

func newEngineMember(config bundle.Engine, client *backend.EngineClient) *engineMember {
	member := &engineMember{config: config, client: client, digestAt: time.Now()}
	member.report.Store(&observation.Report{})
	return member
}

// UpdatePolling starts and stops polls according to this node's assignments and the digests of others.
// The node calls it periodically and when members change.
func (f *Fleet) UpdatePolling(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for name, member := range *f.members.Load() {
		f.setMode(member, f.requiredMode(name, member, now))
	}
}

// requiredMode returns the mode in which an engine must be polled now. The mutex must be held.
func (f *Fleet) requiredMode(name string, member *engineMember, now time.Time) pollMode {
	switch {
	case f.closed:
		return notPolled
	case f.options.Observes == nil || f.options.Observes(name):
		return observer
	case now.Sub(member.digestAt) >= digestTimeout:
		return fallback
	}
	return notPolled
}

// setMode stops the polls of another mode and starts those of this one. The mutex must be held.
func (f *Fleet) setMode(member *engineMember, mode pollMode) {
	if member.mode == mode {
		return
	}
	if member.mode == observer {
		member.digestAt = time.Now()
	}
	if member.stop != nil {
		member.stop()
		member.stop = nil
	}
	member.mode = mode
	member.observed.Store(mode == observer)
	if mode == notPolled {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	member.stop = cancel
	go f.poll(ctx, member, mode)
}

// poll polls an engine until ctx ends. Its part of the exact index is dropped then, as it would become
// outdated.
func (f *Fleet) poll(ctx context.Context, member *engineMember, mode pollMode) {
	options := backend.ObserverOptions{
		EventInterval:       eventInterval,
		FirstEventPollDelay: firstEventDelay + rand.N(firstEventDelay),
		OnPoll: func(load backend.Load, observedAt time.Time, err error) {
			if ctx.Err() == nil {
				f.polled(member, load, observedAt, err)
			}
		},
	}
	index := f.index
	if mode == fallback {
		options.Interval = fallbackInterval
		index = nil
	}
	backend.NewObserver(member.config.Name, member.client, index, options).Run(ctx)
	if index != nil {
		index.Remove(member.config.Name)
	}
}

// store replaces a member's report by a newer one.
func (f *Fleet) store(member *engineMember, next observation.Report) {
	previous := member.report.Swap(&next)
	if previous.ObservedAt.IsZero() || next.Load.Leaving && !previous.Load.Leaving {
		f.viewsChanged.Store(true)
	}
	f.served.ApplyReport(member.config.Name, next)
}

// polled records the result of a poll.
func (f *Fleet) polled(member *engineMember, load backend.Load, observedAt time.Time, err error) {
	previous := member.report.Load()
	if observedAt.IsZero() {
		load, observedAt = previous.Load, previous.ObservedAt
	}
	next := observation.Report{
		Load:        load,
		ObservedAt:  observedAt,
		Reachable:   err == nil,
		CacheEvents: previous.CacheEvents,
	}
	if member.observed.Load() {
		next.CacheEvents = f.index.Sequence(member.config.Name)
	}
	f.store(member, next)
	if member.observed.Load() && isUrgent(previous, next) {
		f.notifyPeers()
	}
}

// isUrgent reports whether peers should be notified of a report at once.
func isUrgent(before *observation.Report, next observation.Report) bool {
	return before.ObservedAt.IsZero() && !next.ObservedAt.IsZero() || next.Load.Leaving && !before.Load.Leaving
}

// notifyPeers notifies peers at once of an engine that is leaving, or that this node has just started
// to observe.
func (f *Fleet) notifyPeers() {
	if f.options.NotifyPeers != nil {
		f.options.NotifyPeers()
	}
}

// BeginRound prepares the digests of one round of heartbeats.
func (f *Fleet) BeginRound(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var observed []observation.EngineReport
	var alerts []int
	for name, member := range *f.members.Load() {
		report := *member.report.Load()
		if member.mode == observer && !report.ObservedAt.IsZero() {
			observed = append(observed, observation.EngineReport{Number: member.number, Report: report})
			continue
		}
		if f.isLeavingLocally(name, now) {
			alerts = append(alerts, member.number)
		}
	}
	f.digests.BeginRound(f.engineSet, observed, alerts, now)
}

// FillHeartbeat adds the round's digests to a heartbeat for a member. A member whose bundle is older
// than the last change of the cell's engines could not map the digests to engines; it gets all of them
// once it has the bundle.
func (f *Fleet) FillHeartbeat(heartbeat *wirepb.Heartbeat, receiver membership.Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if receiver.BundleVersion < f.engineSetVersion {
		f.digests.HeartbeatFailed(receiver.Name)
		return
	}
	f.digests.FillHeartbeat(heartbeat, receiver.Name, receiver.Incarnation)
}

// HeartbeatFailed records that a heartbeat did not reach the member.
func (f *Fleet) HeartbeatFailed(receiver string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.digests.HeartbeatFailed(receiver)
}

// Receive stores the digests of a peer's heartbeat. Digests for a set of engines other than that of
// this node's bundle are ignored.
func (f *Fleet) Receive(heartbeat *wirepb.Heartbeat, now time.Time) {
	if len(heartbeat.GetEngines()) == 0 {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if heartbeat.GetEngineSet() != f.engineSet {
		return
	}
	for _, digest := range heartbeat.GetEngines() {
		if int(digest.GetNumber()) < len(f.byNumber) {
			f.receive(f.byNumber[digest.GetNumber()], digest, now)
		}
	}
}

// receive stores one digest of a peer. The mutex must be held.
func (f *Fleet) receive(member *engineMember, digest *wirepb.EngineDigest, now time.Time) {
	name := member.config.Name
	if digest.GetAlert() {
		f.toldLeaving[name] = now
		f.viewsChanged.Store(true)
		return
	}
	if member.mode == observer {
		return
	}
	previous := member.report.Load()
	report, ok := observation.Decode(digest, *previous, now)
	if !ok {
		return
	}
	member.digestAt = now
	if report.ObservedAt.Before(previous.ObservedAt) && member.mode == fallback {
		return
	}
	f.store(member, report)
}
