// Package owners makes one node, a program's owner, hold the program's allowance for
// all nodes. The owner is selected by rendezvous hashing over the nodes that the
// directory lists. If nodes do not agree on it, or the owner does not respond, two
// nodes hold allowances at once: that costs additional writes, but never exceeds the
// budget, which conditional writes of the account enforce.
package owners

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/conversations"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/rendezvous"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// maxOwners is the maximum number of nodes that own programs.
const maxOwners = 32

// Timeouts of requests to owners.
const (
	// keepAliveTimeout is how long a node may take to send a keep-alive (an empty
	// reply part) or the reply. A node that waits for the table sends a keep-alive at once.
	keepAliveTimeout = 80 * time.Millisecond
	// reserveTimeout is how long an owner that has sent a keep-alive may take to reply.
	reserveTimeout = 900 * time.Millisecond
	// settleTimeout bounds the queueing of a settlement, including the connection setup.
	settleTimeout = 500 * time.Millisecond
)

// maxOwnersWithoutTable is the number of owners that report no response from the table after which
// no further owner gets a request.
const maxOwnersWithoutTable = 2

// maxStoppingRounds is how many times all candidates may be stopping before this node holds an allowance itself. With
// two candidates a round it exceeds the number of nodes that a planned restart of a deployment stops at once.
const maxStoppingRounds = 6

// errStopping reports that an owner is stopping, and reserves nothing for further turns.
var errStopping = errors.New("the owner is stopping")

// errNoKeepAlive is the cause of a request that is cancelled because the owner sent no keep-alive.
var errNoKeepAlive = errors.New("no keep-alive in time")

// errWaitsForTable reports that an owner sent a keep-alive, but no reply in time: it waits for the table.
var errWaitsForTable = errors.New("the owner waits for the table")

// errTableUnavailable reports that an owner gets no response from the table.
var errTableUnavailable = errors.New("the owner gets no response from the table")

// peerClient sends requests to peers. *wire.Client implements it.
type peerClient interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
	Send(ctx context.Context, address string, request *wirepb.Request) error
}

// Observer is notified when a node stops responding and when it responds again. Its
// methods must not block.
type Observer interface {
	OwnerLost(address string, cause error)
	OwnerRegained(address string)
}

// Client requests reservations from owners. It implements ledger.Owners and ledger.Witnesses. Safe for concurrent use.
type Client struct {
	peers      peerClient
	node       string
	runID      string
	self       string // this node's own address
	selector   *rendezvous.Selector
	observer   Observer
	excluded   func(address string) bool
	stopping   atomic.Bool
	grantCount atomic.Uint64
	runs       witnessRuns
}

// NewClient returns a client without peers. runID names this run of the node, one process
// lifetime; no other run of any node has the same. Nodes for which excluded returns true,
// because no node of their zone responds, get no requests.
func NewClient(peers peerClient, node, runID, self string, excluded func(address string) bool, observer Observer) *Client {
	c := &Client{peers: peers, node: node, runID: runID, self: self, selector: rendezvous.New(maxOwners), excluded: excluded, observer: observer}
	c.selector.SetExcluded(excluded)
	return c
}

// SetPeers replaces the addresses of the other nodes.
func (c *Client) SetPeers(addresses []string) {
	c.selector.Set(append([]string{c.self}, addresses...))
}

// PreferPeers makes peers reserve for this node's own turns, because it is stopping: an allowance of its own would be returned late.
func (c *Client) PreferPeers() { c.stopping.Store(true) }

// Reserve implements ledger.Owners. An owner that gets no response from the table may be the only
// node partitioned from it, so one more owner gets a request, and after it none: each further owner
// would wait as long, and would hold an allowance of its own once the table recovers. The error is
// then ErrNoOwner, so that this node calls the table itself. It may have a path to the table where
// two owners have none; and only from calls of its own can it detect that the table is unavailable,
// and that turns may run before their reservations are durable.
//
// Owners that are stopping report it at once, and the next candidates get the request: if each node
// held an allowance of its own instead, their writes of one account would conflict.
func (c *Client) Reserve(ctx context.Context, turn ledger.TurnRequest) (ledger.Grant, error) {
	withoutTable := 0
	for range maxStoppingRounds {
		candidates := c.selector.Candidates(turn.Program, time.Now())
		stopping := 0
		for _, address := range candidates {
			if address == c.self && !c.stopping.Load() {
				return nil, ledger.ErrNoOwner
			}
			reserved, err := c.reserveUnlessSelf(ctx, address, turn)
			if err == nil {
				return reserved, nil
			}
			if errors.Is(err, errStopping) {
				stopping++
			}
			if errors.Is(err, errTableUnavailable) {
				withoutTable++
			}
			if !errors.Is(err, ledger.ErrNoOwner) || withoutTable == maxOwnersWithoutTable {
				return nil, err
			}
		}
		if stopping == 0 || stopping < len(candidates) {
			break // one did not respond, or has no table: the next candidates need not be better
		}
	}
	return nil, ledger.ErrNoOwner
}

