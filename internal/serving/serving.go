// Package serving assembles the components of a process that serves callers on the
// operators' platform: it follows configuration and engines, listens, reports
// whether it is ready, and stops without cutting off a request.
package serving

import (
	"context"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/callers"
	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/coldstart"
	"github.com/pewtermill/pewtermill/internal/commitgroup"
	"github.com/pewtermill/pewtermill/internal/conversations"
	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/ingress"
	"github.com/pewtermill/pewtermill/internal/interregion"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/loads"
	"github.com/pewtermill/pewtermill/internal/machine"
	"github.com/pewtermill/pewtermill/internal/originrecord"
	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/owners"
	"github.com/pewtermill/pewtermill/internal/placement"
	"github.com/pewtermill/pewtermill/internal/poison"
	"github.com/pewtermill/pewtermill/internal/quota"
	"github.com/pewtermill/pewtermill/internal/relay"
	"github.com/pewtermill/pewtermill/internal/requestmemory"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/topology"
	"github.com/pewtermill/pewtermill/internal/turncache"
	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/versionrecord"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/zonefeed"
	"github.com/pewtermill/pewtermill/internal/zonewatch"
)

// Settings describe one process and its environment.
type Settings struct {
	Node           string
	Topology       topology.Topology
	IP             string
	IngressAddress string // for callers
	ReadyAddress   string // for readiness checks
	MetricsAddress string // for the process's own metrics; empty for none
	PeerAddress    string // for peers; empty for none
	// PeerListenAddress is the address at which the process listens for peers if they reach PeerAddress through
	// a proxy that forwards their connections; empty for PeerAddress itself.
	PeerListenAddress string
	GracePeriod       time.Duration   // from the order to stop until the process is killed
	QuotaTolerance    quota.Tolerance // permitted deviation from tenants' limits; zero for quota.DefaultTolerance
	// KeysValidFor is how long keys are valid after the last update of the configuration; 0 for no expiry.
	KeysValidFor time.Duration
	// ColdStart sets how exactly the limits of cold engines are enforced; zero for
	// coldstart.DefaultRules.
	ColdStart coldstart.Rules
	// AllowMultiPart states that one transaction of the store may span several parts.
	AllowMultiPart bool
	// CarryMinNodes is the minimum number of processes of a region for requests to reach engines over
	// connections that peers keep; 0 for never.
	CarryMinNodes int
	// StreamWarmUp is how long the process has to know all software versions of a service, without a gap, to conclude
	// which one started a stream; 0 for as long as the stream's client may come back.
	StreamWarmUp time.Duration
	// Processors is the processor time of the machine, in cores; 0 if unknown.
	Processors float64
	// MemoryBytes is the memory of the machine for this process; 0 if unknown.
	MemoryBytes int64
	// MaxDescriptors is how many descriptors the process may open; 0 for as many as the system allows.
	MaxDescriptors int
	// RegionLinkMegabits is the capacity of the link between two regions in megabits per second and direction, for
	// all processes of both regions together; 0 if no limit is known.
	RegionLinkMegabits float64
}

// Dependencies are the components that a process gets from its caller.
type Dependencies struct {
	Table     tablestore.Table
	Feed      tablestore.Feed // of the same service
	NewSource func(tablestore.Feed) discovery.Source
	TableOf   func(discovery.Collection) string // returns the table of Feed that holds a collection
	Protocol  ingress.Protocol
	ReadyPath string
	RunID     string // identifies this run of the process; unique among all runs
	Logger    *slog.Logger
	Metrics   *Metrics // nil to create new ones
}

// Limits of connections to engines and callers.
const (
	engineDialTimeout = 250 * time.Millisecond
	engineAckTimeout  = time.Second
	maxHeaderBytes    = 1 << 20 // regardless of the configuration
)

// maxDecisions is the number of placement decisions that are kept in memory.
const maxDecisions = 256

