package turncache

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// fetchTimeout is the timeout of the first chunk of a writer's response, and of each further chunk. In the same zone
// a response takes a millisecond; reading the table takes four or more. A long response may take maxFetchTime in
// total: 300 KB take 0.08 s on an idle link of 30 Mbit/s. A writer whose response is still arriving must not count as
// unresponsive.
const (
	fetchTimeout = 60 * time.Millisecond
	maxFetchTime = time.Second
)

// errNotAChain reports that the turns in a peer's response are not the requested turn and its ancestors.
var errNotAChain = errors.New("the turns are not the requested chain")

// peerClient sends a request to a peer. *wire.Client implements it.
type peerClient interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
}

// Observer is notified of invalid responses. Its methods must not block.
type Observer interface {
	// TurnsDropped is called when a peer's response was dropped as invalid.
	TurnsDropped(peer string, fault error)
}

// Options configure a Client.
type Options struct {
	Node  string // name of this node
	Cache *Cache // of this node
	// Writers returns the nodes through which the records of a program's turns pass, the nearest
	// first, without this one.
	Writers func(program string) []string
	// WriterUnresponsive is called with a writer that did not respond, or is stopping, so that it is temporarily
	// skipped.
	WriterUnresponsive func(address string, cause error)
	Observer           Observer
}

// Client fetches turns from writers. It implements ledger.TurnSource. Safe for concurrent use.
type Client struct {
	options Options
	peers   atomic.Pointer[peerClient] // nil before Enable
	fetches atomic.Uint64
	hits    atomic.Uint64
}

// NewClient returns a client that sends no requests to peers until Enable is called.
func NewClient(options Options) *Client { return &Client{options: options} }

// Enable makes the client fetch turns from peers.
func (c *Client) Enable(peers peerClient) { c.peers.Store(&peers) }

// FetchCounts returns the number of requests to peers, and the number of them that returned turns.
func (c *Client) FetchCounts() (fetches, hits uint64) { return c.fetches.Load(), c.hits.Load() }

// TurnsUpTo implements ledger.TurnSource. It queries one writer after another until it has the chain up to the first
// turn of the conversation.
func (c *Client) TurnsUpTo(ctx context.Context, program, turn string) []*ledger.Turn {
	chain := c.options.Cache.TurnsUpTo(program, turn)
	peers := c.peers.Load()
	if peers == nil {
		return chain
	}
	for _, address := range c.options.Writers(program) {
		missing := missingTurn(chain, turn)
		if missing == "" {
			break
		}
		chain = append(chain, c.fetch(ctx, *peers, address, program, missing)...)
	}
	return chain
}

// missingTurn returns the first missing turn of a chain that starts with turn; empty if the chain is complete.
func missingTurn(chain []*ledger.Turn, turn string) string {
	if len(chain) == 0 {
		return turn
	}
	return chain[len(chain)-1].Parent
}

// fetch requests turns from one peer. If the peer does not respond, it returns none: the table has them.
func (c *Client) fetch(parent context.Context, peers peerClient, address, program, turn string) []*ledger.Turn {
	ctx, cancel := progress.WithLimits(parent, progress.Limits{First: fetchTimeout, Idle: fetchTimeout, Total: maxFetchTime})
	defer cancel()
	c.fetches.Add(1)
	reply, err := peers.Do(ctx, address, &wirepb.Request{From: c.options.Node, Body: &wirepb.Request_FetchTurns{
		FetchTurns: &wirepb.FetchTurns{Program: program, Turn: turn},
	}}, nil)
	if err != nil {
		if parent.Err() == nil {
			c.options.WriterUnresponsive(address, err)
		}
		return nil
	}
	switch api.Code(reply.GetCode()) {
	case api.OK:
	case api.NotReady:
		c.options.WriterUnresponsive(address, errors.New(reply.GetDetail()))
		return nil
	default:
		return nil
	}
	chain, err := decodeChain(turn, reply.GetBody())
	if err != nil {
		c.options.Observer.TurnsDropped(address, err)
		return nil
	}
	if len(chain) > 0 {
		c.hits.Add(1)
	}
	return chain
}

// StopAccepting makes the cache decline requests of peers from now on, since the node is stopping.
func (c *Cache) StopAccepting() { c.draining.Store(true) }

// ServeFetch answers a peer's request for a turn and its ancestors with those that the cache has.
func (c *Cache) ServeFetch(request *wirepb.FetchTurns) *wirepb.Reply {
	if c.draining.Load() {
		return &wirepb.Reply{Code: int32(api.NotReady), Execution: string(api.NotRun), Detail: "the node is stopping"}
	}
	var response wirepb.TurnsFetched
	for _, turn := range c.TurnsUpTo(request.GetProgram(), request.GetTurn()) {
		response.Turns = append(response.Turns, &wirepb.TurnsFetched_Turn{
			Id: turn.ID, Parent: turn.Parent, Input: turn.Input, Output: turn.Output, Program: turn.Program,
		})
	}
	body, err := proto.Marshal(&response)
	if err != nil {
		return &wirepb.Reply{Code: int32(api.Internal), Execution: string(api.NotRun), Detail: err.Error()}
	}
	return &wirepb.Reply{Body: body}
}

// decodeChain decodes turns. It returns an error if they are not the given turn and its ancestors, in
// this order.
func decodeChain(turn string, body []byte) ([]*ledger.Turn, error) {
	var response wirepb.TurnsFetched
	if err := proto.Unmarshal(body, &response); err != nil {
		return nil, errors.Wrap(err, "decode turns")
	}
	chain := make([]*ledger.Turn, 0, len(response.GetTurns()))
	for _, next := range response.GetTurns() {
		if next.GetId() != turn {
			return nil, errors.Wrapf(errNotAChain, "got turn %q instead of %q", next.GetId(), turn)
		}
		chain = append(chain, &ledger.Turn{ID: next.GetId(), Parent: next.GetParent(), Program: next.GetProgram(), Input: next.GetInput(), Output: next.GetOutput()})
		turn = next.GetParent()
	}
	return chain, nil
}
