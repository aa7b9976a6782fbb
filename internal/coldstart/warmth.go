package coldstart

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// Parameters of the evidence that an engine is cold.
const (
	// coldMargin is how long an engine still counts as cold after its cold duration. The duration is
	// counted from when the evidence was received, about 0.2 s after the start; so the margin only
	// covers differences between clock rates, and the rounding by engines.
	coldMargin = 100 * time.Millisecond
	// entryLag is the maximum age of an entry when it is read: engines write theirs about every
	// 1.2 s. An entry read sooner than that after other evidence may have been written before it.
	entryLag = 1500 * time.Millisecond
	// outageGrace is how long after an outage of the store an entry that disappears or reappears is
	// no evidence about its engine: three heartbeats of 1.2 s, and two seconds in which live engines
	// are listed again.
	outageGrace = 6 * time.Second
	// partitionGrace is how long after most engines were unresponsive a lack of responses is
	// attributed to this node's own network.
	partitionGrace = 2 * time.Second
	// restartWindow is how long an unresponsive engine may restart under its id while it stays
	// listed: its entry disappears after three heartbeats of 1.2 s, and nodes learn of that somewhat
	// later. A node that may send it nothing does not find out sooner.
	restartWindow = 5 * time.Second
	// maxMasked is how long an engine's entry may be masked by a foreign entry, before the same incarnation writes
	// its own again, without being evidence. An engine that misses three heartbeats of 1.2 s loses its entry; one
	// that is masked for longer may have been unresponsive too, and counts as one that reappeared.
	maxMasked = 3600 * time.Millisecond
	// unlistedRetention is how long the state of an unlisted engine is kept.
	unlistedRetention = time.Minute
)

// Reason is the evidence by which an engine is cold.
type Reason string

// Reasons.
const (
	NewIncarnation Reason = "new_incarnation" // a name, or an incarnation of it, that was not listed before
	Reappeared     Reason = "came_back"       // its entry had disappeared
	SelfReported   Reason = "entry"           // its own entry reports it
	Unresponsive   Reason = "silent"          // it refused connections or stopped responding
	EvacuationOver Reason = "evacuation_over" // the evacuation of its zone was lifted
)

// Change describes an engine that turned cold or warm, or was removed while it was cold.
type Change struct {
	ID      string
	Engine  routing.Engine // as last listed
	Cold    bool
	Removed bool
	Reason  Reason    // why it is, or was, cold
	Since   time.Time // when the evidence was received; zero if it no longer applies
}

// Tracker tracks which engines are cold, as seen by one node. It does no I/O and has no clock.
// Not safe for concurrent use.
//
// It tracks all engines, whatever their service, so that a later or changed configuration applies
// to engines listed before it; only engines of a service that limits the requests to cold engines
// are ever cold.
type Tracker struct {
	services map[string]routing.Service
	engines  map[string]*engineState // by the id of the incarnation
	hasList  bool                    // whether a list with engines was received

	sourceLost       bool      // whether the store is unavailable now
	sourceChangedAt  time.Time // when the store last became unavailable or available again; zero if never
	partitionedUntil map[string]time.Time
	evacuated        map[string]bool // zones to which nothing is sent
	masked           map[string]bool // ids of engines, as set by SetMasked
}

// engineState is what is known about one engine.
type engineState struct {
	engine         routing.Engine
	removedAt      time.Time // since when it is unlisted; zero if it is listed
	removedByStore bool      // its entry disappeared because of the store
	masked         bool      // it has been masked for as long as it is unlisted
	unresponsive   bool      // it did not respond, and has not since
	unresponsiveAt time.Time // when it last did not respond

	reason            Reason
	evidenceAt        time.Time // of the last evidence that it is cold; zero for none
	selfReportedUntil time.Time // until when it is cold by its own entry
	reportedCold      bool      // as last returned by Changes
}

// NewTracker returns a Tracker without engines and services.
func NewTracker() *Tracker {
	return &Tracker{engines: make(map[string]*engineState), partitionedUntil: make(map[string]time.Time)}
}

