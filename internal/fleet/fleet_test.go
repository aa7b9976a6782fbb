package fleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Every version that the experiment submits must be one that nodes accept.
func TestConfigurationsFollowEachOther(t *testing.T) {
	c := newConfiguration(Options{}.withDefaults(), 16, 3)
	if tenants, engines := len(c.current.Tenants), len(c.current.Engines); tenants != 470 || engines < 2600 {
		t.Errorf("%d tenants and %d engines", tenants, engines)
	}
	var inForce *bundle.Snapshot
	for range 3 {
		signed, err := c.signed()
		if err != nil {
			t.Fatal(err)
		}
		if refusal := bundle.Verify(inForce, signed); refusal != nil {
			t.Fatal(refusal)
		}
		if inForce, err = bundle.Compile(signed); err != nil {
			t.Fatal(err)
		}
		c.next()
	}
}

// An observer of a stand-in engine must find events without gaps, a full
// cache, and a load that is within its bounds.
func TestEngineStandInsAreConsistent(t *testing.T) {
	transport := newEngineTransport(Options{CacheEvents: 1000}.withDefaults())
	engine := backend.NewEngineClient("http://engine-0-1.engines.invalid", &http.Client{Transport: transport})
	index := backend.NewIndex(0)
	snapshot, err := engine.CacheEvents(t.Context(), 0)
	if err != nil || len(snapshot.Blocks) != cachedBlocks {
		t.Fatalf("a snapshot of %d blocks, %v", len(snapshot.Blocks), err)
	}
	index.Apply("engine", snapshot)
	for after := snapshot.Sequence; after < snapshot.Sequence+10; {
		page, err := engine.CacheEvents(t.Context(), max(1, after))
		if err != nil || page.HasGap(max(1, after)) || page.Sequence < after {
			t.Fatalf("events after %d: %+v, %v", after, page, err)
		}
		after = page.Sequence
		transport.started = transport.started.Add(-time.Millisecond)
	}
	load, err := engine.Load(t.Context())
	if err != nil || load.Running > load.MaxRunning || load.CacheUsedTokens > load.CacheCapacityTokens || len(load.Models) != 1 {
		t.Errorf("load %+v, %v", load, err)
	}
}

// The steps of an experiment, with few nodes and no time to settle.
func TestMeasuresRealNodes(t *testing.T) {
	options := Options{CellSize: 2, Settle: time.Millisecond, Measure: 500 * time.Millisecond, ProgramsPerNode: 3}
	steady, err := MeasureSteady(t.Context(), options, 3)
	if err != nil {
		t.Fatal(err)
	}
	if steady.Nodes != 3 || steady.CellSize != 2 || steady.EnginesPerCell != 13 {
		t.Errorf("ran %d nodes in cells of %d with %d engines", steady.Nodes, steady.CellSize, steady.EnginesPerCell)
	}
	for name, value := range map[string]float64{
		"processor time": steady.CorePercent, "heap": steady.HeapBytes, "goroutines": steady.Goroutines,
		"bytes": steady.PeerBytes, "engine requests": steady.EngineRequests,
	} {
		if value <= 0 {
			t.Errorf("%s measured as %v", name, value)
		}
	}
}

func TestSpread(t *testing.T) {
	var durations []time.Duration
	for index := range 9 {
		durations = append(durations, time.Duration((index*5)%9)*time.Second)
	}
	if got := fmt.Sprint(spreadOf(durations)); got != "{9 4 8}" {
		t.Errorf("spread %s", got)
	}
}
