// Package zonewatch distinguishes a zone that is lost or isolated from single nodes that are slow,
// and a node that is itself isolated from one that has lost others.
//
// A node sends requests to its peers and engines all the time. One that does not respond within a tenth
// of a second is unresponsive; that alone is weak evidence. It makes the node probe some more peers of that
// zone, and some of each other zone. A zone is suspected once several of its peers have been unresponsive
// for some time, none of them responded in that time, and somebody elsewhere did. That time is minSilence where other
// zones respond, longer by as much as the zone's own responses have taken of late, and maxSilence where several zones
// are silent: their responses may be late together, on one link. Then all of the zone is skipped at once. The first response from it ends the suspicion of the zone; each of its peers is trusted again when it
// responds itself.
//
// A node that gets no response from most other zones for maxSilence, and none from the store, is itself
// isolated, together with its zone or alone. Until then it may be.
//
// Detector decides, without I/O and without a clock. Watch feeds it. Each node decides for
// itself, and a decision may only affect which peers are tried first.
package zonewatch

import (
	"maps"
	"slices"
	"time"
)

// Detection thresholds.
const (
	// minUnresponsive is how many peers and engines of a zone have to be unresponsive. A single one may be slow,
	// or its machine lost.
	minUnresponsive = 2
	// probesPerZone is how many peers of a zone are probed once one of it is unresponsive. As many have
	// to be unresponsive, or all of the zone's if there are fewer.
	probesPerZone = 4
	// referenceProbesPerZone is how many peers of each other zone are probed at the same time, to find out
	// whether this node is the one that is isolated.
	referenceProbesPerZone = 2
)

// Times.
const (
	// minSilence is the minimum time without a response from a zone. A process with a CPU quota of a fifth of a core
	// is paused for up to 80 ms of each 100.
	minSilence = 200 * time.Millisecond
	// evidenceLifetime is how long a missing response counts.
	evidenceLifetime = time.Second
	// probeInterval is the time between two rounds of probes of a zone that may be lost, and between two probes
	// of one that is suspected.
	probeInterval = 250 * time.Millisecond
	// storeProbeInterval is the time between two probes of the store by an isolated node.
	storeProbeInterval = 500 * time.Millisecond
	// recoveryProbeInterval is the time between two rounds of probes of peers that are still suspected, after one of
	// their zone responded. 84 nodes of a zone are trusted again within 2 s.
	recoveryProbeInterval = 100 * time.Millisecond
	recoveryBatch         = 4
	// suspicionLifetime is how long a peer stays suspected that does not respond though its zone does.
	// By then requests to it fail or succeed on their own.
	suspicionLifetime = 10 * time.Second
	// responseLifetime is how long a zone counts as responsive after a response.
	responseLifetime = time.Second
)

// Kind is the kind of a change.
type Kind string

// Kinds of changes.
const (
	ZoneSuspected Kind = "zone suspected"
	ZoneRecovered Kind = "zone believed"
	NodeIsolated  Kind = "node cut off"
	NodeRejoined  Kind = "node rejoined"
)

// Change is one decision of a Detector.
type Change struct {
	Kind              Kind
	Zone              string        // empty if the change is about this node
	Duration          time.Duration // time without a response; for a recovery, how long it was suspected or isolated
	Unresponsive      int           // peers and engines that were unresponsive
	UnresponsiveZones int           // if the node is isolated: number of other zones without any response
}

// Actions are what the caller has to do after a step.
type Actions struct {
	Changes    []Change
	Probe      []string // addresses of peers to probe
	ProbeStore bool
	NextStep   time.Duration // until the next step is due; 0 if none is
}

// source is a peer or an engine.
type source struct {
	peer            bool
	unansweredSince time.Time // when the first request was sent that nobody of the zone has responded after; zero if it responded
	timedOutAt      time.Time // when its last request timed out
	suspectedAt     time.Time // when it was suspected with its zone; zero if it is trusted
	probedAt        time.Time // when Actions last contained it
}

