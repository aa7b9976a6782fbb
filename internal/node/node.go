// Package node assembles one pewtermill node: the callers'
// and operators' endpoints, the programs that it owns, its membership in a
// cell, its view of the back ends, and the active configuration.
//
// A Node uses no global state, so many nodes can run in one
// process.
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/callers"
	"github.com/pewtermill/pewtermill/internal/dispatch"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/gateway"
	"github.com/pewtermill/pewtermill/internal/httpapi"
	"github.com/pewtermill/pewtermill/internal/machine"
	"github.com/pewtermill/pewtermill/internal/membership"
	"github.com/pewtermill/pewtermill/internal/operator"
	"github.com/pewtermill/pewtermill/internal/ownership"
	"github.com/pewtermill/pewtermill/internal/planner"
	"github.com/pewtermill/pewtermill/internal/requestmemory"
	"github.com/pewtermill/pewtermill/internal/settings"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire"
)

// Bounds and periods of a node's own work.
const (
	decisionLogRecords = 8192
	storeWindow        = 50 * time.Millisecond
	storeMaxGroup      = 128
	readHeaderTimeout  = 10 * time.Second
	drainPoll          = 50 * time.Millisecond
	// drainNoticeTime is how long a draining node keeps working as before, so that peers
	// and load balancers can see that it is not ready.
	drainNoticeTime = 500 * time.Millisecond
	// callerKeepAlive is how long a caller may reuse an idle connection. If there are such
	// connections, a planned stop takes longer than this.
	callerKeepAlive = 2 * time.Second
)

// callerLimits bound each connection of a caller or operator. A caller's head of HeaderBytes is refused by the gateway, which says why.
var callerLimits = callers.Limits{HeaderBytes: httpapi.DefaultMaxHeaderBytes}

// MachineOf returns what a node with these settings may use of its machine.
func MachineOf(s settings.Settings) machine.Machine {
	return machine.Machine{MemoryBytes: int64(s.MemoryMB) << 20}
}

// Dependencies are what a node uses in addition to its settings. Zero values
// select the defaults: the platform at Settings.PlatformURL, a discarding logger.
type Dependencies struct {
	Logger   *slog.Logger
	Table    tablestore.Table
	Objects  tablestore.Objects
	Machines tablestore.Machines
	Faults   *wire.Faults // fault injection on connections to peers, in tests
	// BackendClient sends requests to engines and tools; nil: a pooled client.
	BackendClient *http.Client
}

// Node is one member of a cell. Its methods are safe for concurrent use.
type Node struct {
	settings    settings.Settings
	incarnation uint64
	startedAt   time.Time
	logger      *slog.Logger
	registry    *prometheus.Registry
	machines    tablestore.Machines

	store      *tablestore.GroupStore
	keeper     *bundle.Manager
	decisions  *explain.Log
	dispatcher *dispatch.Dispatcher
	programs   *ownership.Programs
	planner    *planner.Planner
	limits     *limits // of tenants
	// requestMemory bounds what the bodies of callers' requests hold.
	requestMemory *requestmemory.Memory
	members       *members
	peers         *wire.Client
	peerServer    *wire.Server
	forwards      *forwards
	seeds         *seeds // of other cells

	faults *wire.Faults

	callerListener   net.Listener
	operatorListener net.Listener
	callers          *callers.Tracker // tracks callers' connections
	callerServer     *http.Server
	operatorServer   *http.Server

	started      chan struct{} // closed once Start has set all of the above
	leaving      atomic.Bool
	peerRequests atomic.Int64    // requests of peers about programs in progress
	fetching     atomic.Bool     // a bundle is being fetched
	ctx          context.Context // ends with Close
	stop         context.CancelFunc
	tasks        sync.WaitGroup
}

