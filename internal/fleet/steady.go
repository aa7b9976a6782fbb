package fleet

import (
	"context"
	"runtime"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/wire"
)

// segmentOverheadBytes is what one TCP segment over IPv4 adds to its payload:
// 20 bytes of IP, 20 of TCP and 12 of the timestamp option. Each segment is
// taken to be acknowledged by an empty one in the other direction, as
// heartbeats of a pair of nodes travel on two connections, one each way.
const segmentOverheadBytes = 52

// eventPollPeriod is the time between an observer's polls of cache events.
const eventPollPeriod = time.Second

// Steady is what one node costs on average while nothing changes.
type Steady struct {
	Nodes             int         `json:"nodes"`
	CellSize          int         `json:"cell_size"`
	EnginesPerCell    int         `json:"engines_per_cell"`
	Seconds           float64     `json:"seconds"`
	CorePercent       float64     `json:"core_percent"`          // of one core, without the stand-ins
	StandInPercent    float64     `json:"stand_in_core_percent"` // of one core, for each node
	HeapBytes         float64     `json:"heap_bytes"`
	StackBytes        float64     `json:"stack_bytes"`
	ResidentBytes     float64     `json:"resident_bytes"`
	Goroutines        float64     `json:"goroutines"`
	PayloadSent       float64     `json:"payload_sent_bytes_per_second"`
	PayloadReceived   float64     `json:"payload_received_bytes_per_second"`
	Segments          float64     `json:"segments_sent_per_second"`
	PeerBytes         float64     `json:"peer_bytes_per_second"` // both ways, with headers and acknowledgements
	EngineRequests    float64     `json:"engine_requests_per_second"`
	TableOperations   float64     `json:"table_operations_per_second"`
	TableBytes        float64     `json:"table_bytes_per_second"`
	Table             TableCounts `json:"table"` // of all nodes, during the measurement
	AllocatedPerSec   float64     `json:"allocated_bytes_per_second"`
	AllocationsPerSec float64     `json:"allocations_per_second"`
}

// reading is all counters at one moment.
type reading struct {
	at        time.Time
	processor time.Duration
	traffic   wire.Traffic
	table     TableCounts
	engines   engineRequests
	memory    runtime.MemStats
}

func (c *cluster) read() (reading, error) {
	processor, err := processorTime()
	if err != nil {
		return reading{}, err
	}
	r := reading{
		at:        time.Now(),
		processor: processor,
		traffic:   c.traffic(),
		table:     c.platform.counts(),
		engines:   c.transport.requests(),
	}
	runtime.ReadMemStats(&r.memory)
	return r, nil
}

// MeasureSteady starts a cluster of hollow nodes and measures it for
// Options.Measure.
func MeasureSteady(ctx context.Context, options Options, size int) (Steady, error) {
	options = options.withDefaults()
	c, err := newCluster(ctx, options, size)
	if err != nil {
		return Steady{}, err
	}
	defer c.close()
	before := readMemory()
	if err := c.start(ctx); err != nil {
		return Steady{}, err
	}
	if err := pause(ctx, options.Settle); err != nil {
		return Steady{}, err
	}
	return c.measure(before, func() error { return pause(ctx, options.Measure) })
}

// measure averages over what happens during the given work.
func (c *cluster) measure(before Memory, during func() error) (Steady, error) {
	first, err := c.read()
	if err != nil {
		return Steady{}, err
	}
	if err := during(); err != nil {
		return Steady{}, err
	}
	last, err := c.read()
	if err != nil {
		return Steady{}, err
	}
	return c.steady(first, last, before, readMemory()), nil
}

// steady works out averages per node.
func (c *cluster) steady(first, last reading, before, after Memory) Steady {
	seconds := last.at.Sub(first.at).Seconds()
	nodes := float64(c.size)
	perNode := func(total float64) float64 { return total / seconds / nodes }
	traffic := last.traffic.Since(first.traffic)
	table := last.table.since(first.table)
	requests := last.engines.since(first.engines)
	standIns := c.standInTime(requests)
	segments := perNode(float64(traffic.Writes))
	sent, received := perNode(float64(traffic.BytesSent)), perNode(float64(traffic.BytesReceived))
	return Steady{
		Nodes:             c.size,
		CellSize:          min(c.size, c.options.CellSize),
		EnginesPerCell:    c.configuration.enginesPerCell,
		Seconds:           seconds,
		CorePercent:       100 * perNode((last.processor - first.processor - standIns).Seconds()),
		StandInPercent:    100 * perNode(standIns.Seconds()),
		HeapBytes:         (float64(after.Heap) - float64(before.Heap)) / nodes,
		StackBytes:        (float64(after.Stacks) - float64(before.Stacks)) / nodes,
		ResidentBytes:     (float64(after.Resident) - float64(before.Resident)) / nodes,
		Goroutines:        float64(after.Goroutines-before.Goroutines) / nodes,
		PayloadSent:       sent,
		PayloadReceived:   received,
		Segments:          segments,
		PeerBytes:         sent + received + 4*segments*segmentOverheadBytes,
		EngineRequests:    perNode(float64(requests.Loads + requests.Events + requests.Others)),
		TableOperations:   perNode(float64(table.operations())),
		TableBytes:        perNode(float64(table.BytesAnswered)),
		Table:             table,
		AllocatedPerSec:   perNode(float64(last.memory.TotalAlloc - first.memory.TotalAlloc)),
		AllocationsPerSec: perNode(float64(last.memory.Mallocs - first.memory.Mallocs)),
	}
}

// standInTime is the processor time that the engine stand-ins took for so
// many requests, from the cost of one request measured by itself.
func (c *cluster) standInTime(requests engineRequests) time.Duration {
	load, events := c.transport.cost(eventPollPeriod)
	return time.Duration(requests.Loads)*load + time.Duration(requests.Events)*events
}

func pause(ctx context.Context, length time.Duration) error {
	if !backoff.Wait(ctx, length) {
		return ctx.Err()
	}
	return nil
}
