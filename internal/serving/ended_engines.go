package serving

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/ingress"
	"github.com/pewtermill/pewtermill/internal/poison"
	"github.com/pewtermill/pewtermill/internal/relay"
)

// maxEndRecords is the maximum number of log records per second about engines that ended under requests, and about failed
// reports of them to peers.
const maxEndRecords = 20

// initEndedEngines sets up the record of engines that ended under requests.
func (p *Process) initEndedEngines(store *relay.Table) {
	p.endLog.maxPerSecond = maxEndRecords
	p.endedEngines, p.joinedPeers = poison.NewMemory(), newJoinedPeers()
	p.endKeeper = poison.NewKeeper(poison.KeeperOptions{
		Table:    store,
		Feed:     store,
		RunID:    p.dependencies.RunID,
		Memory:   p.endedEngines,
		Nodes:    func() int { return p.originClient.PeerCount() + 1 },
		Sweeps:   p.writesVersionRecord,
		Observer: p,
	})
	p.endClient = poison.NewClient(poison.Options{
		Node:      p.settings.Node,
		Address:   p.PeerAddress,
		Memory:    p.endedEngines,
		Suspected: p.zones.PeerSuspected,
		Asked:     p.peerAsked,
		Rows:      p.endKeeper,
		Observer:  p,
	})
	p.endServer = poison.NewServer(p.endedEngines, p.endClient)
}

// EngineEnded implements ingress.Observer.
func (p *Process) EngineEnded(end ingress.EngineEnd) {
	p.metrics.engineEnds.WithLabelValues(string(end.How)).Inc()
	if suppressed, allowed := p.endLog.allow(time.Now()); allowed {
		p.logger.Warn("engine ended under a request", "request", end.Try, "request_key", end.Key.String(), "engine", end.Engine.ID,
			"service", end.Engine.Service, "how", string(end.How), "ended", end.Standing.Ended, "engines", end.Standing.Engines, "left_out", suppressed)
	}
}

// ReportFailed implements poison.Observer.
func (p *Process) ReportFailed(peer string, cause error) {
	if suppressed, allowed := p.endLog.allow(time.Now()); allowed {
		p.logger.Warn("ended engines not reported to a peer", "peer", peer, "error", cause.Error(), "left_out", suppressed)
	}
}

// EndRowsFailed implements poison.KeeperObserver.
func (p *Process) EndRowsFailed(cause error) {
	p.metrics.endRowFailures.WithLabelValues().Inc()
	if suppressed, allowed := p.endLog.allow(time.Now()); allowed {
		p.logger.Warn("ended engines not read from or written to the store", "error", cause.Error(), "left_out", suppressed)
	}
}

// setEndPeers sets the peers that get reports of engines that ended under requests.
func (p *Process) setEndPeers(services *peerServices, peers []relay.Peer) {
	addresses := make([]string, 0, len(peers))
	for _, peer := range peers {
		addresses = append(addresses, peer.Address)
	}
	p.endClient.SetPeers(services.peerClient, addresses)
}

// registerEndedEngines registers the metrics of requests under which engines ended.
func (p *Process) registerEndedEngines() {
	p.metrics.RegisterGauge("pewtermill_serve_suspect_requests", "Requests under which engines ended, as far as this process remembers.", func() float64 {
		count, _, _ := p.endedEngines.Len(time.Now())
		return float64(count)
	})
	p.metrics.RegisterGauge("pewtermill_serve_stopped_requests", "Requests that no engine gets any more, since engines ended under them one after another.", func() float64 {
		_, stopped, _ := p.endedEngines.Len(time.Now())
		return float64(stopped)
	})
	p.metrics.RegisterGauge("pewtermill_serve_end_transactions", "Transactions in which this process wrote or removed rows of engines that ended under requests.", func() float64 {
		return float64(p.endKeeper.Transactions())
	})
	p.metrics.RegisterGauge("pewtermill_serve_suspect_requests_dropped", "Requests under which engines ended that are not remembered, since there were too many.", func() float64 {
		_, _, dropped := p.endedEngines.Len(time.Now())
		return float64(dropped)
	})
}
