package serving

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/commitgroup"
	"github.com/pewtermill/pewtermill/internal/loads"
	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/owners"
	"github.com/pewtermill/pewtermill/internal/poison"
	"github.com/pewtermill/pewtermill/internal/quota"
	"github.com/pewtermill/pewtermill/internal/relay"
	"github.com/pewtermill/pewtermill/internal/turncache"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
	"github.com/pewtermill/pewtermill/internal/zonefeed"
	"github.com/pewtermill/pewtermill/internal/zonewatch"
)

// Periods of peer discovery.
const (
	firstRefresh  = 3 * time.Second  // until processes that start together have joined
	refreshPeriod = 60 * time.Second // between further refreshes
	// peerUnresponsiveTimeout is how long requests on a connection to a peer may wait without a response before
	// the connection is replaced. All of them are answered, or abandoned, within less.
	peerUnresponsiveTimeout = time.Second
)

// peerServices are the clients and the server through which processes help each other: to reach the store, to hold one
// allowance for each program, and to exchange load reports.
type peerServices struct {
	server     *wire.Server
	client     *wire.Client
	peerClient *zonewatch.ObservedClient // its responses and timeouts are used to detect unreachable zones
	owners     *owners.Client
	reporter   *loads.Reporter
}

// peerHandler dispatches requests of peers. It implements wire.ServerHandler.
type peerHandler struct {
	relay        *relay.Server
	commits      *commitgroup.Table
	turns        *turncache.Cache
	owners       *owners.Server
	witness      *owners.Witness
	collector    *loads.Collector
	limits       *quota.Client
	watch        *zonefeed.Feed
	carryServer  *carry.Server
	originServer *origins.Server
	endServer    *poison.Server
	onUnknown    func(peer string) // called for messages that this build does not know
}

// ServePeer implements wire.ServerHandler.
func (h peerHandler) ServePeer(ctx context.Context, request *wirepb.Request, onPart func(int64, []byte)) *wirepb.Reply {
	switch body := request.GetBody().(type) {
	case *wirepb.Request_ReserveTokens:
		return h.owners.Reserve(ctx, body.ReserveTokens, func() { onPart(0, nil) })
	case *wirepb.Request_SettleTokens:
		h.owners.Settle(body.SettleTokens)
		return nil
	case *wirepb.Request_RecallTokens:
		return h.owners.Recall(ctx, body.RecallTokens)
	case *wirepb.Request_ReportUsage:
		return h.witness.Report(body.ReportUsage)
	case *wirepb.Request_CloseAllowance:
		return h.witness.Close(body.CloseAllowance)
	case *wirepb.Request_ReportLoads:
		return h.collector.Answer(request.GetFrom(), body.ReportLoads)
	case *wirepb.Request_AskRequests:
		return h.limits.Answer(body.AskRequests)
	case *wirepb.Request_CarryRequest:
		return h.carryServer.Answer(ctx, request, onPart)
	case *wirepb.Request_AskAlive:
		return &wirepb.Reply{}
	case *wirepb.Request_TellOrigins:
		return h.originServer.Store(body.TellOrigins)
	case *wirepb.Request_FindOrigin:
		return h.originServer.Find(body.FindOrigin)
	case *wirepb.Request_ReportEnds:
		return h.endServer.Record(body.ReportEnds)
	case *wirepb.Request_ListEnds:
		return h.endServer.List(body.ListEnds)
	case *wirepb.Request_FetchTurns:
		return h.turns.ServeFetch(body.FetchTurns)
	case *wirepb.Request_FollowTable:
		return h.watch.Answer(ctx, body.FollowTable, func() { onPart(0, nil) })
	case *wirepb.Request_CommitTable:
		if grouped := body.CommitTable.GetGrouped(); grouped != nil {
			return h.commits.Answer(ctx, request.GetFrom(), grouped, func() { onPart(0, nil) })
		}
		return h.relay.ServePeer(ctx, request, onPart)
	case *wirepb.Request_RangeTable, *wirepb.Request_WatchTable:
		return h.relay.ServePeer(ctx, request, onPart)
	}
	h.onUnknown(request.GetFrom())
	return &wirepb.Reply{
		Code: int32(api.UnknownMessage), Execution: string(api.NotRun), Detail: "this node's build does not know the message",
	}
}