// reserveUnlessSelf is reserveAt, except that this node itself counts as a stopping one.
func (c *Client) reserveUnlessSelf(ctx context.Context, address string, turn ledger.TurnRequest) (ledger.Grant, error) {
	if address != c.self {
		return c.reserveAt(ctx, address, turn)
	}
	c.selector.Suspect(address, time.Now())
	return nil, errors.Mark(errStopping, ledger.ErrNoOwner)
}

// reserveAt requests a reservation from one node. The error is ErrBudgetSpent, ErrBudgetUnsettled,
// ErrNoOwner, ErrNoOwner marked with errTableUnavailable or errStopping, or tablestore.ErrUnavailable
// if the owner is alive and waits for the table.
func (c *Client) reserveAt(ctx context.Context, address string, turn ledger.TurnRequest) (ledger.Grant, error) {
	requested := &grant{client: c, address: address, id: c.runID + "/" + strconv.FormatUint(c.grantCount.Add(1), 36)}
	reply, err := c.exchange(ctx, address, &wirepb.Request{From: c.node, Body: &wirepb.Request_ReserveTokens{
		ReserveTokens: &wirepb.ReserveTokens{
			Grant:      requested.id,
			Program:    turn.Program,
			Budget:     turn.Budget,
			Most:       turn.MaxTokens,
			KeepMillis: turn.Retention.Milliseconds(),
			Session:    turn.Session,
		},
	}})
	if err != nil {
		requested.Settle(0, conversations.Location{}) // the owner may have made the reservation
		if errors.Is(err, errWaitsForTable) {
			return nil, errors.Mark(errors.Wrapf(err, "owner %s", address), tablestore.ErrUnavailable)
		}
		if ctx.Err() == nil {
			c.suspect(address, err)
		}
		return nil, ledger.ErrNoOwner
	}
	switch api.Code(reply.GetCode()) {
	case api.OK:
		c.trust(address)
		requested.lastLocation = decodeLocation(reply.GetBody())
		return requested, nil
	case api.BudgetExhausted:
		c.trust(address)
		return nil, errors.Mark(errors.Newf("at %s: %s", address, reply.GetDetail()), ledger.ErrBudgetSpent)
	case api.BudgetUnsettled:
		c.trust(address)
		return nil, errors.Mark(errors.Newf("at %s: %s", address, reply.GetDetail()), ledger.ErrBudgetUnsettled)
	case api.NotReady:
		c.suspect(address, errors.New(reply.GetDetail()))
		return nil, errors.Mark(errStopping, ledger.ErrNoOwner)
	case api.StoreDown:
		err := errors.Newf("at %s: %s", address, reply.GetDetail())
		return nil, errors.Mark(errors.Mark(errors.Mark(err, tablestore.ErrUnavailable), errTableUnavailable), ledger.ErrNoOwner)
	}
	return nil, ledger.ErrNoOwner
}

// exchange sends a request and returns its reply. It cancels the request if the node sends no keep-alive in time.
func (c *Client) exchange(ctx context.Context, address string, request *wirepb.Request) (*wirepb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	keepAliveTimer := time.AfterFunc(keepAliveTimeout, func() { abort(errNoKeepAlive) })
	defer keepAliveTimer.Stop()
	var receivedKeepAlive atomic.Bool
	reply, err := c.peers.Do(ctx, address, request, func(int64, []byte) {
		keepAliveTimer.Stop()
		receivedKeepAlive.Store(true)
	})
	switch {
	case err == nil:
		return reply, nil
	case errors.Is(context.Cause(ctx), errNoKeepAlive):
		return nil, errNoKeepAlive
	case receivedKeepAlive.Load() && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, errors.Mark(err, errWaitsForTable)
	}
	return nil, err
}

func (c *Client) suspect(address string, cause error) {
	if c.selector.Suspect(address, time.Now()) && c.observer != nil {
		c.observer.OwnerLost(address, cause)
	}
}

func (c *Client) trust(address string) {
	if c.selector.ClearSuspicion(address) && c.observer != nil {
		c.observer.OwnerRegained(address)
	}
}

// grant is a turn's share of an owner's allowance. It implements ledger.Grant.
type grant struct {
	client       *Client
	address      string
	id           string
	lastLocation conversations.Location
}

// decodeLocation decodes the body of an owner's reply. A malformed body is ignored, because
// the location is a hint.
func decodeLocation(body []byte) conversations.Location {
	var reservation wirepb.TurnCovered
	if proto.Unmarshal(body, &reservation) != nil {
		return conversations.Location{}
	}
	return conversations.Location{Engine: reservation.GetLastEngine(), Tokens: reservation.GetLastTokens()}
}

// Owner implements ledger.Grant.
func (g *grant) Owner() string { return g.address }

// LastLocation implements ledger.Grant.
func (g *grant) LastLocation() conversations.Location { return g.lastLocation }

// Settle implements ledger.Grant. An owner that does not receive the settlement counts the
// turn's maximum tokens as spent.
func (g *grant) Settle(tokens int64, location conversations.Location) {
	request := &wirepb.Request{From: g.client.node, Body: &wirepb.Request_SettleTokens{
		SettleTokens: &wirepb.SettleTokens{Grant: g.id, Tokens: tokens, Engine: location.Engine, EngineTokens: location.Tokens},
	}}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		_ = g.client.peers.Send(ctx, g.address, request) // a settlement that does not arrive leaves the grant charged
	}()
}
