package placement

import (
	"testing"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// TestSlotsOfTheLesserVersionAreKept shows of which engines slots are kept for streams that only their version can go on
// with.
func TestSlotsOfTheLesserVersionAreKept(t *testing.T) {
	for name, play := range map[string]struct {
		engines []routing.Engine
		kept    map[string]int // by version
	}{
		"one version":   {[]routing.Engine{{ID: "a", Version: "v1"}, {ID: "b", Version: "v1"}}, map[string]int{"v1": 0}},
		"one is lesser": {[]routing.Engine{{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}, {ID: "c", Version: "v2"}}, map[string]int{"v1": 3, "v2": 0}},
		"halves":        {[]routing.Engine{{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}}, map[string]int{"v1": 3, "v2": 3}},
		"three":         {[]routing.Engine{{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}, {ID: "c", Version: "v3"}}, map[string]int{"v1": 3, "v2": 3, "v3": 3}},
		"one leaves":    {[]routing.Engine{{ID: "a", Version: "v1", Draining: true}, {ID: "b", Version: "v2"}}, map[string]int{"v2": 0}},
		"by case":       {[]routing.Engine{{ID: "a", Version: "v1"}, {ID: "b", Version: "V1"}}, map[string]int{"v1": 3, "V1": 3}},
		"alone":         {[]routing.Engine{{ID: "a", Version: "v1"}}, map[string]int{"v1": 0}},
	} {
		p := newPlacer("node", 0)
		known := make(map[string]routing.Engine)
		for _, engine := range play.engines {
			engine.Service, engine.Slots = "s", 12
			known[engine.ID] = engine
		}
		p.SetEngines(known, nil)
		lesser := p.lesserVersions()
		for version, kept := range play.kept {
			if got := keptSlots(12, lesser[versionKey{"s", version}]); got != kept {
				t.Errorf("%s: %d slots of version %s are kept, want %d", name, got, version, kept)
			}
		}
	}
	if kept := keptSlots(1, true); kept != 1 {
		t.Errorf("%d of one slot is kept", kept)
	}
}
