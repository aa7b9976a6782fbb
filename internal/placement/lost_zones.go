package placement

import (
	"maps"
	"time"

	"github.com/pewtermill/pewtermill/internal/loads"
	"github.com/pewtermill/pewtermill/internal/routing"
)

// lostZones holds the zones that do not respond. The placer's mutex guards it.
type lostZones struct {
	zones         map[string]bool
	alternatives  map[string]bool   // services that have usable engines in other zones
	zoneByAddress map[string]string // zones of engines, by the engine's address
	engineZones   map[string]bool   // zones that have engines
}

// covers reports whether an engine is skipped because its zone is lost. Engines of a service that
// has none in other zones are tried nevertheless.
func (l *lostZones) covers(engine routing.Engine) bool {
	return l.zones[engine.Zone] && l.alternatives[engine.Service]
}

// setEngines replaces the zones of the engines.
func (l *lostZones) setEngines(engines map[string]routing.Engine) {
	l.zoneByAddress = make(map[string]string, len(engines))
	l.engineZones = make(map[string]bool)
	for _, engine := range engines {
		l.zoneByAddress[engine.Address] = engine.Zone
		l.engineZones[engine.Zone] = true
	}
}

// ZoneOf returns the zone of the engine at an address.
func (p *Placer) ZoneOf(address string) (zone string, found bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	zone, found = p.lostZones.zoneByAddress[address]
	return zone, found
}

// SetLostZones replaces the zones that do not respond. Requests that wait for one of their engines
// are placed again. Each engine of a restored zone gets one request at a time until one succeeds.
// The caller must not modify the map afterwards.
func (p *Placer) SetLostZones(zones map[string]bool) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if maps.Equal(p.lostZones.zones, zones) {
		return
	}
	for id, engine := range p.engines {
		if p.lostZones.zones[engine.Zone] && !zones[engine.Zone] {
			p.failing.detector.ZoneRestored(id)
		}
	}
	p.lostZones.zones = zones
	p.refresh(now)
	p.advance(now)
}

// reportLostZones passes on the zones that other nodes report as lost. Their reports alone do not
// make a zone lost here; this node probes the zone itself. The mutex is held.
func (p *Placer) reportLostZones(aggregate loads.Aggregate) {
	if p.options.ZoneReportedLost == nil {
		return
	}
	for zone := range p.lostZones.engineZones {
		if aggregate.Others[loads.LostZoneKey(zone)] > 0 && !p.lostZones.zones[zone] {
			p.options.ZoneReportedLost(zone)
		}
	}
}

// findAlternatives determines which services have usable engines outside the lost zones. The
// mutex is held.
func (p *Placer) findAlternatives() {
	p.lostZones.alternatives = make(map[string]bool)
	if len(p.lostZones.zones) == 0 {
		return
	}
	for _, engine := range p.engines {
		if !engine.Draining && !p.evacuation.covers(engine) && !p.lostZones.zones[engine.Zone] {
			p.lostZones.alternatives[engine.Service] = true
		}
	}
}