// SetServices sets the services of a configuration.
func (t *Tracker) SetServices(services map[string]routing.Service) { t.services = services }

// SourceLost records that the store stopped responding.
func (t *Tracker) SourceLost(now time.Time) { t.sourceLost, t.sourceChangedAt = true, now }

// SourceRegained records that the store responds again.
func (t *Tracker) SourceRegained(now time.Time) {
	if t.sourceLost {
		t.sourceLost, t.sourceChangedAt = false, now
	}
}

// recentOutage reports whether the store is unavailable or was within outageGrace.
func (t *Tracker) recentOutage(now time.Time) bool {
	return t.sourceLost || (!t.sourceChangedAt.IsZero() && now.Sub(t.sourceChangedAt) < outageGrace)
}

// SetMasked sets the ids of engines that the next list lacks only because a foreign entry, written by another
// writer, masks their own.
func (t *Tracker) SetMasked(engines map[string]bool) { t.masked = engines }

// SetEngines replaces the list of engines. Those of the first list may have run for a long time, and
// are cold only if their entries report it.
func (t *Tracker) SetEngines(now time.Time, engines map[string]routing.Engine) {
	t.dropSuperseded(engines)
	for id, state := range t.engines {
		if _, found := engines[id]; !found {
			t.markUnlisted(now, id, state)
		}
	}
	t.excuseMassRemoval()
	for id, engine := range engines {
		t.updateListed(now, id, engine)
	}
	t.hasList = t.hasList || len(engines) > 0
}

// dropSuperseded drops engines that have restarted as another incarnation: they do not reappear, and
// do not count among those whose entries disappeared. It keeps masked engines, which may still run.
func (t *Tracker) dropSuperseded(engines map[string]routing.Engine) {
	current := make(map[string]string, len(engines))
	for id, engine := range engines {
		current[engine.Name] = id
	}
	maps.DeleteFunc(t.engines, func(id string, state *engineState) bool {
		currentID, listed := current[state.engine.Name]
		return listed && currentID != id && !t.masked[id]
	})
}

// markUnlisted records that an engine is not listed.
func (t *Tracker) markUnlisted(now time.Time, id string, state *engineState) {
	switch {
	case state.removedAt.IsZero():
		state.removedAt, state.removedByStore, state.masked = now, false, true
	case now.Sub(state.removedAt) >= unlistedRetention:
		delete(t.engines, id)
	}
	state.removedByStore = state.removedByStore || t.recentOutage(now)
	state.masked = state.masked && t.masked[id]
}

// excuseMassRemoval attributes to the store, not to the engines, that an entry disappeared together
// with those of most engines of its service.
func (t *Tracker) excuseMassRemoval() {
	total, removed := make(map[string]int), make(map[string]int)
	for _, state := range t.engines {
		total[state.engine.Service]++
		if !state.removedAt.IsZero() {
			removed[state.engine.Service]++
		}
	}
	for _, state := range t.engines {
		service := state.engine.Service
		if !state.removedAt.IsZero() && 2*removed[service] > total[service] {
			state.removedByStore = true
		}
	}
}

// updateListed updates the state of a listed engine.
func (t *Tracker) updateListed(now time.Time, id string, engine routing.Engine) {
	state := t.engines[id]
	switch {
	case state == nil:
		state = &engineState{}
		t.engines[id] = state
		if t.hasList {
			state.addEvidence(NewIncarnation, now)
		}
	case !state.removedAt.IsZero():
		masked := state.masked && now.Sub(state.removedAt) < maxMasked
		if !state.removedByStore && !masked && !t.recentOutage(now) {
			state.addEvidence(Reappeared, now)
		}
		state.removedAt = time.Time{}
	}
	before := state.engine.ColdRemaining
	state.engine = engine
	if engine.ColdRemaining != before {
		state.applyEntry(now)
	}
}

// addEvidence records evidence that an engine may be cold as of now.
func (s *engineState) addEvidence(reason Reason, now time.Time) { s.reason, s.evidenceAt = reason, now }

