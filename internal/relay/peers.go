package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Bounds of calls through peers.
const (
	// peerTimeout is how long one peer may take, beyond the wait of the call itself, until its first keep-alive
	// or the first part of its reply, and then between two keep-alives or parts.
	peerTimeout = 250 * time.Millisecond
	// maxStandstill is how late this process may notice that a peer, or the service, has been silent. If it is later, keep-alives
	// or an answer may have arrived meanwhile; it is half of the interval of keep-alives.
	maxStandstill  = keepAliveInterval / 2
	replyTimeout   = 10 * time.Second       // for a whole reply
	peerRetryPause = 500 * time.Millisecond // after none of the peers reached the table service
	// maxPeers is how many peers one call tries. If the table service rejects a third of the nodes,
	// one call in eighty finds only rejected peers.
	maxPeers = 4
	// maxRelayedReads is how many reads of this process peers make at a time; further ones wait. At a slow service, a search
	// for a turn reads all 32 parts of the table at once. A peer that declines a call because of this process's own reads
	// would fail the search, and count as one that has no path. The other half is left to writes and other processes.
	maxRelayedReads = maxCalls / 2
)

// peerClient sends a request to a peer. *wire.Client implements it.
type peerClient interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
}

// peerPool holds the peers through which this node may make calls. Safe for concurrent use.
type peerPool struct {
	node      string
	onInvalid func(peer string, fault error) // called for each invalid outcome
	reads     chan struct{}                  // semaphore of maxRelayedReads

	mutex    sync.Mutex
	client   peerClient // nil before any peer is known
	peers    []string   // addresses, in order of preference
	failedAt time.Time  // when no peer reached the table service; zero if one has reached it since
	servedAt time.Time  // when a peer last returned an answer of the table service
	relayed  uint64     // calls that peers made
	invalid  uint64     // invalid outcomes
}

// newPeerPool returns a pool without peers. node is this node's name.
func newPeerPool(node string, onInvalid func(peer string, fault error)) *peerPool {
	return &peerPool{node: node, onInvalid: onInvalid, reads: make(chan struct{}, maxRelayedReads)}
}

// setPeers replaces the peers.
func (p *peerPool) setPeers(client peerClient, peers []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.client, p.peers = client, peers
}

// relayedCount returns how many calls peers made.
func (p *peerPool) relayedCount() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.relayed
}

// invalidCount returns how many outcomes were invalid.
func (p *peerPool) invalidCount() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.invalid
}

// hasPeers reports whether any peer is known.
func (p *peerPool) hasPeers() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.client != nil && len(p.peers) > 0
}

// candidates returns the client and the peers to try now; none shortly after all peers failed.
func (p *peerPool) candidates() (peerClient, []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.client == nil || time.Since(p.failedAt) < peerRetryPause {
		return nil, nil
	}
	return p.client, append([]string(nil), p.peers[:min(maxPeers, len(p.peers))]...)
}

// call makes a call through peers, one after another until one returns an answer of the table
// service. wait is how long the call itself may take. repeatable means that a call whose
// reply was lost may be made again through the next peer. The error is marked
// ErrUnreachable if no peer reaches the service, and ErrUnknownOutcome if a peer may have made the call.
func (p *peerPool) call(ctx context.Context, request *wirepb.Request, wait time.Duration, repeatable bool) (Outcome, error) {
	begun := time.Now()
	client, peers := p.candidates()
	request.From = p.node
	lastErr := errors.Newf("%d peers available", len(peers))
	for i, peer := range peers {
		outcome, err := p.callPeer(ctx, client, peer, request, wait)
		if err == nil && outcome.Failure != Unreachable && outcome.Failure != Busy {
			p.recordRelayed(peer, outcome)
			return outcome, nil
		}
		if ctx.Err() == nil || i == 0 { // a later peer only had the time that the earlier ones left
			p.demote(peer)
		}
		switch {
		case ctx.Err() != nil:
			return Outcome{}, errors.Mark(errors.Wrapf(ctx.Err(), "peer %s", peer), tablestore.ErrUnknownOutcome)
		case err == nil:
			lastErr = errors.Newf("peer %s: %s", peer, outcome.Detail)
		case !repeatable && !errors.Is(err, wire.ErrNotSent):
			return Outcome{}, errors.Mark(errors.Wrapf(err, "peer %s", peer), tablestore.ErrUnknownOutcome)
		default:
			lastErr = err
		}
	}
	p.recordAllFailed(len(peers), begun)
	return Outcome{}, errors.Mark(errors.Mark(errors.Wrap(lastErr, "table service reached neither directly nor through peers"),
		tablestore.ErrUnavailable), tablestore.ErrUnreachable)
}