// findPeers joins the other processes and refreshes their addresses until ctx ends.
func (p *Process) findPeers(ctx context.Context) {
	directory := relay.Directory{
		Table:   p.dependencies.Table,
		Node:    p.settings.Node,
		Zones:   p.settings.Topology.Zones(),
		Address: p.PeerAddress(),

		Processors: p.settings.Processors,
	}
	attempts := &joinAttempts{returned: p.watch.ServiceReturned()}
	services := p.joinPeers(ctx, directory, attempts)
	if services == nil {
		return
	}
	defer services.close()
	defer p.endClient.Close()
	p.loops.Go(func() { services.reporter.Run(ctx) })
	if !p.findFirstPeers(ctx, directory, services, attempts) {
		return
	}
	for wait := firstRefresh; p.joinedPeers.awaitRefresh(ctx, wait); {
		wait = refreshPeriod
		p.joinedPeers.reset() // those that have joined by now are listed
		listing, err := directory.Peers(ctx)
		if err == nil {
			p.applyPeers(services, listing)
		}
		switch {
		case err == nil && listing.Complete():
			p.setColdSenders(listing.Peers) // processes that started together are listed by now
		case err == nil:
			wait = firstRefresh // some zones could not be read
		default:
			p.logger.Warn("peers not refreshed", "error", err.Error())
		}
	}
}

// join registers this process in the directory and starts serving its peers.
func (p *Process) join(ctx context.Context, directory relay.Directory) (*peerServices, error) {
	secret, err := directory.Secret(ctx)
	if err != nil {
		return nil, err
	}
	if err := directory.Join(ctx); err != nil {
		return nil, err
	}
	options := wire.Options{Node: p.settings.Node, ClusterKey: secret, UnresponsiveTimeout: peerUnresponsiveTimeout, Logger: p.logger}
	handler := peerHandler{
		relay: p.relayServer, commits: p.commits, turns: p.turnCache, owners: p.ownerServer, witness: p.witness, collector: p.collector, limits: p.quota, watch: p.watch, carryServer: p.carryServer, originServer: p.originServer, endServer: p.endServer,
		onUnknown: p.declineUnknown,
	}
	server := wire.Serve(p.listeners.peers, options, handler)
	options.NewByteCounter = p.peerByteCounter
	client := wire.NewClient(options)
	peerClient := zonewatch.NewObservedClient(client, p.zones)
	ownersClient := owners.NewClient(peerClient, p.settings.Node, p.dependencies.RunID, p.PeerAddress(), p.zones.PeerSuspected, p)
	reporter := loads.NewReporter(loads.Options{
		Node:        p.settings.Node,
		Run:         xxhash.Sum64String(p.dependencies.RunID),
		Zone:        p.settings.Topology.Zone(),
		OtherRegion: func(zone string) bool { return !p.settings.Topology.InOwnRegion(zone) },
		Address:     p.PeerAddress(),
		Client:      peerClient,
		Suspected:   p.zones.PeerSuspected,
		Placer:      p.placer,
		Collector:   p.collector,
		Observer:    p,
	})
	return &peerServices{server: server, client: client, peerClient: peerClient, owners: ownersClient, reporter: reporter}, nil
}

// applyPeers sets the peers of all services that use them: relayed store calls (nearest peer first), allowances, load
// reports, limits and the others. Allowances are held by processes of this process's region, so that no turn waits for
// the latency to another one. The holder of a tenant's limit is a single one for all regions: two holders would each
// grant the whole limit.
func (p *Process) applyPeers(services *peerServices, listing relay.Listing) {
	peers := listing.Peers
	addresses := addressesOf(peers)
	loadPeers := make([]loads.Peer, 0, len(peers))
	byZone := make(map[string][]commitgroup.Node)
	for _, peer := range peers {
		byZone[peer.Zone] = append(byZone[peer.Zone], commitgroup.Node{Address: peer.Address, Processors: peer.Processors})
		loadPeers = append(loadPeers, loads.Peer{Zone: peer.Zone, Address: peer.Address})
	}
	p.shareLinks(peers)
	p.viewMutex.Lock()
	p.relayClient, p.peerServer, p.ownersClient, p.peers = services.client, services.server, services.owners, peers
	p.enableRelay()
	p.viewMutex.Unlock()
	p.zones.SetPeers(zonesOf(peers), p.quota.Probe)
	p.setWriters(services.peerClient, byZone)
	p.setWatchers(services.client, listing)
	p.turnClient.Enable(services.peerClient)
	services.owners.SetPeers(addressesOf(regionPeers(peers, p.settings.Topology)))
	services.reporter.SetPeers(loadPeers)
	p.setCarriers(services.client, peers)
	p.originClient.SetPeers(services.peerClient, originPeers(peers))
	p.setEndPeers(services, peers)
	p.ledger.SetOwners(services.owners)
	p.ledger.SetWitnesses(services.owners)
	p.leases.SetPeers(addresses)
	p.quota.SetPeers(services.peerClient, len(addresses)+1)
	p.logger.Info("peers found", "count", len(peers))
}

