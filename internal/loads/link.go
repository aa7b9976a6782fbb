package loads

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// linkKey identifies a link. A node may have two links to one address: for the reports of its own
// calls, and for those of its collector's sums.
type linkKey struct {
	address    string // of the collector that responds
	aggregated bool
}

// link is the state of the exchange with one collector. It is used by one exchange at a time.
type link struct {
	linkKey
	runID              uint64 // of the peer
	lastReceivedPrefix uint32 // number of the last prefix received from the peer
	lastReportedPrefix uint32 // number of the last prefix of this node's collector that the peer has

	takesDeltas  bool
	encoder      encoder  // of the reports to the peer; reports to a collector are exact
	acknowledged position // how far the peer has received this node's deltas

	responses decoder // of the responses to this node's own reports
}

// recordFailure records that a report got no response: another build may respond next. That gets
// the full form, which all builds understand and which is no larger than a delta of the full state.
func (l *link) recordFailure() { l.takesDeltas = false }

// recordResponse updates the link from a response.
func (l *link) recordResponse(response *wirepb.LoadAggregate) {
	if l.runID != response.GetRun() {
		l.runID, l.lastReceivedPrefix, l.responses = response.GetRun(), 0, decoder{}
	}
	l.takesDeltas = response.GetPosition() != nil
	l.acknowledged = positionOf(response.GetPosition())
}

// decode returns the aggregate in the response to a report of this node's own calls.
func (l *link) decode(response *wirepb.LoadAggregate) (Aggregate, error) {
	if response.GetDelta() != nil {
		if err := l.responses.apply(response.GetDelta()); err != nil {
			return Aggregate{}, err
		}
	} else {
		counts, nodes, valid := decodeCounts(response.GetLoads())
		if !valid {
			return Aggregate{}, errMalformed
		}
		l.responses.replace(counts, nodes)
	}
	l.lastReceivedPrefix = response.GetPrefixesReceived()
	return Aggregate{
		Others:         l.responses.counts(),
		Nodes:          l.responses.nodes,
		Prefixes:       decodePrefixes(response.GetPrefixes()),
		ReportInterval: time.Duration(min(response.GetPauseMillis(), maxIntervalMillis)) * time.Millisecond,
	}, nil
}
