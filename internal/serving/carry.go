package serving

import (
	"net/http"

	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/ingress"
	"github.com/pewtermill/pewtermill/internal/relay"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/wire"
)

// initCarry creates the client and the server side of request forwarding through peers.
func (p *Process) initCarry() {
	protocol := p.dependencies.Protocol
	p.carryClient = carry.NewClient(carry.ClientOptions{
		MinNodes:        p.settings.CarryMinNodes,
		Node:            p.settings.Node,
		Zone:            p.settings.Topology.Zone(),
		IdleConnections: p.pool.IdleCount,
		ZoneExcluded:    func(zone string) bool { return p.follower.View().Evacuated(zone) },
		Suspected:       p.zones.PeerSuspected,
		Observer:        p,
	})
	p.carryServer = carry.NewServer(carry.ServerOptions{
		Pool:          p.pool,
		Processors:    p.settings.Processors,
		ResolveEngine: p.resolveEngine,
		SetHeaders: func(header http.Header, hop carry.Hop) {
			// The sender has removed the headers that no engine may receive.
			protocol.SetForwardHeaders(header, ingress.Hop{
				Engine:    hop.Engine,
				Remaining: hop.Remaining,
				LastEvent: hop.LastEvent,
				Tenant:    hop.Tenant,
			})
		},
		MatchesCall: func(header http.Header, call string) bool {
			return protocol.IsAnswerTo(header, ingress.Call{ID: call})
		},
	})
}

// carrier returns the client that forwards requests through peers; nil if forwarding is disabled.
func (p *Process) carrier() ingress.Carrier {
	if p.settings.CarryMinNodes <= 0 {
		return nil
	}
	return p.carryClient
}

// resolveEngine returns the name of an engine, and whether this process, by its own view, would send new work to the
// given incarnation of it.
func (p *Process) resolveEngine(id, address string) (name string, usable bool) {
	view := p.follower.View()
	engine, listed := view.Engines[id]
	return engine.Name, listed && engine.Address == address && !engine.Draining && !view.Evacuated(engine.Zone)
}

// destinationOf returns the connection pool's destination for an engine.
func destinationOf(engine routing.Engine) upstream.Destination {
	return upstream.Destination{Incarnation: engine.ID, Address: engine.Address}
}

// setCarriers sets the processes of this process's region, including itself, as the candidates that may forward
// requests.
func (p *Process) setCarriers(client *wire.Client, peers []relay.Peer) {
	own := carry.Node{Address: p.PeerAddress(), Zone: p.settings.Topology.Zone(), Processors: p.settings.Processors}
	nodes := []carry.Node{own}
	for _, peer := range regionPeers(peers, p.settings.Topology) {
		nodes = append(nodes, carry.Node{Address: peer.Address, Zone: peer.Zone, Processors: peer.Processors})
	}
	p.carryClient.SetNodes(client, own.Address, nodes)
}

// CarrierLost implements carry.Observer.
func (p *Process) CarrierLost(peer string, cause error) {
	p.metrics.carriersLost.WithLabelValues().Inc()
	p.logger.Warn("carrier lost", "peer", peer, "error", cause.Error())
}

// registerCarryGauges registers the metrics of requests that this process forwards for peers.
func (p *Process) registerCarryGauges() {
	p.metrics.RegisterGauge("pewtermill_serve_carried_for_peers", "Requests of peers that this process sent to engines.", func() float64 {
		return float64(p.carryServer.Stats().Carried)
	})
	p.metrics.RegisterGauge("pewtermill_serve_carried_for_peers_declined", "Requests of peers that this process did not send.", func() float64 {
		return float64(p.carryServer.Stats().Declined)
	})
	p.metrics.RegisterGauge("pewtermill_serve_carrying", "Requests of peers that are under way here.", func() float64 {
		return float64(p.carryServer.Stats().InFlight)
	})
}
