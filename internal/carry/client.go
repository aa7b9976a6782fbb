package carry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Timeouts of carriers.
const (
	// ackTimeout is how long a carrier may take to acknowledge a request. One that runs does so
	// after ackAfter at the latest; a machine that has used up its quota of processor time pauses
	// for some 100 ms.
	ackTimeout = 300 * time.Millisecond
	// slowAck is the acknowledgement time above which a carrier is too slow to be used for now.
	slowAck = ackAfter + 60*time.Millisecond
	// aliveTimeout is how long a carrier may take to answer whether it still runs.
	aliveTimeout = 300 * time.Millisecond
	// pauseTolerance is by how much the expiry of these timeouts may be noticed late. If it is noticed
	// later, this process itself was paused, and the timeout is no evidence against the carrier.
	pauseTolerance = 50 * time.Millisecond
)

// Errors of Send, and of reading the answer.
var (
	// ErrNotRun means that the engine did not get the request, and will not get it.
	ErrNotRun = errors.New("not sent by the carrier")
	// ErrLost means that the carrier was lost, and that the engine may have got the request.
	// It is no evidence against the engine.
	ErrLost = errors.New("carrier lost")
)

// errNoAck is the cause of cancelling a request that the carrier did not acknowledge in time.
var errNoAck = errors.New("no acknowledgement in time")

// peerClient sends requests to peers. *wire.Client implements it.
type peerClient interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
}

// Observer is notified of lost carriers. It must not block.
type Observer interface {
	// CarrierLost is called for the first of consecutive losses of a carrier.
	CarrierLost(peer string, cause error)
}

// ClientOptions are what a Client needs.
type ClientOptions struct {
	MinNodes        int                               // minimum size of a region for carrying; 0 for never
	Node            string                            // this node's name
	Zone            string                            // its zone
	IdleConnections func(to upstream.Destination) int // number of idle connections of this node
	ZoneExcluded    func(zone string) bool            // whether no node of the zone may carry now
	Suspected       func(address string) bool         // whether a node is skipped with its zone; nil for never
	Observer        Observer
}

// Client sends requests through carriers. Safe for concurrent use.
type Client struct {
	options ClientOptions
	states  *peerStates

	mutex      sync.Mutex
	client     peerClient // nil before SetNodes
	self       string
	nodes      []Node
	regionSize int                 // number of nodes of the region, including those that are no carriers
	carriers   map[string][]string // by engine; computed on first use
}

// NewClient returns a client without peers.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, states: newPeerStates(), carriers: make(map[string][]string)}
}

// SetNodes replaces the nodes that may carry: all of the own region, including this one.
func (c *Client) SetNodes(client peerClient, self string, nodes []Node) {
	regionSize := len(nodes)
	nodes = selectCarriers(nodes)
	present := make(map[string]bool, len(nodes))
	for _, node := range nodes {
		present[node.Address] = true
	}
	c.states.retain(present)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.client, c.self, c.regionSize = client, self, regionSize
	if !slices.Equal(c.nodes, nodes) {
		c.nodes = nodes
		clear(c.carriers)
	}
}

// KeepOnly drops the carriers of engines for which present returns false.
func (c *Client) KeepOnly(present func(engine string) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for engine := range c.carriers {
		if !present(engine) {
			delete(c.carriers, engine)
		}
	}
}

// carriersOf returns the carriers of an engine, from the cache if possible.
func (c *Client) carriersOf(engine, zone string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	addresses, found := c.carriers[engine]
	if !found {
		addresses = carriersOf(engine, zone, c.options.Zone, c.nodes)
		c.carriers[engine] = addresses
	}
	return addresses
}

func (c *Client) excluded(zone string) bool {
	return c.options.ZoneExcluded != nil && c.options.ZoneExcluded(zone)
}

func (c *Client) markSuspected(candidates []Candidate) {
	if c.options.Suspected == nil {
		return
	}
	for i := range candidates {
		candidates[i].Unavailable = candidates[i].Unavailable || c.options.Suspected(candidates[i].Address)
	}
}

