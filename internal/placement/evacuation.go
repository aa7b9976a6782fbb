package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// evacuation holds the evacuated zones, whose engines get no new requests. The placer's mutex
// guards it.
type evacuation struct {
	zones map[string]bool
	moved map[string]uint64 // requests placed away from the engine of their previous turn, by that engine's zone
}

// covers reports whether an engine gets no new requests because its zone is evacuated.
func (e *evacuation) covers(engine routing.Engine) bool { return e.zones[engine.Zone] }

// countMoved counts a request, not yet sent anywhere, that is not placed at the engine of its
// conversation's previous turn.
func (e *evacuation) countMoved(zone string) { e.moved[zone]++ }

// disallows reports whether a request may not use an engine, regardless of the engine's load and
// health. The mutex is held.
func (p *Placer) disallows(request Request, engine routing.Engine) bool {
	if request.Regions != nil && !slices.Contains(request.Regions, p.options.Topology.RegionOf(engine.Zone)) {
		return true
	}
	if request.Version != "" && engine.Version != request.Version {
		return true
	}
	return p.evacuation.covers(engine)
}

// reachable reports whether any engine that a restricted request may use is not suspected. If
// none is, a suspected engine is worth a try, just as refresh arranges it for unrestricted
// requests. The mutex is held.
func (p *Placer) reachable(request Request, now time.Time) bool {
	for id, engine := range p.engines {
		if engine.Service == request.Service && !engine.Draining && !p.disallows(request, engine) &&
			!slices.Contains(request.Excluded, id) && !p.failing.statuses[id].Excluded {
			return true
		}
	}
	return false
}

// SetEvacuations replaces the evacuated zones, whose engines get no new requests. Requests that
// wait for one of those engines are placed again; running ones finish. The caller must not modify
// the map afterwards.
func (p *Placer) SetEvacuations(zones map[string]bool) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if maps.Equal(p.evacuation.zones, zones) {
		return
	}
	p.evacuation.zones = zones
	p.cold.SetEvacuated(now, zones) // engines of zones whose evacuation was lifted are cold
	p.refresh(now)
	p.advance(now)
}

// MovedFrom returns how many requests were not placed at the engine of their conversation's
// previous turn because its zone was evacuated.
func (p *Placer) MovedFrom(zone string) uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.evacuation.moved[zone]
}

// TotalMoved returns the sum of MovedFrom over all zones.
func (p *Placer) TotalMoved() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	sum := uint64(0)
	for _, moved := range p.evacuation.moved {
		sum += moved
	}
	return sum
}
