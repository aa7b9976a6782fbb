package loads

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// streamLifetime is how long a sender's last state is kept as the base of its next delta. The state
// counts in sums only for reportLifetime.
const streamLifetime = 10 * time.Second

// kind distinguishes the streams that one run of a peer sends to a collector.
type kind int

const (
	nodeStream     kind = iota // the node's own calls
	zoneStream                 // the sums of its zone, in its own reports
	responseStream             // the sums of its zone, in responses to this node's reports
)

// streamKey identifies one stream.
type streamKey struct {
	runID uint64
	kind  kind
}

// stream is a collector's state of one sender: the sender's counts, and the encoder of the replies.
type stream struct {
	decoder   decoder
	indexes   []int // the collector's index for each index of the sender
	inSums    bool
	updatedAt time.Time
	encoder   encoder // of the aggregates that the sender receives
}

// update applies one message.
func (s *stream) update(loads *wirepb.EngineLoads, delta *wirepb.LoadsDelta) error {
	if delta != nil {
		before := s.decoder.position()
		if err := s.decoder.apply(delta); err != nil {
			return err
		}
		if before.generation != s.decoder.generation || int(delta.GetFirstKey()) < len(s.indexes) {
			s.indexes = nil
		}
		return nil
	}
	counts, nodes, valid := decodeCounts(loads)
	if !valid {
		return errMalformed
	}
	s.decoder.replace(counts, nodes)
	s.indexes = nil
	return nil
}

// sums holds calls by the collector's indexes, and the number of nodes that they are of.
type sums struct {
	calls []int32
	nodes int
}

// add adds the counts of a stream.
func (s *sums) add(source *stream) {
	for i, calls := range source.decoder.calls {
		s.calls[source.indexes[i]] += calls
	}
	s.nodes += source.decoder.nodes
}

// subtract subtracts the counts of a stream.
func (s *sums) subtract(source *stream) {
	for i, calls := range source.decoder.calls {
		s.calls[source.indexes[i]] -= calls
	}
	s.nodes -= source.decoder.nodes
}

// plus returns the sum of s and other.
func (s *sums) plus(other *sums) sums {
	total := s.clone()
	for i, calls := range other.calls {
		total.calls[i] += calls
	}
	total.nodes += other.nodes
	return total
}

// clone returns a copy.
func (s *sums) clone() sums {
	return sums{calls: append([]int32(nil), s.calls...), nodes: s.nodes}
}

// counts returns the calls by engine key.
func (s *sums) counts(keys []EngineKey) Counts {
	counts := make(Counts)
	for i, calls := range s.calls {
		if calls > 0 {
			counts[keys[i]] = int(calls)
		}
	}
	return counts
}
