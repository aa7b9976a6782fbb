package loads

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// errTooManyReporters is returned for a new sender when maxReporters is reached.
var errTooManyReporters = errors.New("too many nodes report loads")

// Collector aggregates the reports that other nodes send to this one. Every node has one; only
// that of the node which its zone has chosen gets reports. Safe for concurrent use.
type Collector struct {
	runID    uint64
	now      func() time.Time
	observer TrafficObserver

	mutex     sync.Mutex
	index     *keyIndex
	streams   map[streamKey]*stream
	zoneSums  sums // of the nodes of this zone
	otherSums sums // received from other collectors
	reporters int  // nodes of this zone in zoneSums
	prefixes  *prefixLog
	dropped   uint64 // number of dropped reports
}

// NewCollector returns the collector of a node run, with a clock.
func NewCollector(runID uint64, now func() time.Time, observer TrafficObserver) *Collector {
	return &Collector{
		runID:    runID,
		now:      now,
		observer: observer,
		index:    newKeyIndex(),
		streams:  make(map[streamKey]*stream),
		prefixes: newPrefixLog(),
	}
}

// Answer processes a peer's report and returns the aggregate for it.
func (c *Collector) Answer(peer string, report *wirepb.ReportLoads) *wirepb.Reply {
	c.observer.LoadsTransferred(Received, reportForm(report), proto.Size(report))
	aggregate, err := c.takeReport(report)
	if err != nil {
		c.observer.LoadsDropped(peer, err)
	}
	if aggregate == nil {
		return &wirepb.Reply{Code: int32(api.MalformedRequest), Execution: string(api.NotRun), Detail: "the report makes no sense"}
	}
	body, err := proto.Marshal(aggregate)
	if err != nil {
		return &wirepb.Reply{Code: int32(api.Internal), Execution: string(api.NotRun), Detail: err.Error()}
	}
	c.observer.LoadsTransferred(Sent, aggregateForm(aggregate), len(body))
	return &wirepb.Reply{Body: body}
}

// takeReport processes a report and returns the aggregate for its sender. The error is why the
// report was dropped. There is no aggregate if the report is malformed. A delta that is merely
// stale or has an unknown base gets an aggregate, so that the sender learns which version this
// collector has.
func (c *Collector) takeReport(report *wirepb.ReportLoads) (*wirepb.LoadAggregate, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.maintain()
	id := streamKey{runID: report.GetRun(), kind: nodeStream}
	if report.GetAggregated() {
		id.kind = zoneStream
	}
	source, err := c.update(id, report.GetLoads(), report.GetDelta())
	if err != nil {
		c.dropped++
	}
	if source == nil || errors.Is(err, errMalformed) {
		return nil, err
	}
	receivedPrefix := c.acknowledgedPrefix(report)
	for _, prefix := range decodePrefixes(report.GetPrefixes()) {
		c.prefixes.add(prefix)
	}
	return c.aggregate(source, id.kind, report, receivedPrefix), err
}

// receiveAggregate processes the response of another collector to this one.
func (c *Collector) receiveAggregate(response *wirepb.LoadAggregate) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.maintain()
	id := streamKey{runID: response.GetRun(), kind: responseStream}
	if _, err := c.update(id, response.GetLoads(), response.GetDelta()); err != nil {
		c.dropped++
		return err
	}
	for _, prefix := range decodePrefixes(response.GetPrefixes()) {
		c.prefixes.add(prefix)
	}
	return nil
}

// maintain drops old state and reindexes if necessary. The mutex is held.
func (c *Collector) maintain() {
	c.expire(c.now())
	if c.index.isFull() {
		c.reindex()
	}
}

// streamFor returns a stream, which it creates if necessary. The mutex is held.
func (c *Collector) streamFor(id streamKey) (*stream, error) {
	if existing := c.streams[id]; existing != nil {
		return existing, nil
	}
	if len(c.streams) >= maxReporters {
		return nil, errTooManyReporters
	}
	created := &stream{updatedAt: c.now()}
	if id.kind == nodeStream {
		created.encoder.tolerance = sumTolerance
	}
	c.streams[id] = created
	return created, nil
}

// update applies a message to its stream and returns the stream, nil if there is none. A dropped
// message leaves the stream as it was. The mutex is held.
func (c *Collector) update(id streamKey, loads *wirepb.EngineLoads, delta *wirepb.LoadsDelta) (*stream, error) {
	source, err := c.streamFor(id)
	if err != nil {
		return nil, err
	}
	wasInSums := source.inSums
	c.removeFromSums(id, source)
	err = source.update(loads, delta)
	if err == nil {
		source.updatedAt = c.now()
	}
	if err == nil || wasInSums {
		c.addToSums(id, source)
	}
	return source, err
}

