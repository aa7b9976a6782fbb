package serving

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/relay"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/zonefeed"
)

// setWatchers sets the processes from which the zone's watcher is selected. If keys are valid for a limited time after the
// last update of the configuration, each process watches the store by itself: the data of a watcher may be older than
// the time of its reply. If the own zone could not be read, the processes that are known remain: a process
// that takes itself for the only one of its zone reads large tables over the link that all share.
func (p *Process) setWatchers(client *wire.Client, listing relay.Listing) {
	neighbours := p.neighboursAmong(listing.Peers)
	p.watch.SetFallbackPeers(client, neighbours)
	if p.settings.KeysValidFor > 0 || !p.knowsOwnZone(listing) {
		return
	}
	p.watch.SetPeers(client, p.PeerAddress(), neighbours.Zone)
}

// neighboursAmong returns the other processes, grouped by distance.
func (p *Process) neighboursAmong(peers []relay.Peer) zonefeed.Neighbours {
	var neighbours zonefeed.Neighbours
	for _, peer := range peers {
		switch {
		case peer.Zone == p.settings.Topology.Zone():
			neighbours.Zone = append(neighbours.Zone, peer.Address)
		case p.settings.Topology.InOwnRegion(peer.Zone):
			neighbours.Region = append(neighbours.Region, peer.Address)
		default:
			neighbours.OtherRegions = append(neighbours.OtherRegions, peer.Address)
		}
	}
	return neighbours
}

// WatchRoleChanged implements zonefeed.Observer. It logs one record for each change. A watcher that fails is
// excluded for at least a second, so there are at most two records per second.
func (p *Process) WatchRoleChanged(current, previous zonefeed.Assignment, held time.Duration, cause error) {
	p.watchRole.Store(int64(current.Role))
	p.metrics.watchRoles.WithLabelValues(current.Role.String()).Inc()
	fields := []any{"role", current.Role.String(), "watcher", current.Watcher, "role_before", previous.Role.String(),
		"watcher_before", previous.Watcher, "held_ms", held.Milliseconds()}
	if cause != nil {
		p.logger.Warn("watch of the zone changed", append(fields, "error", cause.Error())...)
		return
	}
	p.logger.Info("watch of the zone changed", fields...)
}

// InvalidWatchReply implements zonefeed.Observer. Only the first invalid reply of each watcher is logged.
func (p *Process) InvalidWatchReply(watcher string, cause error) {
	if _, logged := p.loggedPeers.LoadOrStore("watch of "+watcher, true); !logged {
		p.logger.Warn("reply of the zone's watcher dropped", "peer", watcher, "error", cause.Error())
	}
}

// registerWatch registers the metrics of the watch of the zone.
func (p *Process) registerWatch() {
	gauge := func(name, help string, value func(zonefeed.Stats) uint64) {
		p.metrics.RegisterGauge(name, help, func() float64 { return float64(value(p.watch.Stats())) })
	}
	gauge("pewtermill_serve_watch_role", "0: watches by itself, 1: watches for its zone, 2: follows the zone's watcher.", func(s zonefeed.Stats) uint64 { return uint64(s.Assignment.Role) })
	gauge("pewtermill_serve_watch_asked", "Questions to the zone's watcher, in place of calls to the store.", func(s zonefeed.Stats) uint64 { return s.Requests })
	gauge("pewtermill_serve_watch_lost", "Of these, those that the watcher did not answer.", func(s zonefeed.Stats) uint64 { return s.FailedRequests })
	gauge("pewtermill_serve_watch_answered", "Questions that this process answered as its zone's watcher.", func(s zonefeed.Stats) uint64 { return s.Answered })
	gauge("pewtermill_serve_watch_learnt", "Times that another process told changes while neither the watcher nor the store did.", func(s zonefeed.Stats) uint64 { return s.PeerUpdates })
	gauge("pewtermill_serve_watch_declined", "Questions that it declined, since it could not vouch for what it knew.", func(s zonefeed.Stats) uint64 { return s.Declined })
}
