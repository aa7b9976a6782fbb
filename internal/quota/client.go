package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Bounds of a client.
const (
	// requestTimeout is how long the response of a peer is waited for. A process on a machine that
	// has used up its CPU quota is stalled for the rest of a period of 100 ms.
	requestTimeout = 150 * time.Millisecond
	// holderTimeout is how long requests wait for the answer of a holder that answered the last
	// request to it: about as long as for the next holder of a free shard, nextHolderWait. Its machine
	// may stand still for a moment, and answers of another region may wait in a queue on the link.
	holderTimeout = 450 * time.Millisecond
	// lateAnswerTimeout is how long an answer may take that nobody waits for any longer. It returns its
	// tokens to the holder, and shows that the holder answers.
	lateAnswerTimeout = time.Second
	// peerContactTimeout is how long a node that holds a shard may go without a response of any
	// peer. After that it probes peerSampleSize random peers to find out whether it is isolated.
	peerContactTimeout = 400 * time.Millisecond
	peerSampleSize     = 4
	// minEmptyPolls is how many consecutive polls for other nodes must find none before a node
	// considers itself the only one: nodes that start together are not listed at the first poll.
	minEmptyPolls = 2
	// gateRetention is how long a tenant's gate is kept without requests.
	gateRetention = 60 * time.Second
)

// errNoHolder means that no holder of the tenant's shard is known.
var errNoHolder = errors.New("no node is known to hold the tenant's shard")

// errSuspected means that the whole zone of the node that holds the tenant's shard is unresponsive.
var errSuspected = errors.New("no node in the zone of the shard's holder responds")

// errNotHolder means that the queried node does not hold the shard.
var errNotHolder = errors.New("the node does not hold the tenant's shard")

// errTimeout means that a node has not responded in time.
var errTimeout = errors.New("the node does not respond in time")

// errIsolated means that this node holds the shard and reaches no peer.
var errIsolated = errors.New("this node reaches no peer")

// peerClient sends requests to peers. *wire.Client implements it.
type peerClient interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
}

// Observer is notified of lost holders. It must not block.
type Observer interface {
	// HolderLost is called when the holder of a shard does not respond.
	HolderLost(shard int, holder Holder, cause error)
}

// Options are the dependencies of a Client.
type Options struct {
	Tolerance Tolerance
	Node      string
	Holdings  *Holdings
	Wake      func() // makes the node read or write the holders' rows soon; LeaseManager.Wake
	// SamplePeers draws the addresses of up to count random peers, with which a node checks
	// whether it is isolated; LeaseManager.SamplePeers.
	SamplePeers func(count int) []string
	Random      func() float64 // draws numbers from 0 to 1
	// Isolated reports whether this node's zone is partitioned from the other zones; nil if there
	// is no such check.
	Isolated func() bool
	// MayBeIsolated reports whether it is partitioned or will be unless responses arrive that may
	// only be late; nil if there is no such check.
	MayBeIsolated func() bool
	// Suspected reports whether a node is skipped because its zone is suspected; nil if none is.
	Suspected func(address string) bool
	Observer  Observer
}

// Client decides on tenants' requests at one node. Safe for concurrent use.
type Client struct {
	options Options

	mutex      sync.Mutex
	peerClient peerClient // nil until the first peer is known
	nodes      int
	emptyPolls int              // consecutive polls, up to the last one, that found no other node
	gates      map[string]*gate // by tenant
	cleanedAt  time.Time

	peerRespondedAt atomic.Pointer[time.Time] // when any peer last responded; nil before
}

// NewClient returns a client without peers. Until SetPeers is called it decides in local mode,
// by this node's even share of the limit.
func NewClient(options Options) *Client {
	return &Client{options: options, nodes: 1, gates: make(map[string]*gate)}
}

// SetPeers sets the client for peers and the number of nodes, this one included. It is called
// after each poll for other nodes.
func (c *Client) SetPeers(peers peerClient, nodes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peerClient, c.nodes = peers, nodes
	c.emptyPolls++
	if nodes > 1 {
		c.emptyPolls = 0
	}
}

// SetSingleNode declares that this node is permanently the only one.
func (c *Client) SetSingleNode() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.emptyPolls = minEmptyPolls
}

// onlyNode reports whether this node is the only one as far as it knows. A node that has just
// started cannot know, since others may have started with it. Without that rule the first holder
// of all shards, isolated before its second poll, kept counting alongside its successor, and 394
// requests passed where 372 are allowed.
func (c *Client) onlyNode() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.emptyPolls >= minEmptyPolls
}

// noteRequestFromPeer records that another node exists, whatever the last poll found.
func (c *Client) noteRequestFromPeer() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.emptyPolls = 0
}

// peers returns the client for peers and the number of nodes.
func (c *Client) peers() (peerClient, int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.peerClient, c.nodes
}

// Admit decides on one request of a tenant; newProgram is set if it starts a program. If a
// granted request then reaches no engine, the caller returns its token by ReturnToken.
func (c *Client) Admit(ctx context.Context, tenant string, limit Limit, newProgram bool) Decision {
	return c.gate(tenant).admit(ctx, limit, newProgram)
}

