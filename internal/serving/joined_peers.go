package serving

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// joinedPeers signals that a peer has joined since the peers were last read from the directory. Safe for concurrent use.
type joinedPeers chan struct{}

func newJoinedPeers() joinedPeers { return make(joinedPeers, 1) }

// add signals that a peer has joined. It does not block.
func (j joinedPeers) add() {
	select {
	case j <- struct{}{}:
	default:
	}
}

// reset forgets peers that have joined so far.
func (j joinedPeers) reset() {
	select {
	case <-j:
	default:
	}
}

// awaitRefresh waits until the peers are to be read again: after period, or earlier if one joins, with time for others that
// start with it. It returns false if ctx ends.
func (j joinedPeers) awaitRefresh(ctx context.Context, period time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	select {
	case <-j:
		if backoff.Wait(ctx, backoff.Jitter(firstRefresh)) {
			return true
		}
	case <-ctx.Done():
	}
	return context.Cause(ctx) == context.DeadlineExceeded
}

// peerAsked is called with the address of a peer that asks which engines ended, as each does that has joined.
func (p *Process) peerAsked(address string) {
	p.placer.AddNode(address) // it sends to cold engines before the next list of peers names it
	p.viewMutex.Lock()
	defer p.viewMutex.Unlock()
	for _, listed := range p.peers {
		if listed.Address == address {
			return
		}
	}
	p.joinedPeers.add()
}