// applyEntry applies a new entry. It replaces other evidence if it was certainly written after that.
func (s *engineState) applyEntry(now time.Time) {
	if now.Sub(s.evidenceAt) >= entryLag {
		s.evidenceAt = time.Time{}
	}
	s.selfReportedUntil = time.Time{}
	if s.engine.ColdRemaining <= 0 {
		return
	}
	s.selfReportedUntil = now.Add(s.engine.ColdRemaining)
	if s.evidenceAt.IsZero() {
		s.reason = SelfReported
	}
}

// SetEvacuated sets the evacuated zones, to which nothing is sent. Engines of a zone whose
// evacuation is lifted may have turned cold in the meantime.
func (t *Tracker) SetEvacuated(now time.Time, zones map[string]bool) {
	for _, state := range t.engines {
		zone := state.engine.Zone
		if t.evacuated[zone] && !zones[zone] {
			state.addEvidence(EvacuationOver, now)
		}
	}
	t.evacuated = zones
}

// RecordUnresponsive records that an engine refused a connection or stopped responding. If most of
// a service's engines do, this node is partitioned, and that is no evidence about the engines.
func (t *Tracker) RecordUnresponsive(now time.Time, id string) {
	state := t.engines[id]
	if state == nil {
		return
	}
	state.unresponsive, state.unresponsiveAt = true, now
	service := state.engine.Service
	total, unresponsive := 0, 0
	for _, other := range t.engines {
		if other.engine.Service == service && other.removedAt.IsZero() {
			total++
			if other.unresponsive {
				unresponsive++
			}
		}
	}
	until := t.partitionedUntil[service]
	if 2*unresponsive <= total && !now.Before(until) {
		return
	}
	t.partitionedUntil[service] = now.Add(partitionGrace)
	for _, other := range t.engines {
		if other.engine.Service == service {
			other.unresponsive = false
		}
	}
}

// Answered records that an engine responded. One that was unresponsive may just have restarted.
// Answered reports whether it was.
func (t *Tracker) Answered(now time.Time, id string) bool {
	state := t.engines[id]
	if state == nil || !state.unresponsive {
		return false
	}
	state.unresponsive = false
	state.addEvidence(Unresponsive, now)
	return true
}

// Cold reports whether an engine counts as cold.
func (t *Tracker) Cold(now time.Time, id string) bool {
	state := t.engines[id]
	return state != nil && t.isCold(now, state)
}

func (t *Tracker) isCold(now time.Time, state *engineState) bool {
	service := t.services[state.engine.Service]
	if service.ColdRequestsPerSecond <= 0 {
		return false
	}
	byEvidence := !state.evidenceAt.IsZero() && now.Before(state.evidenceAt.Add(service.ColdDuration+coldMargin))
	byEntry := !state.selfReportedUntil.IsZero() && now.Before(state.selfReportedUntil.Add(coldMargin))
	byUnresponsiveness := state.unresponsive && now.Before(state.unresponsiveAt.Add(restartWindow+service.ColdDuration+coldMargin))
	return byUnresponsiveness || byEvidence || byEntry
}

// coldEngines returns the listed engines that are cold; nil if none is.
func (t *Tracker) coldEngines(now time.Time) map[string]bool {
	var engines map[string]bool
	for id, state := range t.engines {
		if state.removedAt.IsZero() && t.isCold(now, state) {
			if engines == nil {
				engines = make(map[string]bool)
			}
			engines[id] = true
		}
	}
	return engines
}

// Changes returns the engines that have turned cold or warm since the last call, ordered by id.
func (t *Tracker) Changes(now time.Time) []Change {
	var changes []Change
	for id, state := range t.engines {
		if cold := state.removedAt.IsZero() && t.isCold(now, state); cold != state.reportedCold {
			state.reportedCold = cold
			changes = append(changes, state.change(id))
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	return changes
}

// change returns the current state of an engine as a Change.
func (s *engineState) change(id string) Change {
	change := Change{ID: id, Engine: s.engine, Cold: s.reportedCold, Removed: !s.removedAt.IsZero(), Reason: s.reason, Since: s.evidenceAt}
	if s.unresponsive {
		change.Reason, change.Since = Unresponsive, s.unresponsiveAt
	}
	return change
}
