package coldstart

import (
	"maps"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// Gate is one node's share in keeping all nodes together within the limits of cold engines. It
// does no I/O and has no clock. Not safe for concurrent use.
//
// Invariant: the nodes that have the same list of nodes together never send a cold engine more than
// Rules.planned requests in any window, regardless of pauses, crashes and restarts.
type Gate struct {
	rules    Rules
	tracker  *Tracker
	senders  senders
	services map[string]routing.Service
	engines  map[string]routing.Engine
	counters map[string]*windowCounter // by the engine's name: a request admitted to an earlier incarnation may reach a later one
	cold     map[string]bool           // ids of cold engines, as of the last refresh
	heldBack uint64
	admitted uint64
}

// NewGate returns the gate of a node that admits nothing to cold engines until SetNodes is called.
func NewGate(rules Rules) *Gate {
	return &Gate{tracker: NewTracker(), rules: rules, counters: make(map[string]*windowCounter)}
}

// SetNodes sets the addresses of this node and all others.
func (g *Gate) SetNodes(own string, others []string) { g.senders.set(own, others) }

// AddNode adds a node that has joined and that the list of SetNodes does not name yet. Without a list, this node still
// admits nothing.
func (g *Gate) AddNode(address string) { g.senders.add(address) }

// SetMasked sets the ids of engines that the next list lacks only because a foreign entry, written by another
// writer, masks their own.
func (g *Gate) SetMasked(engines map[string]bool) { g.tracker.SetMasked(engines) }

// SetEngines replaces the engines and services.
func (g *Gate) SetEngines(now time.Time, engines map[string]routing.Engine, services map[string]routing.Service) {
	g.engines, g.services = engines, services
	g.tracker.SetServices(services)
	g.tracker.SetEngines(now, engines)
	g.refresh(now)
	names := make(map[string]bool, len(engines))
	for _, engine := range engines {
		names[engine.Name] = true
	}
	g.senders.retain(func(name string) bool { return names[name] })
	// Admitted requests count on while an engine is not listed: its entry may be masked by a foreign
	// entry for a moment, and the engine be cold when its own is back.
	maps.DeleteFunc(g.counters, func(name string, counter *windowCounter) bool { return !names[name] && counter.expired(now) })
}

// SetEvacuated sets the evacuated zones, to which nothing is sent.
func (g *Gate) SetEvacuated(now time.Time, zones map[string]bool) {
	g.tracker.SetEvacuated(now, zones)
	g.refresh(now)
}

// SourceLost records that the store stopped responding.
func (g *Gate) SourceLost(now time.Time) { g.tracker.SourceLost(now) }

// SourceRegained records that the store responds again.
func (g *Gate) SourceRegained(now time.Time) { g.tracker.SourceRegained(now) }

// RecordUnresponsive records that an engine refused a connection or stopped responding.
func (g *Gate) RecordUnresponsive(now time.Time, engine string) {
	g.tracker.RecordUnresponsive(now, engine)
	g.refresh(now)
}

// Answered records that an engine responded.
func (g *Gate) Answered(now time.Time, engine string) {
	if g.tracker.Answered(now, engine) {
		g.refresh(now)
	}
}

// Refresh recomputes which engines are cold, and returns those that have turned cold or warm since
// the last call. Between calls, evidence turns engines cold, but not warm.
func (g *Gate) Refresh(now time.Time) []Change {
	g.refresh(now)
	return g.tracker.Changes(now)
}

func (g *Gate) refresh(now time.Time) { g.cold = g.tracker.coldEngines(now) }

// Cold reports whether an engine counts as cold.
func (g *Gate) Cold(engine string) bool { return g.cold[engine] }

// HeldBack reports whether an engine gets no request now because it is cold.
func (g *Gate) HeldBack(now time.Time, engine string) bool {
	return g.cold[engine] && g.remaining(now, engine) <= 0
}

// remaining returns how many more requests this node may admit to an engine now.
func (g *Gate) remaining(now time.Time, engine string) int {
	entry := g.engines[engine]
	// By its name, on which nodes agree even if they list a new incarnation at different times.
	share := g.senders.share(entry.Name, g.rules.planned(g.services[entry.Service].ColdRequestsPerSecond))
	if counter := g.counters[entry.Name]; counter != nil {
		return counter.remaining(now, share)
	}
	return share
}

// Admit admits a request to an engine. It returns the deadline for sending the request; zero if the
// engine is warm. An admitted request counts whether it is sent or not.
func (g *Gate) Admit(now time.Time, engine string) time.Time {
	if !g.cold[engine] {
		return time.Time{}
	}
	name := g.engines[engine].Name
	counter := g.counters[name]
	if counter == nil {
		counter = &windowCounter{}
		g.counters[name] = counter
	}
	counter.admitted = append(counter.admitted, now)
	g.admitted++
	return now.Add(maxSendDelay)
}

// CountHeldBack counts a request that would use the engine, if the engine is held back.
func (g *Gate) CountHeldBack(now time.Time, engine string) {
	if g.HeldBack(now, engine) {
		g.heldBack++
	}
}

// Stats are the statistics of a gate.
type Stats struct {
	Cold      int    // cold engines
	Remaining int    // requests that this node may admit to them now
	Admitted  uint64 // requests admitted to cold engines
	HeldBack  uint64 // requests held back from the cold engine of their conversation's previous turn
}

// Stats returns the statistics.
func (g *Gate) Stats(now time.Time) Stats {
	stats := Stats{Cold: len(g.cold), Admitted: g.admitted, HeldBack: g.heldBack}
	for engine := range g.cold {
		stats.Remaining += g.remaining(now, engine)
	}
	return stats
}