// setColdSenders sets the processes among which the limits of cold engines are divided.
func (p *Process) setColdSenders(peers []relay.Peer) {
	others := make([]string, 0, len(peers))
	for _, peer := range peers {
		others = append(others, peer.Address)
	}
	p.placer.SetNodes(p.PeerAddress(), others)
}

// drainPeers notifies peers to use other processes, and waits until their requests are answered and they have closed their
// connections.
func (p *Process) drainPeers(ctx context.Context) {
	p.viewMutex.Lock()
	server := p.peerServer
	p.viewMutex.Unlock()
	if server == nil {
		return
	}
	switch err := server.Drain(ctx); {
	case errors.Is(err, wire.ErrPeersConnected):
		p.logger.Info("peers keep their connections", "error", err.Error()) // all their requests are answered
	case err != nil:
		p.logger.Info("peers not answered", "error", err.Error())
	}
}

func (s *peerServices) close() {
	s.client.Close()
	s.server.Close()
}

// DirectPathLost implements relay.Observer.
func (p *Process) DirectPathLost(cause error) {
	p.metrics.directPathLost.WithLabelValues().Inc()
	p.zones.ProbeAllZones()
	p.logger.Warn("store reached through peers", "cause", cause.Error())
}

// DirectPathRestored implements relay.Observer.
func (p *Process) DirectPathRestored(relayed uint64) {
	p.logger.Info("store reached directly", "calls_relayed", relayed)
}

// OutcomeDropped implements relay.Observer. Only the first event of each peer is logged.
func (p *Process) OutcomeDropped(peer string, cause error) {
	if _, logged := p.loggedPeers.LoadOrStore(peer, true); !logged {
		p.logger.Warn("outcome of a peer dropped", "peer", peer, "error", cause.Error())
	}
}

// OwnerLost implements owners.Observer.
func (p *Process) OwnerLost(address string, cause error) {
	p.metrics.ownersLost.WithLabelValues().Inc()
	p.logger.Warn("owner lost", "peer", address, "error", cause.Error())
}

// OwnerRegained implements owners.Observer.
func (p *Process) OwnerRegained(address string) {
	p.logger.Info("owner regained", "peer", address)
}

// LoadsLost implements loads.Observer.
func (p *Process) LoadsLost(cause error) {
	p.metrics.loadsLost.WithLabelValues().Inc()
	p.logger.Warn("loads lost", "error", cause.Error())
}

// LoadsRegained implements loads.Observer.
func (p *Process) LoadsRegained(collector string) {
	p.logger.Info("loads regained", "peer", collector)
}

// LoadsDropped implements loads.Observer. Only the first event of each peer is logged.
func (p *Process) LoadsDropped(peer string, cause error) {
	p.metrics.loadsDropped.WithLabelValues().Inc()
	if _, logged := p.loggedReporters.LoadOrStore(peer, true); !logged {
		p.logger.Warn("loads dropped", "peer", peer, "error", cause.Error())
	}
}

// LoadsTransferred implements loads.TrafficObserver.
func (p *Process) LoadsTransferred(direction loads.Direction, form loads.Form, bytes int) {
	p.metrics.loadsBytes.WithLabelValues(string(direction), string(form)).Add(float64(bytes))
}

// declineUnknown counts a message that this build does not know, from a peer of a later build. Only the first message of
// each peer is logged.
func (p *Process) declineUnknown(peer string) {
	p.unknownMessages.Add(1)
	if _, logged := p.loggedPeers.LoadOrStore("messages of "+peer, true); !logged {
		p.logger.Warn("message of a peer not known", "peer", peer)
	}
}