// New returns a node that is not serving yet; Start makes it serve.
func New(s settings.Settings, dependencies Dependencies) (*Node, error) {
	if problems := settings.Check(s); len(problems) > 0 {
		return nil, problems
	}
	logger := dependencies.Logger
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	now := time.Now()
	n := &Node{
		settings:    s,
		incarnation: uint64(now.UnixMilli()),
		startedAt:   now,
		logger:      logger.With("node", s.Name),
		registry:    prometheus.NewRegistry(),
		decisions:   explain.NewLog(s.Name, decisionLogRecords),
		faults:      dependencies.Faults,
		forwards:    newForwards(),
		seeds:       newSeeds(),
		started:     make(chan struct{}),
	}
	n.requestMemory = MachineOf(s).NewRequestMemory()
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.initStore(dependencies)
	n.keeper = bundle.NewManager(n.store, n.applyBundle)
	n.dispatcher = dispatch.New(dispatch.Options{
		Node:        s.Name,
		Zone:        s.Zone,
		Cell:        s.Cell,
		InForce:     n.keeper.InForce,
		Recorder:    n.decisions,
		Logger:      n.logger,
		Client:      dependencies.BackendClient,
		Observes:    n.observes,
		NotifyPeers: func() { n.members.announce() },
	})
	n.programs = ownership.New(ownership.Dependencies{
		Node:        s.Name,
		Incarnation: n.incarnation,
		Store:       n.store,
		Executor:    n.dispatcher,
		Peers:       peerAccess{n},
		InForce:     n.keeper.InForce,
		Recorder:    n.decisions,
		Meter:       newMeter(n.registry),
		Logger:      n.logger,
	})
	n.planner = n.newPlanner()
	n.limits = newLimits(n)
	n.registerMetrics()
	return n, nil
}

func (n *Node) initStore(dependencies Dependencies) {
	table, objects := dependencies.Table, dependencies.Objects
	n.machines = dependencies.Machines
	if table == nil {
		remote := tablestore.NewHTTP(n.settings.PlatformURL, nil)
		table, objects, n.machines = remote, remote, remote
	}
	n.store = tablestore.NewStore(table, objects, tablestore.StoreOptions{
		Window:   storeWindow,
		MaxGroup: storeMaxGroup,
		Logger:   n.logger,
		Node:     n.settings.Name,
	})
}

// Start opens the listeners, joins the cell and begins to serve. It returns once the
// listeners are open, and an error if starting ends first or an address can never be
// bound; Ready reports when the node takes work.
func (n *Node) Start(starting context.Context) error {
	options := wire.Options{
		Node:       n.settings.Name,
		ClusterKey: []byte(n.settings.ClusterKey),
		Logger:     n.logger,
		Fault:      n.faults,
	}
	options.OnConnectionRefused = func(address string, afterBreak bool) { n.members.connectionRefused(address, afterBreak) }
	n.peers = wire.NewClient(options)
	peerListener, err := n.listen(starting)
	if err != nil {
		return err
	}
	server := wire.Serve(peerListener, options, n)
	n.peerServer = server
	n.keeper.SetOrigin(server.Address())
	n.members = newMembers(n, server.Address())
	if err := n.serveHTTP(); err != nil {
		return err
	}
	close(n.started)
	n.limits.start()
	n.run(n.dispatcher.Run)
	n.run(n.members.run)
	n.run(n.pollBundleVersion)
	n.run(n.watchMachines)
	n.run(n.maintain)
	n.run(n.reconcileHolds)
	n.run(n.planner.Run)
	n.logger.Info("node started", "peer_address", server.Address(), "incarnation", n.incarnation)
	return nil
}

// run starts a loop that ends with the node.
func (n *Node) run(loop func(ctx context.Context)) {
	n.tasks.Go(func() { loop(n.ctx) })
}

func (n *Node) serveHTTP() error {
	gateways := gateway.New(&router{n}, n.keeper.InForce, gateway.Options{Logger: n.logger, Registerer: n.registry, Limiter: n.limits, Memory: n.requestMemory})
	operators := operator.New(&operatorService{n}, n.keeper.InForce, n.registry, operator.WithLogger(n.logger))
	n.callers = callers.NewTracker(callers.Options{
		Unanswered: n.logUnanswered,
		KeepAlive:  callerKeepAlive,
		Limits:     func() callers.Limits { return callerLimits },
		Capacity:   MachineOf(n.settings).CallerCapacity(callers.MaxDescriptors()),
	})
	tracked, err := n.callers.WrapListener(n.callerListener)
	if err != nil {
		return err
	}
	n.callerServer = n.newServer(n.callers.Handler(gateways))
	n.callers.Attach(n.callerServer)
	operatorConnections := callers.NewTracker(callers.Options{
		Unanswered: n.logUnanswered,
		KeepAlive:  callerKeepAlive,
		Limits:     func() callers.Limits { return callerLimits },
		Capacity:   MachineOf(n.settings).OperatorCapacity(callers.MaxDescriptors()),
	})
	trackedOperators, err := operatorConnections.WrapListener(n.operatorListener)
	if err != nil {
		return err
	}
	n.operatorServer = n.newServer(operatorConnections.Handler(operators))
	operatorConnections.Attach(n.operatorServer)
	n.serveOn(tracked, n.callerServer)
	n.serveOn(trackedOperators, n.operatorServer)
	return nil
}

