package loads

import "github.com/pewtermill/pewtermill/internal/wire/wirepb"

// Parameters of deltas.
const (
	// sumTolerance is the divisor of an engine's calls, an eighth of them, by which a sum sent to a
	// node may be off if there are many changes, so that random fluctuation is not sent. Counts
	// below sumTolerance are sent exactly. Placement decides by greater differences, and as many
	// calls start and end while a report is in flight.
	sumTolerance = 8
	// exact has every change sent: a sum of inexact counts would be off by the sum of their errors.
	exact = 0
	// maxExactBytes is the size up to which all changes are sent exactly: those of about 400
	// engines. At 2.4 reports per second, the rate of a zone of 84 nodes, it is a third of the
	// bandwidth that a node may spend on load reports.
	maxExactBytes = 512
	// fullEvery is the number of deltas after which the full state is sent again if nothing else
	// requires it: every minute at the longest report intervals.
	fullEvery = 128
)

// position is how far the peer has received deltas. A peer that has none is at the zero position.
type position struct {
	generation uint32
	version    uint64
	keys       int // how many keys of the generation it has
}

// positionOf returns the position in a message; the zero position if the message has none.
func positionOf(message *wirepb.LoadsPosition) position {
	return position{generation: message.GetGeneration(), version: message.GetVersion(), keys: int(message.GetKeys())}
}

// encoded returns the wire form of a position.
func (p position) encoded() *wirepb.LoadsPosition {
	return &wirepb.LoadsPosition{Generation: p.generation, Version: p.version, Keys: uint32(p.keys)}
}

// encoder makes deltas for one receiver. It keeps only the last state that it sent: a receiver with
// another version gets the full state. Not safe for concurrent use.
type encoder struct {
	tolerance  int // applied if there are many changes: sumTolerance or exact
	generation uint32
	version    uint64
	sent       []int32 // calls by index, as the receiver has them at that version
	deltas     int     // since the full state was sent
}

// encode returns a delta that takes a receiver from its acknowledged position to the given calls,
// which are by index.
func (e *encoder) encode(index *keyIndex, calls []int32, nodes int, acknowledged position) *wirepb.LoadsDelta {
	sameGeneration := acknowledged.generation == index.generation
	delta := &wirepb.LoadsDelta{Generation: index.generation, Nodes: uint32(nodes)}
	if sameGeneration && e.canContinue(acknowledged) {
		delta.Base = e.version
		e.deltas++
	} else {
		e.sent, e.deltas = nil, 0
	}
	if sameGeneration && acknowledged.keys <= index.keysInDeltas() {
		delta.FirstKey = uint32(acknowledged.keys)
	}
	for _, key := range index.keys[delta.FirstKey:index.keysInDeltas()] {
		delta.Keys = append(delta.Keys, uint32(key))
	}
	e.generation, e.version = index.generation, index.nextVersion()
	delta.Version = e.version
	delta.Changes = e.changes(calls[:min(len(calls), index.keysInDeltas())])
	return delta
}

// canContinue reports whether a receiver has the last delta and may get the next one.
func (e *encoder) canContinue(acknowledged position) bool {
	return acknowledged.version != 0 && acknowledged.generation == e.generation && acknowledged.version == e.version && e.deltas < fullEvery
}

// changes packs the changes that the receiver lacks, and records them as sent.
func (e *encoder) changes(calls []int32) []byte {
	e.sent = append(e.sent, make([]int32, max(0, len(calls)-len(e.sent)))...)
	packed, sent := changesBetween(e.sent, calls, exact)
	if len(packed) > maxExactBytes && e.tolerance != exact {
		packed, sent = changesBetween(e.sent, calls, e.tolerance)
	}
	e.sent = sent
	return packed
}

// changesBetween packs the changes that a receiver lacks, and returns the calls that it then has.
func changesBetween(received, calls []int32, tolerance int) (packed []byte, after []int32) {
	after = append([]int32(nil), received...)
	skipped := 0
	for i, count := range calls {
		difference := int(count - received[i])
		if withinTolerance(int(count), difference, tolerance) {
			skipped++
			continue
		}
		packed = appendChange(packed, skipped, difference)
		after[i] = count
		skipped = 0
	}
	return packed, after
}

// withinTolerance reports whether a receiver's count may be off by a difference.
func withinTolerance(calls, difference, tolerance int) bool {
	if tolerance == exact {
		return difference == 0
	}
	return max(difference, -difference) <= calls/tolerance
}
