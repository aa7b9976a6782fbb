package loads

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestOtherRegionsExchangeLessOften has the single nodes of three zones report for a second, the
// third zone being in another region. All must receive the calls of the others.
func TestOtherRegionsExchangeLessOften(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		m, nodes := newFleet(3, 1)
		for i, n := range nodes {
			n.placer.own[1] = 1
			n.options.OtherRegion = func(zone string) bool { return (zone == "zone-2") != (i == 2) }
		}
		for range 25 {
			runRound(m, nodes)
			time.Sleep(minInterval)
		}
		if exchanges := m.exchanged[nodes[2].address]; exchanges > 2*6 {
			t.Errorf("two nodes sent %d exchanges to the node of the other region", exchanges)
		}
		if exchanges := m.exchanged[nodes[0].address]; exchanges < 25 {
			t.Errorf("a node of the own region got %d exchanges", exchanges)
		}
		for _, n := range nodes {
			if n.placer.aggregate.Others[1] != 2 {
				t.Errorf("%s received %d calls of others, want 2", n.address, n.placer.aggregate.Others[1])
			}
		}
	})
}