// Process serves callers. Start it once, and stop it with Stop.
type Process struct {
	settings            Settings
	dependencies        Dependencies
	logger              *slog.Logger
	metrics             *Metrics
	changedAt           [2]atomic.Int64 // time of the last view change, by discovery.Collection; in Unix nanoseconds
	viewMutex           sync.Mutex      // held while a new view is propagated
	checkedVersion      int64           // version of the configuration whose regions were checked; guarded by viewMutex
	retentions          retentions      // of the newest configuration; guarded by viewMutex
	relayClient         *wire.Client    // nil before peers are listed; guarded by viewMutex, as are the next five
	peerServer          *wire.Server    // nil before peers are listed
	ownersClient        *owners.Client  // nil before peers are listed
	peers               []relay.Peer
	relayAddresses      []string // peers that may make calls to the store, once relayAddressesSet
	relayAddressesSet   bool
	evacuations         map[string]loggedEvacuation // by zone; guarded by viewMutex
	follower            *discovery.Follower
	placer              *placement.Placer
	carryClient         *carry.Client // forwards requests through peers
	carryServer         *carry.Server // sends requests to engines for peers
	pool                *upstream.Pool
	relayTable          *relay.Table
	relayServer         *relay.Server      // makes calls to the store for peers
	watch               *zonefeed.Feed     // receives changes from the zone's watcher
	commits             *commitgroup.Table // groups the ledger's writes with those of other processes
	turnCache           *turncache.Cache   // turns that passed through this process to the store
	turnClient          *turncache.Client  // fetches turns from other processes
	calls               storeCalls         // number of calls to the store, by purpose
	rateReductionLogged atomic.Int64       // time of the last log record about a reduced write rate, in Unix nanoseconds
	ledger              *ledger.Ledger
	ownerServer         *owners.Server  // reserves budget for turns of peers
	witness             *owners.Witness // counts what peers use of their allowances
	originClient        *origins.Client // finds and replicates the origins of streams
	originServer        *origins.Server // answers peers' queries for origins
	originStore         *origins.Memory
	versionRecord       *versionrecord.Keeper
	originRecord        *originrecord.Keeper
	watchRole           atomic.Int64   // zonefeed.Role of this process
	endedEngines        *poison.Memory // engines that ended under requests
	endClient           *poison.Client // reports them to peers
	endKeeper           *poison.Keeper // keeps them in the store
	endServer           *poison.Server // records what peers report
	joinedPeers         joinedPeers
	endLog              logLimiter
	collector           *loads.Collector // aggregates load reports
	holdings            *quota.Holdings  // accounts of tenants' limits that this process holds for all
	quota               *quota.Client
	zones               *zonewatch.Watch    // detects unreachable zones
	leases              *quota.LeaseManager // finds the holders of tenants' limits
	loggedReporters     sync.Map            // peers with a logged invalid load report, by address
	loggedPeers         sync.Map            // peers with a logged invalid message, by kind of message and address
	unknownMessages     atomic.Int64        // messages of peers that this build does not know
	traffic             regionTraffic
	requestMemory       *requestmemory.Memory
	handler             *ingress.Handler
	listeners           listeners
	callers             *callers.Tracker // tracks client connections
	checks              *callers.Tracker // bounds connections for readiness checks
	monitors            *callers.Tracker // bounds connections for metrics
	serverErrors        throttledWriter  // for errors of the HTTP servers
	unreadableLog       [2]logLimiter    // by discovery.Collection
	coldLog             logLimiter
	originLog           logLimiter
	multiVersion        map[string]bool // services with several versions at the last view; guarded by viewMutex
	ingressServer       *http.Server
	readyServer         *http.Server
	metricsServer       *http.Server // nil if none are served
	stopping            atomic.Bool
	cancel              context.CancelFunc
	loops               sync.WaitGroup
}

// Machine returns what the process may use of its machine.
func (s Settings) Machine() machine.Machine {
	return machine.Machine{MemoryBytes: s.MemoryBytes, Descriptors: s.MaxDescriptors}
}