// addToSums adds a stream to the sums. Of the two streams that carry the sums of one zone, only
// the last one counts. The mutex is held.
func (c *Collector) addToSums(id streamKey, source *stream) {
	if id.kind != responseStream {
		source.decoder.nodes = max(1, source.decoder.nodes)
	}
	if source.decoder.nodes == 0 {
		return // no node reports to that collector
	}
	for _, key := range source.decoder.keys[len(source.indexes):] {
		source.indexes = append(source.indexes, c.index.indexOf(key))
	}
	c.growSums()
	switch id.kind {
	case nodeStream:
		c.zoneSums.add(source)
		c.reporters++
	case zoneStream:
		c.removeIfPresent(streamKey{runID: id.runID, kind: responseStream})
		c.otherSums.add(source)
	case responseStream:
		c.removeIfPresent(streamKey{runID: id.runID, kind: zoneStream})
		c.otherSums.add(source)
	}
	source.inSums = true
}

// growSums extends the sums to all indexes in use. The mutex is held.
func (c *Collector) growSums() {
	for _, grown := range []*sums{&c.zoneSums, &c.otherSums} {
		missing := len(c.index.keys) - len(grown.calls)
		grown.calls = append(grown.calls, make([]int32, missing)...)
	}
}

// removeFromSums removes a stream from the sums. The mutex is held.
func (c *Collector) removeFromSums(id streamKey, source *stream) {
	if !source.inSums {
		return
	}
	source.inSums = false
	if id.kind == nodeStream {
		c.zoneSums.subtract(source)
		c.reporters--
		return
	}
	c.otherSums.subtract(source)
}

// removeIfPresent removes a stream, if it exists, from the sums. The mutex is held.
func (c *Collector) removeIfPresent(id streamKey) {
	if source := c.streams[id]; source != nil {
		c.removeFromSums(id, source)
	}
}

// reindex starts a new generation of indexes, for the keys that have calls. The mutex is held.
func (c *Collector) reindex() {
	c.growSums()
	c.index.startGeneration(func(i int) bool { return c.zoneSums.calls[i] > 0 || c.otherSums.calls[i] > 0 })
	c.zoneSums, c.otherSums, c.reporters = sums{}, sums{}, 0
	for id, source := range c.streams {
		source.indexes = nil
		if source.inSums {
			source.inSums = false
			c.addToSums(id, source)
		}
	}
}

// acknowledgedPrefix returns the number of the last prefix that the sender of a report has received.
func (c *Collector) acknowledgedPrefix(report *wirepb.ReportLoads) uint32 {
	if report.GetReceivedFrom() != c.runID {
		return 0
	}
	return report.GetPrefixesReceived()
}

// aggregate returns the aggregate for a node. Another collector gets only the sums of this zone,
// since it receives the others from their own collectors. The mutex is held.
func (c *Collector) aggregate(requester *stream, requesterKind kind, report *wirepb.ReportLoads, receivedPrefix uint32) *wirepb.LoadAggregate {
	c.growSums()
	total := c.zoneSums.clone()
	if requesterKind == nodeStream {
		total = total.plus(&c.otherSums)
		if requester.inSums {
			total.subtract(requester)
		}
	}
	aggregate := &wirepb.LoadAggregate{
		Run:              c.runID,
		Prefixes:         encodePrefixes(c.prefixes.after(receivedPrefix)),
		PrefixesReceived: c.prefixes.last(),
		PauseMillis:      uint32(max(minInterval, time.Duration(c.reporters)*intervalPerReporter) / time.Millisecond),
	}
	if report.GetPosition() == nil {
		aggregate.Loads = encodeCounts(total.counts(c.index.keys), total.nodes)
		return aggregate
	}
	acknowledged := position{}
	if report.GetReceivedFrom() == c.runID {
		acknowledged = positionOf(report.GetPosition())
	}
	aggregate.Delta = requester.encoder.encode(c.index, total.calls, total.nodes, acknowledged)
	aggregate.Position = requester.decoder.position().encoded()
	return aggregate
}

// HasReporters reports whether nodes report to this collector.
func (c *Collector) HasReporters() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expire(c.now())
	return c.reporters > 0
}

// zoneReport returns the sums of this zone for another collector, as a delta if that one is known
// to accept deltas, with the prefixes after number lastReported, and the number of the last prefix.
func (c *Collector) zoneReport(to *link, lastReported uint32) (*wirepb.ReportLoads, uint32) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.maintain()
	c.growSums()
	report := &wirepb.ReportLoads{Aggregated: true, Prefixes: encodePrefixes(c.prefixes.after(lastReported))}
	if to.takesDeltas {
		report.Delta = to.encoder.encode(c.index, c.zoneSums.calls, c.zoneSums.nodes, to.acknowledged)
	} else {
		report.Loads = encodeCounts(c.zoneSums.counts(c.index.keys), c.zoneSums.nodes)
	}
	return report, c.prefixes.last()
}

// responsePosition returns the acknowledged position of another collector's responses.
func (c *Collector) responsePosition(runID uint64) position {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if source := c.streams[streamKey{runID: runID, kind: responseStream}]; source != nil {
		return source.decoder.position()
	}
	return position{}
}

// Dropped returns how many reports were dropped.
func (c *Collector) Dropped() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dropped
}

// expire removes old reports from the sums, and deletes the oldest streams. The mutex is held.
func (c *Collector) expire(now time.Time) {
	for id, source := range c.streams {
		age := now.Sub(source.updatedAt)
		if age > reportLifetime {
			c.removeFromSums(id, source)
		}
		if age > streamLifetime {
			delete(c.streams, id)
		}
	}
}
