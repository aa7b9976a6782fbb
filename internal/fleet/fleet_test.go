package fleet

import (
	"context"
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

// measurements bounds how often a measurement is repeated in which the
// stand-ins' estimated share of a short time was more than all of it.
const measurements = 20

// The steps of an experiment, with few nodes, measured until each of them has
// had something to do.
func TestMeasuresRealNodes(t *testing.T) {
	options := Options{CellSize: 2, ProgramsPerNode: 3}.withDefaults()
	c, err := newCluster(t.Context(), options, 3)
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	before := readMemory()
	if err := c.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	var steady Steady
	for range measurements {
		steady, err = c.measure(before, func() error { return c.untilBusy(t.Context()) })
		if err != nil {
			t.Fatal(err)
		}
		if steady.CorePercent > 0 {
			break
		}
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

// untilBusy waits until nodes have sent each other bytes and asked engines.
func (c *cluster) untilBusy(ctx context.Context) error {
	first, err := c.read()
	if err != nil {
		return err
	}
	for {
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return err
		}
		now, err := c.read()
		if err != nil {
			return err
		}
		traffic, requests := now.traffic.Since(first.traffic), now.engines.since(first.engines)
		if traffic.BytesSent > 0 && traffic.Writes > 0 && requests.Loads > 0 && now.processor > first.processor {
			return nil
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