// logUnanswered logs a caller's connection that ended before a request on it was answered completely.
func (n *Node) logUnanswered(end callers.Unanswered) {
	if end.Cause == callers.ClientDisconnected {
		return
	}
	n.logger.Warn("connection ended without an answer", "state", end.State.Name(), "cause", string(end.Cause),
		"stopping", end.Stopping, "answered_before", end.Served, "age", end.Age.String(), "since_read", end.SinceRead.String())
}

func (n *Node) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          slog.NewLogLogger(n.logger.Handler(), slog.LevelWarn),
	}
}

// serveOn serves a listener until it or the server is closed.
func (n *Node) serveOn(listener net.Listener, server *http.Server) {
	n.tasks.Go(func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.logger.Error("HTTP server ended", "error", err.Error())
		}
	})
}

// CallerURL returns the base URL of the callers' endpoint.
func (n *Node) CallerURL() string { return "http://" + n.callerListener.Addr().String() }

// OperatorURL returns the base URL of the operators' endpoint.
func (n *Node) OperatorURL() string { return "http://" + n.operatorListener.Addr().String() }

// PeerAddress returns the address for other nodes.
func (n *Node) PeerAddress() string { return n.peerServer.Address() }

// Members returns the node's view of its cell. It may be called once Start
// has returned.
func (n *Node) Members() *membership.View { return n.members.View() }

// Decisions returns the node's decision log.
func (n *Node) Decisions() *explain.Log { return n.decisions }

// BundleInForce returns the bundle that is active on this node, or nil before the first one.
func (n *Node) BundleInForce() *bundle.Snapshot { return n.keeper.InForce() }

// engineGrace is how long after its start a node that has not observed an engine
// yet is not ready. Afterwards the node is ready for work that needs no engine.
const engineGrace = 5 * time.Second

// Ready reports whether the node takes new work: it has a bundle at least as
// new as its peers', it has observed an engine, and it is not leaving.
func (n *Node) Ready() bool {
	snapshot := n.keeper.InForce()
	if snapshot == nil || n.leaving.Load() {
		return false
	}
	if snapshot.Version() < n.members.newestBundle() {
		return false
	}
	return n.dispatcher.Fleet().Ready() || time.Since(n.startedAt) >= engineGrace
}

// Drain is a planned stop. The node announces that it is leaving, new work goes to
// other nodes, and the node releases programs as they become idle and completes every call in flight.
// The callers' endpoint accepts requests until the last call that this node
// owns has ended, and forwards them to other nodes.
func (n *Node) Drain(ctx context.Context) error {
	n.logger.Info("draining", "programs", n.programs.Count(), "calls", n.programs.InFlight())
	n.leaving.Store(true)
	n.callers.SetStopping()
	n.programs.StopClaiming()
	n.members.announce()
	n.limits.releaseShards(ctx)
	backoff.Wait(ctx, drainNoticeTime)
	for n.busy() {
		if !backoff.Wait(ctx, drainPoll) {
			return errors.Wrap(ctx.Err(), "calls are still in flight")
		}
	}
	n.callers.StopAccepting()
	if err := n.callers.Drain(ctx); err != nil {
		return errors.Wrap(err, "requests are still in flight")
	}
	n.programs.ReleaseAll(ctx)
	switch err := n.peerServer.Drain(ctx); {
	case errors.Is(err, wire.ErrPeersConnected):
		n.logger.Info("peers keep their connections", "error", err.Error()) // all their requests are answered
	case err != nil:
		return errors.Wrap(err, "peers still wait for replies")
	}
	if err := n.programs.WaitIdle(ctx); err != nil {
		return errors.Wrap(err, "calls are still in flight")
	}
	n.programs.ReleaseAll(ctx)
	n.logger.Info("drained")
	return nil
}

// busy reports whether a call runs here, or a peer waits for a reply.
func (n *Node) busy() bool {
	return n.programs.InFlight() > 0 || n.peerRequests.Load() > 0
}

// Close stops the node immediately and waits for its goroutines.
func (n *Node) Close() {
	n.programs.Close()
	n.stop()
	for _, server := range []*http.Server{n.callerServer, n.operatorServer} {
		if server != nil {
			_ = server.Close()
		}
	}
	if n.peerServer != nil {
		_ = n.peerServer.Close()
	}
	if n.peers != nil {
		_ = n.peers.Close()
	}
	n.tasks.Wait()
	n.store.Close()
}

var _ wire.ServerHandler = (*Node)(nil)
