package loads

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Collector aggregates what nodes report to this one. Every node has one; only that of
// the node which its zone has chosen gets reports. Safe for concurrent use.
type Collector struct {
	run uint64
	now func() time.Time

	mutex    sync.Mutex
	reports  map[uint64]report // by the sender's run
	prefixes *prefixLog
	dropped  uint64 // reports that made no sense
}

// report is what one node said last.
type report struct {
	counts     Counts
	nodes      int
	aggregated bool // of a zone
	at         time.Time
}

// NewCollector returns a collector of a run of this node, with a clock.
func NewCollector(run uint64, now func() time.Time) *Collector {
	return &Collector{run: run, now: now, reports: make(map[uint64]report), prefixes: newPrefixLog()}
}

// Answer takes a report and returns the aggregate for its sender.
func (c *Collector) Answer(sent *wirepb.ReportLoads) *wirepb.Reply {
	aggregate, sensible := c.take(sent)
	if !sensible {
		return &wirepb.Reply{Code: int32(api.MalformedRequest), Execution: string(api.NotRun), Detail: "the report makes no sense"}
	}
	body, err := proto.Marshal(aggregate)
	if err != nil {
		return &wirepb.Reply{Code: int32(api.Internal), Execution: string(api.NotRun), Detail: err.Error()}
	}
	return &wirepb.Reply{Body: body}
}

// take notes a report. It reports false if that makes no sense.
func (c *Collector) take(sent *wirepb.ReportLoads) (*wirepb.LoadAggregate, bool) {
	counts, nodes, sensible := decode(sent.GetLoads())
	now := c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expire(now)
	_, known := c.reports[sent.GetRun()]
	if !sensible || (!known && len(c.reports) >= maxReporters) {
		c.dropped++
		return nil, false
	}
	c.reports[sent.GetRun()] = report{counts: counts, nodes: max(1, nodes), aggregated: sent.GetAggregated(), at: now}
	received := c.received(sent)
	for _, prefix := range decodePrefixes(sent.GetPrefixes()) {
		c.prefixes.add(prefix)
	}
	return c.aggregate(sent.GetRun(), sent.GetAggregated(), received), true
}

// received returns the number of the last prefix that the sender of a report has.
func (c *Collector) received(sent *wirepb.ReportLoads) uint32 {
	if sent.GetReceivedFrom() != c.run {
		return 0
	}
	return sent.GetPrefixesReceived()
}

// aggregate returns what a node is to receive; for one that aggregates, the sums of this
// zone alone, since it receives the others from theirs. The mutex is held.
func (c *Collector) aggregate(asker uint64, aggregates bool, received uint32) *wirepb.LoadAggregate {
	sums, nodes, reporters := make(Counts), 0, 0
	for run, said := range c.reports {
		if !said.aggregated {
			reporters++
		}
		if run == asker || (aggregates && said.aggregated) {
			continue
		}
		sums.add(said.counts)
		nodes += said.nodes
	}
	return &wirepb.LoadAggregate{
		Run:              c.run,
		Loads:            encode(sums, nodes),
		Prefixes:         encodePrefixes(c.prefixes.after(received)),
		PrefixesReceived: c.prefixes.last(),
		PauseMillis:      uint32(max(leastPause, time.Duration(reporters)*reporterShare) / time.Millisecond),
	}
}

// receive takes in what another collector answered to this one.
func (c *Collector) receive(answered *wirepb.LoadAggregate) {
	counts, nodes, sensible := decode(answered.GetLoads())
	now := c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !sensible {
		c.dropped++
		return
	}
	if nodes > 0 {
		c.reports[answered.GetRun()] = report{counts: counts, nodes: nodes, aggregated: true, at: now}
	}
	for _, prefix := range decodePrefixes(answered.GetPrefixes()) {
		c.prefixes.add(prefix)
	}
}

// Aggregates reports whether nodes report here.
func (c *Collector) Aggregates() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expire(c.now())
	for _, said := range c.reports {
		if !said.aggregated {
			return true
		}
	}
	return false
}

// aggregated returns the sums of this zone and how many nodes they are of, the prefixes
// behind a number, and the number of the last of them.
func (c *Collector) aggregated(received uint32) (Counts, int, []Prefix, uint32) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expire(c.now())
	sums, nodes := make(Counts), 0
	for _, said := range c.reports {
		if !said.aggregated {
			sums.add(said.counts)
			nodes += said.nodes
		}
	}
	return sums, nodes, c.prefixes.after(received), c.prefixes.last()
}

// Dropped returns how many reports made no sense.
func (c *Collector) Dropped() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dropped
}

// expire forgets reports that are old. The mutex is held.
func (c *Collector) expire(now time.Time) {
	for run, said := range c.reports {
		if now.Sub(said.at) > reportLife {
			delete(c.reports, run)
		}
	}
}
