package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/progress"
)

const (
	// keepAliveInterval is the interval at which a peer sends keep-alives while the service has not answered a call. They
	// let the requesting node distinguish a slow service from a peer that has failed.
	keepAliveInterval = 100 * time.Millisecond
	// servedWindow is for how long the service may leave a peer's calls unanswered until that peer sends no keep-alives any more,
	// unless the answer to the call itself has begun to arrive. A peer to which the service does not respond either is then
	// abandoned as fast as one that has failed.
	servedWindow = 500 * time.Millisecond
)

// keepAliveSender reports that a call is in flight at a service that answers this node's other calls. It sends empty
// parts once the call's own wait is over.
type keepAliveSender struct {
	stop chan struct{}
	done sync.WaitGroup
}

// startKeepAlive starts keep-alives for a call with the given wait. They are sent only while the service answers this node.
func startKeepAlive(wait time.Duration, isServed func() bool, onPart func(offset int64, text []byte)) *keepAliveSender {
	s := &keepAliveSender{stop: make(chan struct{})}
	s.done.Go(func() {
		next := time.NewTimer(wait + keepAliveInterval)
		defer next.Stop()
		for {
			select {
			case <-next.C:
				if isServed() {
					onPart(0, nil)
				}
				next.Reset(keepAliveInterval)
			case <-s.stop:
				return
			}
		}
	})
	return s
}

// end stops the keep-alives. None is sent after it returns.
func (s *keepAliveSender) end() {
	close(s.stop)
	s.done.Wait()
}

// keepAliveHandler returns a handler for keep-alives of a call that a peer makes. Each extends the wait for the
// peer, until the latest time at which the peer itself abandons the call: it does so earlier if the service does not answer it
// within serveTimeout.
func keepAliveHandler(ctx context.Context, wait time.Duration) func(offset int64, text []byte) {
	deadline := time.Now().Add(wait + replyTimeout)
	return func(int64, []byte) {
		if time.Now().Before(deadline) {
			progress.Report(ctx)
		}
	}
}
