package serving

import (
	"context"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/relay"
)

// Pauses between attempts to join the peers, and to read their addresses for the first time.
const (
	firstJoinPause = 100 * time.Millisecond
	maxJoinPause   = time.Second
)

// joinAttempts paces the attempts of a process to join its peers. At the end of an outage of the table service the next attempt
// follows at once: an earlier one may be waiting for an answer that never comes, and processes read large tables by themselves
// if they do not know their peers soon. Used by one goroutine.
type joinAttempts struct {
	returned <-chan struct{} // closed when the service first answers after an outage; nil once that was seen
	pause    time.Duration   // after the last attempt; 0 before the first
}

// start returns the context of an attempt. It ends when the service returns.
func (a *joinAttempts) start(ctx context.Context) (context.Context, context.CancelFunc) {
	attempt, cancel := context.WithCancel(ctx)
	returned := a.returned
	go func() {
		select {
		case <-returned:
			cancel()
		case <-attempt.Done():
		}
	}()
	return attempt, cancel
}

// awaitNext waits until the next attempt: longer after each in a row, but not beyond the service's return. It returns false if
// ctx ends.
func (a *joinAttempts) awaitNext(ctx context.Context) bool {
	a.pause = min(maxJoinPause, max(firstJoinPause, 2*a.pause))
	timer := time.NewTimer(a.pause)
	defer timer.Stop()
	select {
	case <-a.returned:
		a.returned, a.pause = nil, 0
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// joinPeers joins the other processes, and tries again until that succeeds. It returns nil if ctx ends.
func (p *Process) joinPeers(ctx context.Context, directory relay.Directory, attempts *joinAttempts) *peerServices {
	for {
		attempt, cancel := attempts.start(ctx)
		services, err := p.join(attempt, directory)
		cancel()
		if services != nil {
			return services
		}
		p.logNotJoined(ctx, err)
		if !attempts.awaitNext(ctx) {
			return nil
		}
	}
}

// findFirstPeers reads the peers' addresses, and tries again until the process knows those of its own zone. It returns false
// if ctx ends.
func (p *Process) findFirstPeers(ctx context.Context, directory relay.Directory, services *peerServices, attempts *joinAttempts) bool {
	for attempts.pause = 0; ; {
		p.joinedPeers.reset() // those that have joined by now are listed
		attempt, cancel := attempts.start(ctx)
		listing, err := directory.Peers(attempt)
		cancel()
		if err == nil {
			p.applyPeers(services, listing)
		}
		if err == nil && p.knowsOwnZone(listing) {
			return true
		}
		p.logNotJoined(ctx, err)
		if !attempts.awaitNext(ctx) {
			return false
		}
	}
}

// logNotJoined logs why an attempt to join the peers has failed, unless the process is ending.
func (p *Process) logNotJoined(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		p.logger.Warn("peers not joined", "error", err.Error())
	}
}

// knowsOwnZone reports whether a listing, which may lack zones that could not be read, has the peers of the own zone. There may
// be none.
func (p *Process) knowsOwnZone(listing relay.Listing) bool {
	return !slices.Contains(listing.Unread, p.settings.Topology.Zone())
}
