package zonewatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Times of requests and probes.
const (
	// responseTimeout is the time without a response after which a peer counts as unresponsive. A live peer
	// responds, or sends a keep-alive, within some ms.
	responseTimeout = 100 * time.Millisecond
	// cancelledTimeout is the time after which a peer counts as unresponsive if its client cancels the request:
	// clients that wait for a first response do so after 80 ms.
	cancelledTimeout = 75 * time.Millisecond
	// maxTimerDelay is how late the end of that time may be noticed. If it is noticed later, this
	// process itself was paused, and the response may have arrived unread.
	maxTimerDelay = 50 * time.Millisecond
	// probeTimeout is how long the response to a probe is waited for: longer than maxSilence, as a late
	// response still shows that the peer is alive, and the zone's response times are measured by it.
	probeTimeout = time.Second
	// storeResponseTimeout is how long the store may take to answer a read of one row before it counts
	// as unresponsive. It normally takes 4 ms.
	storeResponseTimeout = 150 * time.Millisecond
	// storeProbeTimeout is how long an answer is waited for: a late one still shows that the store
	// is reachable, and that this node is not isolated.
	storeProbeTimeout = time.Second
)

// Options are what a Watch needs.
type Options struct {
	Zone string // of this node
	// ProbeStore reads a small row over the node's direct path. An error means that no answer came.
	ProbeStore func(ctx context.Context) error
	// Changed is called for each change, one at a time; it must not block.
	Changed func(change Change)
}

// Watch feeds a Detector with responses and timeouts of this node's requests, and sends the probes that the
// Detector requests. Safe for concurrent use.
type Watch struct {
	options Options
	wake    chan struct{}

	mutex    sync.Mutex
	detector *Detector
	zones    map[string]string // of peers, by address
	probe    func(ctx context.Context, address string) error

	anySuspected  atomic.Bool                     // some peer is suspected
	suspected     atomic.Pointer[map[string]bool] // zones
	isolatedSince atomic.Pointer[time.Time]       // nil if this node is not isolated
	mayBeIsolated atomic.Bool
}

// New returns a watch without peers.
func New(options Options) *Watch {
	w := &Watch{options: options, wake: make(chan struct{}, 1), detector: NewDetector(options.Zone)}
	w.suspected.Store(&map[string]bool{})
	return w
}

// SetPeers replaces the other nodes: their zones, by address, and the function that probes a peer.
func (w *Watch) SetPeers(zones map[string]string, probe func(ctx context.Context, address string) error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.zones, w.probe = zones, probe
	w.detector.SetPeers(zones)
}