// zone is the state of one zone.
type zone struct {
	sources           map[string]*source // by address; all peers, and engines that were unresponsive
	lastResponse      time.Time          // of any of its peers and engines
	probedAt          time.Time          // when Actions last contained peers of it
	referenceProbedAt time.Time          // when they last contained peers of it as a reference for another zone
	checking          bool               // some of it may be lost
	suspectedSince    time.Time          // since when there was no response; zero if it is trusted
	responseTimes     responseTimes      // of its peers
}

// Detector decides which zones are suspected from responses and timeouts. Not safe for concurrent use.
type Detector struct {
	ownZone              string
	zones                map[string]*zone
	lastStoreResponse    time.Time
	storeProbedAt        time.Time // when Actions last requested a probe of the store
	storeUnansweredSince time.Time // when a probe was sent that the store did not answer; zero if it answered since
	isolatedSince        time.Time // zero if this node is not isolated
	mayBeIsolated        bool      // as of the last step
	mostSilentSince      time.Time // since when more other zones are unresponsive than responsive; zero if they are not
	storeAnsweredSentAt  time.Time // when the last probe was sent that the store answered
}

// NewDetector returns a detector for a node in a zone, without peers.
func NewDetector(ownZone string) *Detector {
	return &Detector{ownZone: ownZone, zones: make(map[string]*zone)}
}

// SetPeers replaces the other nodes: their zones, by address. The state of those that
// stay is kept.
func (d *Detector) SetPeers(peers map[string]string) {
	for name, z := range d.zones {
		maps.DeleteFunc(z.sources, func(address string, src *source) bool {
			return src.peer && peers[address] != name
		})
	}
	for address, name := range peers {
		d.sourceOf(address, name).peer = true
	}
}

func (d *Detector) zoneOf(name string) *zone {
	z := d.zones[name]
	if z == nil {
		z = &zone{sources: make(map[string]*source)}
		d.zones[name] = z
	}
	return z
}

func (d *Detector) sourceOf(address, name string) *source {
	z := d.zoneOf(name)
	src := z.sources[address]
	if src == nil {
		src = &source{}
		z.sources[address] = src
	}
	return src
}

// RecordResponse records a response of a peer or an engine. It reports whether a step is due.
func (d *Detector) RecordResponse(address, name string, now time.Time) bool {
	z := d.zoneOf(name)
	z.lastResponse = now
	if src := z.sources[address]; src != nil {
		if src.peer {
			z.checking = false // peers that may be lost are still probed after the response of an engine
		}
		src.unansweredSince, src.timedOutAt, src.suspectedAt = time.Time{}, time.Time{}, time.Time{}
		if !src.peer {
			delete(z.sources, address)
		}
	}
	return !z.suspectedSince.IsZero() || !d.isolatedSince.IsZero() || d.mayBeIsolated
}

// RecordTimeout records that a peer or an engine has not responded to a request that was sent at sentAt.
func (d *Detector) RecordTimeout(address, name string, sentAt, now time.Time) {
	z := d.zoneOf(name)
	if !sentAt.After(z.lastResponse) {
		return // another one of the zone responded since: this one is slow
	}
	src := d.sourceOf(address, name)
	if !src.suspectedAt.IsZero() && !z.suspectedSince.IsZero() {
		return // skipped with its zone, which is probed all the time
	}
	if !src.unansweredSince.After(z.lastResponse) || now.Sub(src.timedOutAt) > evidenceLifetime {
		src.unansweredSince = sentAt
	}
	src.timedOutAt = now
	if src.suspectedAt.IsZero() {
		z.checking = true
	} // else its connection may be as old as the loss of its zone: alone it is no evidence
}

// ProbeZone requests probes of a zone, because another node suspects it or the path to the store was lost.
// It reports whether a step is due: not if peers of the zone were probed within evidenceLifetime.
func (d *Detector) ProbeZone(name string, now time.Time) bool {
	z := d.zoneOf(name)
	if now.Sub(z.probedAt) < evidenceLifetime {
		return false
	}
	z.checking = true
	return true
}

// ProbeAllZones requests probes of all zones.
func (d *Detector) ProbeAllZones(now time.Time) {
	for name := range d.zones {
		d.ProbeZone(name, now)
	}
}