// ReturnToken returns the token of a granted request that reached no engine.
func (c *Client) ReturnToken(tenant string, granted Decision) { c.gate(tenant).returnToken(granted) }

// gate returns a tenant's gate, which it creates if there is none.
func (c *Client) gate(tenant string) *gate {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.clean(now)
	g := c.gates[tenant]
	if g == nil {
		g = &gate{client: c, tenant: tenant, share: NewShare(c.options.Tolerance, c.options.Random)}
		c.gates[tenant] = g
	}
	g.usedAt = now
	return g
}

// clean drops the gates of tenants without recent requests. The caller holds the mutex.
func (c *Client) clean(now time.Time) {
	if now.Sub(c.cleanedAt) < gateRetention {
		return
	}
	c.cleanedAt = now
	for tenant, g := range c.gates {
		if now.Sub(g.usedAt) >= gateRetention {
			delete(c.gates, tenant)
		}
	}
}

// requestTokens sends a request to the holder of a tenant's shard, and waits up to timeout for the
// answer. A holder that does not answer by then counts as lost. If it answers later after all, late is
// called with its grant.
func (c *Client) requestTokens(tenant string, request Request, timeout time.Duration, late func(grant Grant)) (Grant, error) {
	sentAt := time.Now()
	holder, own, queryable := c.options.Holdings.holder(sentAt, tenant)
	peers, _ := c.peers()
	switch {
	case own:
		return c.requestFromOwnAccount(tenant, request)
	case !queryable:
		c.options.Wake()
		return Grant{}, errNoHolder
	case peers == nil:
		return Grant{}, errNoHolder
	}
	grant, err := Grant{}, errSuspected
	if c.options.Suspected == nil || !c.options.Suspected(holder.Address) {
		grant, err = c.exchange(peers, holder.Address, encodeRequest(c.options.Node, tenant, request), request, timeout, func(grant Grant) {
			c.options.Holdings.holderAnswered(tenant, holder, sentAt)
			late(grant)
		})
	}
	if err != nil {
		c.noteHolderLost(tenant, holder, err)
		return Grant{}, err
	}
	c.options.Holdings.holderAnswered(tenant, holder, sentAt)
	return grant, nil
}

// requestFromOwnAccount takes tokens from this node's own account. A node that reaches no peer
// does not use the account, because the other nodes then continue in local mode. A node whose
// last poll found no peer uses it while its row is valid: no other node takes the shard over then.
func (c *Client) requestFromOwnAccount(tenant string, request Request) (Grant, error) {
	if !c.mayUseOwnAccount(tenant) {
		return Grant{}, errIsolated
	}
	grant, held := c.requestFromHoldings(tenant, request)
	if !held {
		c.options.Wake()
		return Grant{}, errNotHolder
	}
	return grant, nil
}

// mayUseOwnAccount reports whether this node may decide by the account that it holds. One whose zone
// may be isolated may while its row is valid: responses of the other zones may only be late.
func (c *Client) mayUseOwnAccount(tenant string) bool {
	rowValid := c.options.Holdings.rowValid(time.Now(), tenant)
	switch {
	case rowValid && c.knowsNoPeer():
		return true
	case rowValid:
		return !isTrue(c.options.Isolated) && c.reachesAnyPeer()
	}
	return c.ReachesPeer()
}

// requestFromHoldings takes tokens from an account that this node holds. If the recorded level
// limits the grant, it first waits up to recordTimeout until a new level is recorded. It returns
// false if this node may not answer for the tenant's shard.
func (c *Client) requestFromHoldings(tenant string, request Request) (Grant, bool) {
	var timeout *time.Timer
	for {
		grant, held, recorded := c.options.Holdings.grantUnlessBound(time.Now(), tenant, request)
		if recorded == nil {
			return grant, held
		}
		if timeout == nil {
			timeout = time.NewTimer(recordTimeout)
			defer timeout.Stop()
		}
		c.options.Wake()
		select {
		case <-recorded:
		case <-timeout.C:
			return c.options.Holdings.Grant(time.Now(), tenant, request)
		}
	}
}

// awaitsHolder reports whether waiting requests are to be kept after a failed request to the
// holder, because the shard is free and its next holder will be known soon.
func (c *Client) awaitsHolder(tenant string, cause error) bool {
	free := errors.IsAny(cause, errNoHolder, errNotHolder, syscall.ECONNREFUSED, wire.ErrPeerDraining)
	return free && c.options.Holdings.nextHolderExpected(time.Now(), tenant)
}

// ReachesPeer reports whether this node reaches any peer: one has responded recently, or one of
// a sample responds now, or its machine refuses the connection because the process has ended.
// Requests received from peers do not count, as they do not show that the peers get the answers.
// The only node counts as reaching peers; one that has merely not found another node yet does not.
// A node in a zone that may be isolated does not either, even if peers of its zone respond: outside
// the zone another node may take its shards, since their rows are no longer renewed.
func (c *Client) ReachesPeer() bool {
	return !isTrue(c.options.Isolated) && !isTrue(c.options.MayBeIsolated) && c.reachesAnyPeer()
}