// recordAllFailed records that none of the tried peers reached the table service, so that calls
// within peerRetryPause fail at once. It does not if a peer has reached it for another call since this one began: then
// only this call was late.
func (p *peerPool) recordAllFailed(tried int, begun time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if tried == 0 || p.servedAt.After(begun) {
		return
	}
	p.failedAt = time.Now()
}

// read makes a read through peers once fewer than maxRelayedReads are in flight.
func (p *peerPool) read(ctx context.Context, request *wirepb.Request) (Outcome, error) {
	select {
	case p.reads <- struct{}{}:
	case <-ctx.Done():
		return Outcome{}, errors.Mark(errors.Wrap(ctx.Err(), "wait for other reads through peers"), tablestore.ErrUnknownOutcome)
	}
	defer func() { <-p.reads }()
	return p.call(ctx, request, 0, true)
}

// callPeer makes a call through one peer. An invalid outcome counts as a lost reply.
func (p *peerPool) callPeer(ctx context.Context, client peerClient, peer string, request *wirepb.Request, wait time.Duration) (Outcome, error) {
	ctx, cancel := progress.WithLimits(ctx, peerLimits(wait))
	defer cancel()
	reply, err := client.Do(ctx, peer, request, keepAliveHandler(ctx, wait))
	if err != nil {
		return Outcome{}, err
	}
	outcome, err := decodeOutcome(request, reply.GetBody())
	if err != nil {
		p.recordInvalid(peer, err)
		return Outcome{}, errors.Mark(err, wire.ErrLinkBroken)
	}
	return outcome, nil
}

// peerLimits returns the limits of a call through one peer. wait is how long the call itself may take.
func peerLimits(wait time.Duration) progress.Limits {
	return progress.Limits{First: wait + peerTimeout, Idle: peerTimeout, Total: wait + replyTimeout, Standstill: maxStandstill}
}

// recordInvalid counts and reports an invalid outcome.
func (p *peerPool) recordInvalid(peer string, problem error) {
	p.mutex.Lock()
	p.invalid++
	p.mutex.Unlock()
	p.onInvalid(peer, problem)
}

// recordRelayed counts a relayed call and moves its peer to the front. If the table service answered it, calls need not
// wait for the end of peerRetryPause.
func (p *peerPool) recordRelayed(peer string, outcome Outcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if outcome.isAnswer() {
		p.servedAt, p.failedAt = time.Now(), time.Time{}
	}
	p.relayed++
	p.peers = moveToEnd(p.peers, peer, true)
}

// demote moves a peer to the end.
func (p *peerPool) demote(peer string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.peers = moveToEnd(p.peers, peer, false)
}

// moveToEnd returns a list with one entry moved to its front or back.
func moveToEnd(list []string, entry string, toFront bool) []string {
	rest := make([]string, 0, len(list))
	found := false
	for _, other := range list {
		if other == entry {
			found = true
			continue
		}
		rest = append(rest, other)
	}
	switch {
	case !found:
		return list
	case toFront:
		return append([]string{entry}, rest...)
	}
	return append(rest, entry)
}