// RecordStoreProbe records whether the store answered a probe that was sent at sentAt.
func (d *Detector) RecordStoreProbe(answered bool, sentAt, now time.Time) {
	switch {
	case answered:
		d.lastStoreResponse, d.storeUnansweredSince = now, time.Time{}
		if sentAt.After(d.storeAnsweredSentAt) {
			d.storeAnsweredSentAt = sentAt
		}
	case sentAt.After(d.lastStoreResponse):
		d.storeUnansweredSince = sentAt
	}
}

// PeerSuspected reports whether a peer is to be skipped.
func (d *Detector) PeerSuspected(address string) bool {
	for _, z := range d.zones {
		if src := z.sources[address]; src != nil {
			return !src.suspectedAt.IsZero()
		}
	}
	return false
}

// SuspectedZones returns the zones that are to be skipped.
func (d *Detector) SuspectedZones() map[string]bool {
	suspected := make(map[string]bool)
	for name, z := range d.zones {
		if !z.suspectedSince.IsZero() {
			suspected[name] = true
		}
	}
	return suspected
}

// IsolatedSince returns since when this node is isolated; zero if it is not.
func (d *Detector) IsolatedSince() time.Time { return d.isolatedSince }

// MayBeIsolated reports whether this node is isolated, or will be unless responses arrive that may only be late.
func (d *Detector) MayBeIsolated() bool { return d.mayBeIsolated }

// Step evaluates all zones and this node, and returns what the caller has to do.
func (d *Detector) Step(now time.Time) Actions {
	var actions Actions
	d.recoverZones(now, &actions)
	d.suspectZones(now, &actions)
	d.detectIsolation(now, &actions)
	d.chooseProbes(now, &actions)
	slices.Sort(actions.Probe)
	actions.NextStep = d.nextStep()
	return actions
}

// recoverZones ends the suspicion of zones that responded.
func (d *Detector) recoverZones(now time.Time, actions *Actions) {
	for _, name := range slices.Sorted(maps.Keys(d.zones)) {
		z := d.zones[name]
		if z.suspectedSince.IsZero() || !z.lastResponse.After(z.suspectedSince) {
			continue
		}
		actions.Changes = append(actions.Changes, Change{Kind: ZoneRecovered, Zone: name, Duration: now.Sub(z.suspectedSince)})
		z.suspectedSince = time.Time{}
		z.renewSuspicions(now)
	}
}

// renewSuspicions restarts the suspicionLifetime of all suspected sources.
func (z *zone) renewSuspicions(now time.Time) {
	for _, src := range z.sources {
		if !src.suspectedAt.IsZero() {
			src.suspectedAt = now
		}
	}
}

// unresponsiveSince returns since when nobody of a zone responds, and how many requests are unanswered. The time is
// zero if there are too few, or only requests to sources that are still suspected.
func (z *zone) unresponsiveSince(now time.Time) (time.Time, int) {
	first, _ := z.firstUnanswered(now)
	unresponsive, unresponsivePeers, trusted := 0, 0, 0
	for _, src := range z.sources {
		if !z.isUnanswered(src, now) {
			continue
		}
		unresponsive++
		if src.peer {
			unresponsivePeers++
		}
		if src.suspectedAt.IsZero() {
			trusted++
		}
	}
	if unresponsivePeers == 0 || unresponsivePeers < min(z.countPeers(), probesPerZone) || unresponsive < minUnresponsive || trusted == 0 || now.Sub(first) < minSilence {
		return time.Time{}, unresponsive
	}
	return first, unresponsive
}

// suspectZones suspects zones that are unresponsive while somebody else responds.
func (d *Detector) suspectZones(now time.Time, actions *Actions) {
	for _, name := range slices.Sorted(maps.Keys(d.zones)) {
		z := d.zones[name]
		first, unresponsive := z.unresponsiveSince(now)
		if name == d.ownZone || first.IsZero() || !z.suspectedSince.IsZero() || !d.respondsElsewhere(name, first) {
			continue
		}
		if now.Sub(first) < d.requiredSilence(name, z, first, now) {
			continue
		}
		z.suspect(name, first, unresponsive, now, actions)
	}
}

