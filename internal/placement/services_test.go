package placement

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/topology"
)

// TestEntriesOfUnknownServicesTellNothing lists entries of a service that the configuration does
// not name, with the address of an engine and of zones in which none is. What is known of
// addresses, zones and regions is of the engine's own entry, and the service is served as soon
// as it is named.
func TestEntriesOfUnknownServicesTellNothing(t *testing.T) {
	place := topology.New("zone-a", map[string]string{"zone-a": "near", "zone-b": "near", "zone-c": "far"})
	services := map[string]routing.Service{"s": {Name: "s"}}
	p := New(Options{Node: "n", Topology: place})
	for round := range 20 { // maps are walked in any order
		p.SetEngines(map[string]routing.Engine{
			"e": {ID: "e", Service: "s", Address: "10.0.0.1:1", Zone: "zone-b", Slots: 1},
			"x": {ID: "x", Service: "unknown", Address: "10.0.0.1:1", Zone: "zone-c", Slots: 1},
			"y": {ID: "y", Service: "unknown", Address: "10.0.0.2:1", Zone: "nowhere", Slots: 1},
		}, services)
		if zone, known := p.ZoneOf("10.0.0.1:1"); !known || zone != "zone-b" {
			t.Fatalf("round %d: the engine is in zone %q", round, zone)
		}
		if zone, known := p.ZoneOf("10.0.0.2:1"); known {
			t.Fatalf("an entry of an unknown service tells of zone %q", zone)
		}
		p.Connected("10.0.0.1:1", time.Second)
		if len(p.ways.learnt) > 0 || len(p.crossings.regions) != 1 {
			t.Fatalf("ways to %v, regions %q", p.ways.learnt, p.crossings.regions)
		}
	}
	services = map[string]routing.Service{"s": {Name: "s"}, "unknown": {Name: "unknown"}}
	p.SetEngines(p.engines, services)
	if zone, known := p.ZoneOf("10.0.0.2:1"); !known || zone != "nowhere" {
		t.Error("an engine is not known once its service is named")
	}
}
