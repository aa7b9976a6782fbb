package serving

import (
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/internal/interregion"
	"github.com/pewtermill/pewtermill/internal/relay"
	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/wire"
)

// fullLinkLogPeriod is the minimum time between two log records about a full link to another region.
const fullLinkLogPeriod = 10 * time.Second

// bytesPerMegabit converts the capacity of a link, which is configured in megabits per second, to bytes per second.
const bytesPerMegabit = 1e6 / 8

// regionTraffic is the state of this process's inter-region traffic.
type regionTraffic struct {
	meter  *interregion.Meter
	zones  atomic.Pointer[map[string]string] // of peers, by address; nil before peers are listed
	logged atomic.Int64                      // time of the last log record about a full link, in Unix nanoseconds
}

// Transferred implements interregion.Observer.
func (m *Metrics) Transferred(direction interregion.Direction, kind interregion.Kind, bytes int) {
	m.regionBytes.WithLabelValues(direction.String(), kind.String()).Add(float64(bytes))
}

// Allows implements placement.RegionBudget.
func (p *Process) Allows(region string, kind interregion.Kind) bool {
	allowed := p.traffic.meter.Allows(region, kind)
	if !allowed {
		p.logFullLink(region)
	}
	return allowed
}

// logFullLink logs that the link to a region is full, at most once per fullLinkLogPeriod.
func (p *Process) logFullLink(region string) {
	now, last := time.Now().UnixNano(), p.traffic.logged.Load()
	if now-last < int64(fullLinkLogPeriod) || !p.traffic.logged.CompareAndSwap(last, now) {
		return
	}
	p.logger.Warn("link to another region full", "region", region, "bytes_per_second", int64(p.traffic.meter.NodeRate()))
}

// peerByteCounter returns the byte counter for a connection to a peer; nil if it needs none or its zone is unknown.
func (p *Process) peerByteCounter(address string) wire.ByteCounter {
	zones := p.traffic.zones.Load()
	if zones == nil {
		return nil
	}
	zone, listed := (*zones)[address]
	if !listed {
		return nil
	}
	return p.zoneByteCounter(zone, interregion.Control)
}

// engineByteCounter returns the byte counter for a connection to an engine; nil if it needs none.
func (p *Process) engineByteCounter(address string) upstream.ByteCounter {
	view := p.follower.View()
	for _, engine := range view.Engines {
		if engine.Address == address && view.HasService(engine.Service) {
			return p.zoneByteCounter(engine.Zone, interregion.Calls)
		}
	}
	return p.zoneByteCounter(p.settings.Topology.Zone(), interregion.Calls)
}

// zoneByteCounter returns the byte counter for a connection to a zone; nil if the zone is in this process's region.
func (p *Process) zoneByteCounter(zone string, kind interregion.Kind) *interregion.Counter {
	if p.settings.Topology.InOwnRegion(zone) {
		return nil
	}
	return p.traffic.meter.Counter(p.settings.Topology.RegionOf(zone), kind)
}

// shareLinks divides the links to other regions among the processes of this process's region.
func (p *Process) shareLinks(peers []relay.Peer) {
	zones := make(map[string]string, len(peers))
	for _, peer := range peers {
		zones[peer.Address] = peer.Zone
	}
	p.traffic.zones.Store(&zones)
	p.traffic.meter.SetNodes(len(regionPeers(peers, p.settings.Topology)) + 1)
}