// suspect marks a zone and all of its sources as suspected.
func (z *zone) suspect(name string, since time.Time, unresponsive int, now time.Time, actions *Actions) {
	actions.Changes = append(actions.Changes, Change{Kind: ZoneSuspected, Zone: name, Duration: now.Sub(since), Unresponsive: unresponsive})
	z.suspectedSince = since
	z.checking = false
	for _, src := range z.sources {
		src.suspectedAt = now
	}
}

// respondsElsewhere reports whether anybody outside a zone, or the store, responded after some
// time. A node that gets no response from anybody is itself isolated.
func (d *Detector) respondsElsewhere(name string, after time.Time) bool {
	if d.lastStoreResponse.After(after) {
		return true
	}
	for other, z := range d.zones {
		if other != name && z.lastResponse.After(after) {
			return true
		}
	}
	return false
}

// detectIsolation decides whether this node is isolated: more of the other zones are unresponsive
// than responsive, and the store does not answer. If the store is down for all and one of
// three zones is lost, nobody is isolated. An isolated node suspects the zones that do not
// respond, even if it gets no response from anybody.
func (d *Detector) detectIsolation(now time.Time, actions *Actions) {
	storeUnanswered := now.Sub(d.storeUnansweredSince) <= evidenceLifetime
	counted := d.countZones(now)
	d.mostSilentSince = time.Time{}
	if counted.unresponsive > counted.responsive {
		d.mostSilentSince = counted.since
	}
	d.mayBeIsolated = storeUnanswered && !d.mostSilentSince.IsZero()
	isolated := storeUnanswered && counted.lost > counted.responsive
	switch {
	case isolated && d.isolatedSince.IsZero():
		d.isolatedSince = now
		actions.Changes = append(actions.Changes, Change{Kind: NodeIsolated, Duration: now.Sub(counted.since), Unresponsive: counted.sources, UnresponsiveZones: counted.unresponsive})
		d.suspectUnresponsive(now, actions)
	case !isolated && !d.isolatedSince.IsZero():
		actions.Changes = append(actions.Changes, Change{Kind: NodeRejoined, Duration: now.Sub(d.isolatedSince)})
		d.isolatedSince = time.Time{}
	}
}

// suspectUnresponsive suspects all other zones of which nobody responds.
func (d *Detector) suspectUnresponsive(now time.Time, actions *Actions) {
	for _, name := range slices.Sorted(maps.Keys(d.zones)) {
		z := d.zones[name]
		first, unresponsive := z.unresponsiveSince(now)
		if name != d.ownZone && !first.IsZero() && z.suspectedSince.IsZero() {
			z.suspect(name, first, unresponsive, now, actions)
		}
	}
}

// zoneCounts are the numbers of other zones by whether they respond.
type zoneCounts struct {
	responsive   int
	unresponsive int       // for minSilence and longer
	lost         int       // of those, for maxSilence and longer
	sources      int       // unanswered requests to unresponsive zones
	since        time.Time // start of the longest time without a response
}

// countZones counts the other zones.
func (d *Detector) countZones(now time.Time) zoneCounts {
	var counts zoneCounts
	for name, z := range d.zones {
		if name == d.ownZone || !z.hasPeers() {
			continue
		}
		first, sources := z.unresponsiveSince(now)
		if !z.suspectedSince.IsZero() {
			first = z.suspectedSince
		}
		switch {
		case !first.IsZero():
			counts.addUnresponsive(first, sources, now)
		case now.Sub(z.lastResponse) < responseLifetime:
			counts.responsive++
		}
	}
	return counts
}

// addUnresponsive counts a zone that has given no response since first.
func (c *zoneCounts) addUnresponsive(first time.Time, sources int, now time.Time) {
	c.unresponsive++
	c.sources += sources
	if now.Sub(first) >= maxSilence {
		c.lost++
	}
	if c.since.IsZero() || first.Before(c.since) {
		c.since = first
	}
}

func (z *zone) hasPeers() bool { return z.countPeers() > 0 }

// anySuspected reports whether any peer is suspected.
func (d *Detector) anySuspected() bool {
	for _, z := range d.zones {
		if z.anySuspected() {
			return true
		}
	}
	return false
}