// isTrue returns the result of a check; false if there is none.
func isTrue(check func() bool) bool { return check != nil && check() }

// reachesAnyPeer reports whether any peer responds, of whatever zone.
func (c *Client) reachesAnyPeer() bool {
	peers, _ := c.peers()
	if c.onlyNode() || c.hasRecentPeerResponse() {
		return true
	}
	sample := c.options.SamplePeers(peerSampleSize)
	reached := make(chan bool, len(sample))
	for _, address := range sample {
		go func() {
			err := c.probe(peers, address)
			reached <- err == nil || errors.IsAny(err, syscall.ECONNREFUSED, wire.ErrPeerDraining)
		}()
	}
	for range sample {
		if <-reached {
			return true
		}
	}
	return false
}

// knowsNoPeer reports whether the last poll found no other node.
func (c *Client) knowsNoPeer() bool {
	_, nodes := c.peers()
	return nodes < 2
}

// Responds reports whether a holder responds. It implements Prober.
func (c *Client) Responds(holder Holder) bool {
	peers, _ := c.peers()
	return peers != nil && c.probe(peers, holder.Address) == nil
}

// Probe checks whether a node responds; it returns the error if not.
func (c *Client) Probe(ctx context.Context, address string) error {
	peers, _ := c.peers()
	if peers == nil {
		return errNoHolder
	}
	_, err := peers.Do(ctx, address, encodeRequest(c.options.Node, "", Request{}), nil)
	return err
}

// probe returns an error if a node does not respond. Any response will do.
func (c *Client) probe(peers peerClient, address string) error {
	_, err := c.exchange(peers, address, encodeRequest(c.options.Node, "", Request{}), Request{}, requestTimeout, func(Grant) {})
	if errors.Is(err, errNotHolder) {
		return nil
	}
	return err
}

// notePeerResponse records that a peer has responded to a request that was sent at sentAt. A late
// response counts as one at the end of requestTimeout: for how long before it arrived the peer has been
// out of reach is not known.
func (c *Client) notePeerResponse(sentAt time.Time) {
	respondedAt := time.Now()
	if latest := sentAt.Add(requestTimeout); respondedAt.After(latest) {
		respondedAt = latest
	}
	for {
		previous := c.peerRespondedAt.Load()
		if previous != nil && !respondedAt.After(*previous) || c.peerRespondedAt.CompareAndSwap(previous, &respondedAt) {
			return
		}
	}
}

// hasRecentPeerResponse reports whether a peer has responded within peerContactTimeout.
func (c *Client) hasRecentPeerResponse() bool {
	respondedAt := c.peerRespondedAt.Load()
	return respondedAt != nil && time.Since(*respondedAt) < peerContactTimeout
}

// exchangeResult is the result of an exchange.
type exchangeResult struct {
	grant Grant
	err   error
}

// exchange sends one message to another node, waits up to timeout for the answer, and decodes the
// grant; request is the content of the message. The request stays in flight after that, since sending it
// again would take longer: late is called if it is answered within lateAnswerTimeout.
func (c *Client) exchange(peers peerClient, address string, message *wirepb.Request, request Request, timeout time.Duration, late func(grant Grant)) (Grant, error) {
	results := make(chan exchangeResult, 1)
	go func() {
		grant, err := c.exchangeUnbounded(peers, address, message, request)
		results <- exchangeResult{grant, err}
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result := <-results:
		return result.grant, result.err
	case <-timer.C:
	}
	go func() {
		// Without an answer, or with an invalid one, nothing is left to do: the node already counts as lost.
		if result := <-results; result.err == nil {
			late(result.grant)
		}
	}()
	return Grant{}, errors.Wrapf(errTimeout, "%s after %s", address, timeout)
}

// exchangeUnbounded sends one message and waits for the answer for as long as it may be of use.
func (c *Client) exchangeUnbounded(peers peerClient, address string, message *wirepb.Request, request Request) (Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lateAnswerTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := peers.Do(ctx, address, message, nil)
	if err != nil {
		return Grant{}, err
	}
	c.notePeerResponse(sentAt)
	if code := api.Code(reply.GetCode()); code != api.OK {
		return Grant{}, errors.Mark(errors.Newf("%s returned %s: %s", address, code, reply.GetDetail()), errNotHolder)
	}
	var granted wirepb.RequestsGranted
	if err := proto.Unmarshal(reply.GetBody(), &granted); err != nil {
		return Grant{}, errors.Wrapf(err, "decode grant of %s", address)
	}
	grant, err := decodeGrant(&granted, request)
	return grant, errors.Wrapf(err, "invalid grant of %s", address)
}

// noteHolderLost records that a holder did not respond, and wakes the search for the next one.
func (c *Client) noteHolderLost(tenant string, holder Holder, cause error) {
	kind := unresponsive
	if errors.Is(cause, errNotHolder) || errors.Is(cause, syscall.ECONNREFUSED) || errors.Is(cause, wire.ErrPeerDraining) {
		kind = ended
	}
	if c.options.Holdings.holderFailed(time.Now(), tenant, holder, kind) {
		c.options.Observer.HolderLost(ShardOf(tenant), holder, cause)
	}
	c.options.Wake()
}
