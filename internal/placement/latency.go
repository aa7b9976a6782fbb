package placement

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/topology"
)

// Costs of one-way network latency, which the scheduler weighs against milliseconds of delay.
const (
	// crossZoneMillis is the cost of another zone: delay, and bytes that are paid for.
	crossZoneMillis = 3.0
	// unknownRegionMillis is the one-way latency assumed for a zone of another region that this
	// node has not connected to yet. Between regions of one country it is 5 to 20 ms; the node's
	// first connection there gives a better value.
	unknownRegionMillis = 20.0
	// maxRegionMillis bounds the learned latency, since a connection that took several attempts
	// takes longer than the network latency.
	maxRegionMillis = 100.0
	// latencyRise is the fraction of the difference that a slower connection adds to the learned
	// latency. A faster connection replaces it: a connection is never faster than the network.
	latencyRise = 0.05
)

// latencies holds the network latencies to zones of other regions, learned from new connections to
// their engines. The placer's mutex guards it.
type latencies struct {
	topology topology.Topology
	zones    map[string]string  // of other regions' engines, by address
	learned  map[string]float64 // one-way latency in ms, by zone
}

// setEngines replaces the engines of other regions.
func (l *latencies) setEngines(engines map[string]routing.Engine) {
	l.zones = make(map[string]string)
	for _, engine := range engines {
		if !l.topology.InOwnRegion(engine.Zone) {
			l.zones[engine.Address] = engine.Zone
		}
	}
}

// record updates the latency from the time that a new connection took, which is one round trip.
func (l *latencies) record(address string, took time.Duration) {
	zone, otherRegion := l.zones[address]
	if !otherRegion {
		return
	}
	latency := min(maxRegionMillis, millis(took)/2)
	if previous, found := l.learned[zone]; found && latency > previous {
		latency = previous + latencyRise*(latency-previous)
	}
	l.learned[zone] = latency
}

// cost returns the cost of the one-way latency between this node's zone and another.
func (l *latencies) cost(a, b string) float64 {
	if a == l.topology.Zone() {
		a, b = b, a
	}
	switch l.topology.Between(a, b) {
	case topology.SameZone:
		return 0
	case topology.SameRegion:
		return crossZoneMillis
	}
	if latency, found := l.learned[a]; found {
		return crossZoneMillis + latency
	}
	return crossZoneMillis + unknownRegionMillis
}

// Connected records how long a new connection to an engine took.
func (p *Placer) Connected(address string, took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.latencies.record(address, took)
}
