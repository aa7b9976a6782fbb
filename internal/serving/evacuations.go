package serving

import (
	"maps"
	"slices"

	"github.com/pewtermill/pewtermill/internal/discovery"
)

// loggedEvacuation is the state of an evacuation order for a zone when it was last logged.
type loggedEvacuation struct {
	active bool
	moved  uint64 // requests moved away from the zone's engines until then
}

// evacuatedZones returns the zones whose engines are to get no more requests.
func evacuatedZones(view *discovery.View) map[string]bool {
	zones := make(map[string]bool)
	for zone, order := range view.Evacuations {
		if order.Active {
			zones[zone] = true
		}
	}
	return zones
}

// logEvacuations logs the evacuation orders that were given or lifted. viewMutex is held.
func (p *Process) logEvacuations(view *discovery.View) {
	for _, zone := range slices.Sorted(maps.Keys(view.Evacuations)) {
		order, logged := view.Evacuations[zone], p.evacuations[zone]
		if order.Active == logged.active {
			continue
		}
		p.evacuations[zone] = loggedEvacuation{active: order.Active, moved: p.placer.MovedFrom(zone)}
		if order.Active {
			p.logEvacuation(view, zone, order)
			continue
		}
		p.logger.Info("evacuation taken back", "zone", zone, "row_version", order.Version,
			"requests_moved", p.placer.MovedFrom(zone)-logged.moved)
	}
}

// logEvacuation logs an order that was given. An order for an unknown zone has no effect.
func (p *Process) logEvacuation(view *discovery.View, zone string, order discovery.Evacuation) {
	engines := 0
	for _, engine := range view.Engines {
		if engine.Zone == zone {
			engines++
		}
	}
	if engines == 0 && !p.settings.Topology.HasZone(zone) {
		p.logger.Warn("evacuation of an unknown zone", "zone", zone, "row_version", order.Version)
		return
	}
	p.logger.Info("evacuation ordered", "zone", zone, "row_version", order.Version, "engines", engines)
}