// New returns a process that has not started.
func New(settings Settings, dependencies Dependencies) *Process {
	p := &Process{settings: settings, dependencies: dependencies, logger: dependencies.Logger, evacuations: make(map[string]loggedEvacuation), multiVersion: make(map[string]bool)}
	for i := range p.unreadableLog {
		p.unreadableLog[i].maxPerSecond = maxUnreadableRecords
	}
	p.coldLog.maxPerSecond = maxColdRecords
	p.serverErrors.write = func(line string) { p.logger.Warn("server", "error", line) }
	p.callers = callers.NewTracker(callers.Options{Unanswered: p.logUnanswered, KeepAlive: stopIdleTimeout, Limits: p.callerLimits,
		Capacity: settings.Machine().CallerCapacity(callers.MaxDescriptors()), Refused: p.countRefusal})
	p.checks, p.monitors = p.newOperatorTracker(), p.newOperatorTracker()
	p.metrics = dependencies.Metrics
	if p.metrics == nil {
		p.metrics = NewMetrics()
	}
	p.traffic.meter = interregion.NewMeter(interregion.NewBudget(settings.RegionLinkMegabits*bytesPerMegabit), time.Now, p.metrics)
	p.pool = upstream.NewPool(upstream.Options{DialTimeout: engineDialTimeout, AckTimeout: engineAckTimeout,
		NewByteCounter: p.engineByteCounter,
		OnConnect:      p.engineConnected, OnDialTimeout: p.engineUnresponsive})
	if p.settings.ColdStart == (coldstart.Rules{}) {
		p.settings.ColdStart = coldstart.DefaultRules
	}
	p.relayTable = relay.NewTable(dependencies.Table, dependencies.Feed, settings.Node, p)
	p.relayServer = relay.NewServer(p.relayTable)
	p.zones = zonewatch.New(zonewatch.Options{Zone: settings.Topology.Zone(), ProbeStore: p.probeStore, Changed: p.zoneChanged})
	p.watch = zonefeed.NewFeed(zonefeed.Options{Feed: p.relayTable, Node: settings.Node,
		RunID: xxhash.Sum64String(dependencies.RunID), Observer: p, Standalone: settings.KeysValidFor > 0 || settings.PeerAddress == ""})
	p.follower = discovery.New(discovery.Options{Source: dependencies.NewSource(p.watch), Observer: p})
	p.initCarry()
	p.placer = placement.New(placement.Options{
		Node:            settings.Node,
		Topology:        settings.Topology,
		Recorder:        explain.NewLog(settings.Node, maxDecisions),
		IdleConnections: func(engine routing.Engine) int { return p.pool.IdleCount(destinationOf(engine)) },
		Cold:            p.settings.ColdStart,
		WarmthChanged:   p.warmthChanged,
		StartProbe:      p.startProbe,
		Observer:        p,
		Answered:        func(engine routing.Engine) { p.zones.EngineResponded(engine.Address, engine.Zone) },

		ZoneReportedLost: p.zones.ProbeZone,
		RegionBudget:     p,
	})
	p.turnCache = turncache.NewCache()
	p.commits = commitgroup.NewTable(commitgroup.Options{
		Table:          countedTable{Table: p.relayTable, calls: &p.calls},
		Node:           settings.Node,
		AllowMultiPart: settings.AllowMultiPart,
		DirectPathLost: p.relayTable.DirectPathLost,
		Observer:       p,
		Suspected:      p.zones.PeerSuspected,
		RegionOnly:     p.restrictsRegions,

		OnCommit: p.turnCache.AddCommitted,
	})
	p.ledger = ledger.New(ledger.Options{Table: p.commits, RunID: dependencies.RunID, Address: p.PeerAddress, BatchDelay: commitgroup.MaxGroupDelay, ExistingRows: p.existingRows()})
	p.turnClient = turncache.NewClient(turncache.Options{
		Node:               settings.Node,
		Cache:              p.turnCache,
		Writers:            func(program string) []string { return p.commits.WritersOf(ledger.AccountKey(program)) },
		WriterUnresponsive: p.commits.ReportUnresponsive,
		Observer:           p,
	})
	p.ledger.SetTurnSource(p.turnClient)
	locations := conversations.NewCache()
	p.ownerServer = owners.NewServer(p.ledger, locations)
	p.witness = owners.NewWitness(p.dependencies.RunID, time.Now)
	if p.settings.QuotaTolerance == (quota.Tolerance{}) {
		p.settings.QuotaTolerance = quota.DefaultTolerance
	}
	p.holdings = quota.NewHoldings(p.settings.QuotaTolerance, dependencies.RunID)
	p.leases = quota.NewLeaseManager(p.holdings, p.relayTable, dependencies.RunID, p)
	p.quota = quota.NewClient(quota.Options{
		Tolerance:   p.settings.QuotaTolerance,
		Node:        settings.Node,
		Holdings:    p.holdings,
		Wake:        p.leases.Wake,
		SamplePeers: p.leases.SamplePeers,
		Random:      rand.Float64,
		Observer:    p,
		Isolated:    p.isIsolated,
		Suspected:   p.zones.PeerSuspected,

		MayBeIsolated: p.zones.MayBeIsolated,
	})
	p.leases.SetProber(p.quota)
	p.leases.SetSuspected(p.zones.PeerSuspected)
	p.initOriginRecord(p.relayTable, dependencies.RunID)
	p.initOrigins(dependencies.NewSource(p.relayTable))
	p.initVersionRecord(p.relayTable, dependencies.RunID)
	p.initEndedEngines(p.relayTable)
	p.collector = loads.NewCollector(xxhash.Sum64String(dependencies.RunID), time.Now, p)
	p.requestMemory = settings.Machine().NewRequestMemory()
	p.handler = ingress.New(ingress.Options{
		Protocol:      dependencies.Protocol,
		View:          p.follower.View,
		Placer:        p.placer,
		Pool:          p.pool,
		Carrier:       p.carrier(),
		Ledger:        p.ledger,
		Lines:         locations,
		Quota:         p.quota,
		Memory:        p.requestMemory,
		Origins:       p.originClient,
		VersionRecord: p.versionRecord,
		EndedEngines:  p.endedEngines,
		EndReporter:   p.endClient,
		IncarnationOf: p.incarnationAt,
		HasUnreadIncarnation: func(ctx context.Context, engine routing.Engine) (bool, error) {
			return p.follower.HasUnreadIncarnation(ctx, dependencies.NewSource(p.relayTable), engine)
		},
		KeysCurrent: p.keysCurrent,
		RegionOf:    settings.Topology.RegionOf,
		Zone:        settings.Topology.Zone(),
		ZoneLost:    p.zones.ZoneSuspected,
		Isolated:    p.retryAfter,
		Observer:    p,
	})
	p.registerGauges()
	return p
}