// PeerSuspected reports whether a peer is to be skipped with its zone.
func (w *Watch) PeerSuspected(address string) bool {
	if !w.anySuspected.Load() {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.detector.PeerSuspected(address)
}

// ZoneSuspected reports whether a zone is to be skipped.
func (w *Watch) ZoneSuspected(zone string) bool { return (*w.suspected.Load())[zone] }

// SuspectedZones returns the zones that are to be skipped. The map must not be changed.
func (w *Watch) SuspectedZones() map[string]bool { return *w.suspected.Load() }

// IsolatedSince returns since when this node is isolated, if it is.
func (w *Watch) IsolatedSince() (time.Time, bool) {
	since := w.isolatedSince.Load()
	if since == nil {
		return time.Time{}, false
	}
	return *since, true
}

// MayBeIsolated reports whether this node is isolated, or will be unless responses arrive that may only be late.
func (w *Watch) MayBeIsolated() bool { return w.mayBeIsolated.Load() }

// ProbeAllZones requests probes of all zones, because the path to the store was lost.
func (w *Watch) ProbeAllZones() {
	w.mutex.Lock()
	w.detector.ProbeAllZones(time.Now())
	w.mutex.Unlock()
	w.wakeUp()
}

// ProbeZone requests probes of a zone, because other nodes suspect it.
func (w *Watch) ProbeZone(zone string) {
	w.mutex.Lock()
	due := w.detector.ProbeZone(zone, time.Now())
	w.mutex.Unlock()
	if due {
		w.wakeUp()
	}
}

// EngineResponded records a response of an engine.
func (w *Watch) EngineResponded(address, zone string) { w.recordResponse(address, zone) }

// EngineUnresponsive records that an engine did not respond to an attempt to connect that began at sentAt.
func (w *Watch) EngineUnresponsive(address, zone string, sentAt time.Time) {
	w.recordTimeout(address, zone, sentAt)
}

func (w *Watch) recordResponse(address, zone string) {
	w.mutex.Lock()
	due := w.detector.RecordResponse(address, zone, time.Now())
	w.mutex.Unlock()
	if due {
		w.wakeUp()
	}
}

// recordFirstResponse records the first response to a request, and how long it took, unless this process was paused
// meanwhile: it may have arrived unread.
func (w *Watch) recordFirstResponse(address, zone string, timer *responseTimer) {
	if took, measured := timer.responded(time.Now()); measured {
		w.mutex.Lock()
		w.detector.RecordResponseTime(zone, took)
		w.mutex.Unlock()
	}
	w.recordResponse(address, zone)
}

func (w *Watch) recordTimeout(address, zone string, sentAt time.Time) {
	w.mutex.Lock()
	w.detector.RecordTimeout(address, zone, sentAt, time.Now())
	w.mutex.Unlock()
	w.wakeUp()
}

// wakeUp makes Run take a step soon.
func (w *Watch) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run evaluates the zones until ctx ends. While all peers respond it only waits.
func (w *Watch) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-timer.C:
		}
		if wait := w.step(ctx); wait > 0 {
			timer.Reset(wait)
		}
	}
}

// step takes one step, reports changes, and sends the probes that the detector requests.
func (w *Watch) step(ctx context.Context) time.Duration {
	w.mutex.Lock()
	actions := w.detector.Step(time.Now())
	w.publish()
	probe := w.probe
	w.mutex.Unlock()
	for _, change := range actions.Changes {
		w.options.Changed(change)
	}
	for _, address := range actions.Probe {
		go w.probePeer(ctx, probe, address)
	}
	if actions.ProbeStore {
		go w.probeStore(ctx)
	}
	return actions.NextStep
}

// publish stores the decisions for callers that read them without a lock. The mutex is held.
func (w *Watch) publish() {
	suspected := w.detector.SuspectedZones()
	w.suspected.Store(&suspected)
	w.anySuspected.Store(w.detector.anySuspected())
	w.mayBeIsolated.Store(w.detector.MayBeIsolated())
	if since := w.detector.IsolatedSince(); since.IsZero() {
		w.isolatedSince.Store(nil)
	} else {
		w.isolatedSince.Store(&since)
	}
}

// probePeer probes a peer. ObservedClient reports the result to the watch.
func (w *Watch) probePeer(ctx context.Context, probe func(context.Context, string) error, address string) {
	if probe == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_ = probe(ctx, address) // ObservedClient has reported the result
}

// probeStore probes the store.
func (w *Watch) probeStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	sentAt := time.Now()
	timeout := time.AfterFunc(storeResponseTimeout, func() { w.recordStoreTimeout(sentAt) })
	err := w.options.ProbeStore(ctx)
	pending := timeout.Stop()
	switch {
	case err == nil:
		w.recordStoreProbe(true, sentAt)
	case pending:
		w.recordStoreTimeout(sentAt)
	}
}

// recordStoreTimeout records that the store has not answered, unless this process was paused in that time.
func (w *Watch) recordStoreTimeout(sentAt time.Time) {
	if time.Since(sentAt) <= storeResponseTimeout+maxTimerDelay {
		w.recordStoreProbe(false, sentAt)
	}
}

// recordStoreProbe records whether the store answered a probe that was sent at sentAt.
func (w *Watch) recordStoreProbe(answered bool, sentAt time.Time) {
	w.mutex.Lock()
	w.detector.RecordStoreProbe(answered, sentAt, time.Now())
	w.mutex.Unlock()
	w.wakeUp()
}

// zoneOf returns a peer's zone, and whether the peer is known.
func (w *Watch) zoneOf(address string) (string, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	zone, found := w.zones[address]
	return zone, found
}
