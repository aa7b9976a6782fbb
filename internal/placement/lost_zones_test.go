package placement

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/loads"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestLostZoneGetsNothing skips the engines of a lost zone, also that of the conversation's
// previous turn.
func TestLostZoneGetsNothing(t *testing.T) {
	p := newZonedPlacer("node", 6)
	p.SetLostZones(map[string]bool{"zone-a": true})
	for range 40 {
		placed, problem := p.Place(context.Background(), Request{Service: "s", MaxTokens: 40, LastEngine: "e00", LastTokens: 6400, Deadline: time.Now().Add(time.Minute)})
		if problem != nil {
			t.Fatal(problem)
		}
		if placed.Engine.Zone == "zone-a" {
			t.Fatalf("placed at %+v", placed.Engine)
		}
		p.Done(placed, Result{Outcome: Served})
	}
}

// TestOnlyZoneOfAServiceIsTriedThoughLost loses the only zone that has engines of a service.
func TestOnlyZoneOfAServiceIsTriedThoughLost(t *testing.T) {
	p := newZonedPlacer("node", 1)
	p.SetLostZones(map[string]bool{"zone-a": true})
	if placed := place(t, p); placed.Engine.ID != "e00" {
		t.Errorf("placed at %+v", placed.Engine)
	}
}

// TestEnginesOfARestoredZoneGetOneRequestAtATime restores a zone at a node that places many
// requests at once: each of its engines must get one, until it serves one.
func TestEnginesOfARestoredZoneGetOneRequestAtATime(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newZonedPlacer("node", 6)
		p.SetLostZones(map[string]bool{"zone-a": true})
		p.SetLostZones(map[string]bool{})
		var trial Placement
		running := make(map[string]int)
		for range 24 {
			placed := place(t, p)
			running[placed.Engine.ID]++
			if placed.Engine.Zone == "zone-a" {
				trial = placed
			}
		}
		if running["e00"] > 1 || running["e03"] > 1 || trial.Engine.ID == "" {
			t.Fatalf("placed %v, want at most one at e00 and e03 each", running)
		}
		p.Done(trial, Result{Outcome: Served})
		time.Sleep(2 * refreshPeriod) // virtual
		for range 24 {
			running[place(t, p).Engine.ID]++
		}
		if running[trial.Engine.ID] < 3 {
			t.Errorf("placed %v after %s has served one", running, trial.Engine.ID)
		}
	})
}

// TestLostZonesAreReported has one node report a lost zone to another.
func TestLostZonesAreReported(t *testing.T) {
	var reported []string
	p := newZonedPlacer("node", 3)
	p.options.ZoneReportedLost = func(zone string) { reported = append(reported, zone) }
	other := newZonedPlacer("other", 3)
	other.SetLostZones(map[string]bool{"zone-b": true})
	p.ReceiveLoads(loads.Aggregate{Others: other.InFlight(), Nodes: 1, ReportInterval: 100 * time.Millisecond})
	if len(reported) != 1 || reported[0] != "zone-b" {
		t.Errorf("zones reported as lost: %v", reported)
	}
	if placed := p.isExcluded("e01"); placed {
		t.Error("the report of another node alone excludes the zone's engines")
	}
	if zone, found := p.ZoneOf("e01"); !found || zone != "zone-b" {
		t.Errorf("engine e01 is in %q", zone)
	}
	p.SetEngines(map[string]routing.Engine{}, nil)
	if _, found := p.ZoneOf("e01"); found {
		t.Error("the zone of a removed engine is still known")
	}
}