// Start listens and starts to follow configuration and engines. It waits until all addresses are available, and returns an
// error if starting ends first or one can never be bound. The started process runs until Stop or Close.
func (p *Process) Start(starting context.Context) error {
	if err := p.listen(starting); err != nil {
		return err
	}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.WithoutCancel(starting))
	listener, err := p.callers.WrapListener(p.listeners.ingress)
	if err != nil {
		p.listeners.close()
		return err
	}
	p.ingressServer = p.newServer(p.callers.Handler(p.handler))
	p.callers.Attach(p.ingressServer)
	p.readyServer = p.newServer(p.checks.Handler(p.readyHandler()))
	p.checks.Attach(p.readyServer)
	checks, err := p.checks.WrapListener(p.listeners.ready)
	if err != nil {
		p.listeners.close()
		return err
	}
	p.loops.Go(func() { p.follower.Run(ctx, discovery.Configurations) })
	p.loops.Go(func() { p.follower.Run(ctx, discovery.Engines) })
	p.loops.Go(func() { _ = p.ingressServer.Serve(listener) })
	p.loops.Go(func() { _ = p.readyServer.Serve(checks) })
	p.loops.Go(func() { p.sweep(ctx) })
	p.loops.Go(func() { p.shrinkAllowances(ctx) })
	p.loops.Go(func() { p.reportCalls(ctx) })
	p.loops.Go(func() { p.monitorUpdates(ctx) })
	p.loops.Go(func() { p.versionRecord.Run(ctx) })
	p.loops.Go(func() { p.originRecord.Run(ctx) })
	p.loops.Go(func() { p.endKeeper.Run(ctx) })
	p.loops.Go(func() { p.endKeeper.Follow(ctx) })
	p.startPeers(ctx)
	p.startMetrics(ctx)
	p.logger.Info("started", "zone", p.settings.Topology.Zone(), "run", p.dependencies.RunID,
		"callers", p.IngressAddress())
	return nil
}

