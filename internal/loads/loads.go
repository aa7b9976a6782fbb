// Package loads exchanges load reports between nodes: how many calls each node has in flight at
// each engine, and which engines have cached the shared first parts of prompts.
//
// By itself a node sees only its own calls: each of 66 nodes sees a sixty-sixth of an engine's
// load. One node of each zone, chosen by rendezvous hashing, aggregates for the zone (Collector).
// The nodes report to it and receive the sum of what all others have in flight (Reporter). The
// collectors exchange the sums of their zones. So a node sends one message per report interval
// regardless of the number of nodes, and the interval grows with the number of nodes of the zone.
//
// Reports are hints. A node's report counts for reportLifetime, an unresponsive collector is
// skipped, and a node without reports relies on its own calls. No request is rejected because
// reports are missing.
//
// Two peers that know each other exchange only changes: an encoder makes deltas, from which a
// decoder restores the counts. Each message acknowledges the deltas received from the other side;
// a peer that lacks the last delta gets the full state. Where hundreds of engines change at a
// time, sums that nodes receive may be off by an eighth (sumTolerance). A peer that sends no
// acknowledgement of deltas gets the full state each time.
package loads

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Bounds of what is accepted from peers.
const (
	maxEngines   = 4096 // in one report
	maxCalls     = 1 << 16
	maxReporters = 1024
	maxPrefixes  = 8192
)

// Intervals and lifetimes of reports.
const (
	// reportLifetime is for how long a report counts: a node that crashes, is paused or is
	// partitioned does not report the end of its calls.
	reportLifetime = time.Second
	// minInterval is the minimum interval between two reports of one node.
	minInterval = 40 * time.Millisecond
	// intervalPerReporter is what each node of a zone adds to the report interval, so that the
	// zone's collector gets at most 200 reports per second.
	intervalPerReporter = 5 * time.Millisecond
	// idleInterval is the interval between two reports of a node that has nothing in flight.
	idleInterval = 400 * time.Millisecond
	// otherRegionInterval is the interval between two exchanges with the collector of a zone of
	// another region. The network latency is higher than within a region, all regions share the
	// bandwidth, and few calls go there. It is well below reportLifetime, so that two may be lost.
	otherRegionInterval = 200 * time.Millisecond
)

// EngineKey identifies an engine in reports.
type EngineKey uint32

// KeyOf returns the key of an engine's id. If two engines have the same key, each counts the load
// of both.
func KeyOf(engine string) EngineKey { return EngineKey(xxhash.Sum64String(engine)) }

// RejectedKey is the key under which rejected programs are reported, in the form of prefixes.
var RejectedKey = EngineKey(xxhash.Sum64String("refused programs"))

// QueueKey returns the key of the calls of a service that wait for an engine. They are counted
// next to those in flight, as if the queue were an engine. Nodes that do not know the key ignore
// it, as they do the keys of unknown engines.
func QueueKey(service string) EngineKey {
	return EngineKey(xxhash.Sum64String("queue of service " + service))
}

// PendingKey returns the key of the programs of a service that were admitted, and whose first
// turns have not requested an engine yet. See QueueKey.
func PendingKey(service string) EngineKey {
	return EngineKey(xxhash.Sum64String("programs coming to service " + service))
}

// FailureKey returns the key that counts the nodes reporting an engine as failing. A node's
// failure report ends when a later report omits it, or with the lifetime of its report. See QueueKey.
func FailureKey(engine string) EngineKey {
	return EngineKey(xxhash.Sum64String("witnesses against engine " + engine))
}

// LostZoneKey returns the key that counts the nodes skipping a zone because nothing in it responds.
// See FailureKey.
func LostZoneKey(zone string) EngineKey {
	return EngineKey(xxhash.Sum64String("nodes that lost zone " + zone))
}

// Counts holds calls in flight by engine, waiting calls and pending programs by service, and the
// number of nodes that report an engine as failing or a zone as lost; see QueueKey, PendingKey,
// FailureKey and LostZoneKey.
type Counts map[EngineKey]int

// Prefix reports that an engine has cached the shared first part of a prompt.
type Prefix struct {
	Engine EngineKey
	Hash   uint64
}

// Aggregate is what a node receives about all other nodes.
type Aggregate struct {
	Others         Counts // sums over all other nodes
	Nodes          int    // number of other nodes in the sums
	Prefixes       []Prefix
	ReportInterval time.Duration // until the next report is due
}

// add adds other counts.
func (c Counts) add(other Counts) {
	for engine, calls := range other {
		c[engine] += calls
	}
}

// encodeCounts returns the wire form of counts.
func encodeCounts(counts Counts, nodes int) *wirepb.EngineLoads {
	message := &wirepb.EngineLoads{
		Engines: make([]uint32, 0, len(counts)),
		Calls:   make([]uint32, 0, len(counts)),
		Nodes:   uint32(nodes),
	}
	for engine, calls := range counts {
		if calls > 0 {
			message.Engines = append(message.Engines, uint32(engine))
			message.Calls = append(message.Calls, uint32(calls))
		}
	}
	return message
}

// decodeCounts returns the counts and the number of nodes in a message. It reports false if the
// message is malformed.
func decodeCounts(message *wirepb.EngineLoads) (Counts, int, bool) {
	engines, calls := message.GetEngines(), message.GetCalls()
	if len(engines) != len(calls) || len(engines) > maxEngines || message.GetNodes() > maxReporters*maxReporters {
		return nil, 0, false
	}
	counts := make(Counts, len(engines))
	for i, engine := range engines {
		if calls[i] > maxCalls {
			return nil, 0, false
		}
		counts[EngineKey(engine)] += int(calls[i])
	}
	return counts, int(message.GetNodes()), true
}