// Choose decides on the route of a request to an engine in a zone. It reads the engine, its
// address and the size of the body. immediate means that the request must leave at once.
func (c *Client) Choose(request Request, zone string, immediate bool) Decision {
	c.mutex.Lock()
	self, regionSize := c.self, c.regionSize
	c.mutex.Unlock()
	input := ChoiceInput{
		Enabled:         c.options.MinNodes > 0 && regionSize >= c.options.MinNodes,
		Self:            self,
		BodyBytes:       len(request.Body),
		Immediate:       immediate,
		IdleConnections: c.options.IdleConnections(request.destination()),
	}
	if !input.Enabled || input.IdleConnections > 0 {
		return Choose(input)
	}
	if !c.excluded(zone) {
		input.Carriers = c.states.candidates(c.carriersOf(request.Engine, zone), time.Now())
		c.markSuspected(input.Carriers)
	}
	return Choose(input)
}

// Send sends a request through a peer, and returns the engine's answer once its head has arrived.
// The caller must close its body. Errors are marked ErrNotRun, ErrLost or upstream.ErrNoAnswer.
// When ctx ends, the request is cancelled at the engine. A request whose run is its last one waits for a peer
// that is late as long as the peer answers that it runs.
func (c *Client) Send(ctx context.Context, peer string, request Request) (*http.Response, error) {
	c.mutex.Lock()
	client := c.client
	c.mutex.Unlock()
	if client == nil {
		return nil, errors.Mark(errors.New("no peers are set"), ErrNotRun)
	}
	call := newExchange(ctx)
	if request.LastRun {
		call.alive = func() bool { return c.overdueAlive(call.ctx, peer) }
	}
	c.states.begin(peer)
	go func() {
		defer c.states.end(peer)
		call.run(client, peer, request.encode(c.options.Node, time.Now()))
	}()
	response, err := call.head(ctx)
	c.recordResult(ctx, peer, call, err)
	if err != nil {
		call.close()
		return nil, errors.Wrapf(err, "carried by %s", peer)
	}
	return response, nil
}

// overdueAlive reports whether a peer whose acknowledgement is overdue still runs. Other requests skip the peer meanwhile.
func (c *Client) overdueAlive(ctx context.Context, peer string) bool {
	c.states.recordLate(peer, time.Now())
	return c.Alive(ctx, peer)
}

// recordResult updates the state of a peer after an exchange with it.
func (c *Client) recordResult(ctx context.Context, peer string, call *exchange, err error) {
	now := time.Now()
	switch {
	case call.acked():
		c.states.recordAnswer(peer, call.ackLatency(), now)
	case errors.IsAny(err, errDeclined, wire.ErrPeerDraining):
		c.states.recordDecline(peer, now)
		return
	}
	if ctx.Err() == nil && (errors.Is(err, ErrLost) || errors.Is(err, wire.ErrNotSent)) {
		c.ReportLost(peer, err)
	}
}

// ReportLost records that a peer does not answer.
func (c *Client) ReportLost(peer string, cause error) {
	if c.states.recordLoss(peer, time.Now()) && c.options.Observer != nil {
		c.options.Observer.CarrierLost(peer, cause)
	}
}

// Alive queries a peer that carries a request whether it still runs. A draining peer does: it rejects new requests,
// and sends the answers that it has begun before it ends.
func (c *Client) Alive(ctx context.Context, peer string) bool {
	c.mutex.Lock()
	client := c.client
	c.mutex.Unlock()
	query := &wirepb.Request{From: c.options.Node, Body: &wirepb.Request_AskAlive{AskAlive: &wirepb.AskAlive{}}}
	for {
		sentAt := time.Now()
		attempt, cancel := context.WithTimeout(ctx, aliveTimeout)
		_, err := client.Do(attempt, peer, query, nil)
		cancel()
		if err == nil || errors.Is(err, wire.ErrPeerDraining) || ctx.Err() != nil {
			return true
		}
		if time.Since(sentAt) <= aliveTimeout+pauseTolerance {
			c.ReportLost(peer, err)
			return false
		}
	}
}