// startPeers starts to find peers and to share the tenants' limits with them. Without an address for peers, the process
// enforces the limits by itself.
func (p *Process) startPeers(ctx context.Context) {
	if p.listeners.peers == nil {
		p.holdings.HoldAll(time.Now())
		p.quota.SetSingleNode()
		p.placer.SetNodes(p.settings.Node, nil)
		return
	}
	p.loops.Go(func() { p.findPeers(ctx) })
	p.loops.Go(func() { p.zones.Run(ctx) })
	p.loops.Go(func() { p.watch.Run(ctx) })
	context.AfterFunc(ctx, p.watch.Close)
	p.loops.Go(func() { p.leases.Run(ctx) })
}

// sweepPeriod is the average time between two sweeps of the rows of programs that have ended.
const sweepPeriod = 30 * time.Second

// shrinkPeriod is the average time between two checks for allowances that were reserved while the store was slow.
const shrinkPeriod = time.Second

// shrinkAllowances returns the tokens that such allowances hold beyond the usual share, until ctx ends.
func (p *Process) shrinkAllowances(ctx context.Context) {
	for backoff.Wait(ctx, backoff.Jitter(shrinkPeriod)) {
		p.ledger.ShrinkAllowances(ctx)
	}
}

// sweep removes rows of programs that have ended, until ctx ends.
func (p *Process) sweep(ctx context.Context) {
	for backoff.Wait(ctx, backoff.Jitter(sweepPeriod)) {
		p.ledger.Sweep(ctx)
	}
}

// startMetrics serves the metrics once their address is available. The process serves callers meanwhile.
func (p *Process) startMetrics(ctx context.Context) {
	if p.settings.MetricsAddress == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics.Handler())
	p.metricsServer = p.newServer(p.monitors.Handler(mux))
	p.monitors.Attach(p.metricsServer)
	p.loops.Go(func() { p.serveMetrics(ctx) })
}

// serveMetrics serves the metrics until ctx ends or the server is closed.
func (p *Process) serveMetrics(ctx context.Context) {
	var listener net.Listener
	err := callers.RetryBind(ctx, maxRebindMetricsDelay, func() (err error) {
		listener, err = callers.Bind("tcp4", p.settings.MetricsAddress)
		return err
	}, p.logUnavailable)
	if err != nil {
		p.logger.Warn("metrics not served", "address", p.settings.MetricsAddress, "error", err.Error())
		return
	}
	tracked, err := p.monitors.WrapListener(listener)
	if err != nil {
		p.logger.Warn("metrics not served", "address", p.settings.MetricsAddress, "error", err.Error())
		_ = listener.Close()
		return
	}
	_ = p.metricsServer.Serve(tracked)
}

func (p *Process) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: callers.DefaultLimits.HeaderTimeout,
		IdleTimeout:       callers.DefaultLimits.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(&p.serverErrors, "", 0),
	}
}

// readyHandler responds to readiness checks: whether the process should get new connections.
func (p *Process) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+p.dependencies.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		status := http.StatusServiceUnavailable
		if p.Ready() {
			status = http.StatusOK
		}
		writer.WriteHeader(status)
	})
	return mux
}

// Ready reports whether the process can serve new connections well: it has configuration and engines, receives
// updates, is not isolated with its zone, and is not stopping.
func (p *Process) Ready() bool {
	return !p.stopping.Load() && !p.isIsolated() && p.follower.Complete() && p.follower.Connected() && p.ledger.Reachable()
}

// keysCurrent reports whether keys are valid: if KeysValidFor is set, the configuration has to have been updated within
// that time.
func (p *Process) keysCurrent() bool {
	limit := p.settings.KeysValidFor
	return limit <= 0 || time.Since(p.follower.LastAnswerAt(discovery.Configurations)) <= limit
}
