package callers

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Bounds of the end of a listener.
const (
	// finalAcceptWait is how long Accept still waits after StopAccepting for a connection whose handshake
	// is in progress: its client takes it for established while the last packet of the handshake is in
	// flight. It is longer than a round trip within a region, but not much longer: a client that connects in the
	// meantime is refused only a second later, when its system sends the request again.
	finalAcceptWait = 2 * time.Millisecond
	// maxFinalAccept bounds how long a series of new connections can delay the end where the system
	// cannot block them.
	maxFinalAccept = 300 * time.Millisecond
)

// deadlineListener is what a trackedListener needs of the listener that it wraps. *net.TCPListener
// implements it.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// trackedListener is a listener whose connections are tracked.
type trackedListener struct {
	deadlineListener
	tracker *Tracker
	endsAt  atomic.Pointer[time.Time] // latest time of its end; nil until StopAccepting
	ended   atomic.Bool               // it accepts no connections any more

	// Used by Accept only, which one goroutine calls at a time:
	finalPollStartedAt time.Time // when the first final poll started
	synFiltered        bool      // the kernel drops requests for new connections
}

// Bind listens at an address by plain TCP instead of multipath TCP, the default: the kernel cannot block
// new connections of multipath TCP, so the last one would be reset when the listener is closed.
func Bind(network, address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), network, address)
}

// minRebindDelay is the longest delay before the second attempt of RetryBind; it doubles with each further one.
const minRebindDelay = 50 * time.Millisecond

// RetryBind calls bind until it succeeds, as long as it fails for an address that is in use or for something else that may pass: a process
// that ended just before may still have the port. It calls unavailable for each such error that differs from the one before, and returns
// the last error if ctx ends. maxDelay bounds the delays between attempts.
func RetryBind(ctx context.Context, maxDelay time.Duration, bind func() error, unavailable func(error)) error {
	failure := ""
	for retry := 0; ; retry++ {
		err := bind()
		if err == nil || !mayPass(err) {
			return err
		}
		if err.Error() != failure {
			failure = err.Error()
			unavailable(err)
		}
		if !backoff.Wait(ctx, backoff.FullJitter(minRebindDelay, maxDelay, retry)) {
			return err
		}
	}
}

// mayPass reports whether an address that could not be bound may be bound later.
func mayPass(err error) bool {
	for _, temporary := range []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// WrapListener returns a listener whose connections are tracked. inner is a listener of Bind, or
// implements the same methods.
func (t *Tracker) WrapListener(inner net.Listener) (net.Listener, error) {
	withDeadline, ok := inner.(deadlineListener)
	if !ok {
		return nil, errors.Newf("listener %T has no SetDeadline method", inner)
	}
	tracked := &trackedListener{deadlineListener: withDeadline, tracker: t}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.listeners = append(t.listeners, tracked)
	return tracked, nil
}

// StopAccepting makes listeners accept the connections that are pending, and then end.
func (t *Tracker) StopAccepting() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, tracked := range t.listeners {
		tracked.end(time.Now())
	}
}

// end wakes the listener's Accept, which then closes the listener.
func (l *trackedListener) end(now time.Time) {
	deadline := now.Add(maxFinalAccept)
	l.endsAt.Store(&deadline)
	_ = l.SetDeadline(now) // a closed listener has no Accept to wake
}

// Accept implements net.Listener. After StopAccepting it returns the connections that are pending, and
// then net.ErrClosed. Closing a listener resets its pending connections, with the requests that callers
// have sent on them, so new connections are blocked before the final polls.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.deadlineListener.Accept()
		if err == nil && l.tracker.hasRoom(time.Now()) {
			return l.tracker.track(accepted), nil
		}
		if err == nil {
			l.tracker.refuseNew(accepted)
			continue
		}
		if errors.IsAny(err, syscall.EMFILE, syscall.ENFILE) {
			l.tracker.reclaim(time.Now()) // the server calls again after a delay
		}
		if l.endsAt.Load() == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			l.ended.Store(errors.Is(err, net.ErrClosed))
			return nil, err
		}
		if now := time.Now(); l.pollAgain(now) {
			_ = l.SetDeadline(now.Add(finalAcceptWait)) // an error shows at the next Accept
			continue
		}
		err = l.Close()
		l.ended.Store(true)
		return nil, errors.CombineErrors(net.ErrClosed, err)
	}
}

// pollAgain reports whether connections may still arrive or be pending: during finalAcceptWait, and after
// that while one is pending. A timeout of Accept does not prove that there is none: its deadline may pass
// while the process waits for a processor.
func (l *trackedListener) pollAgain(now time.Time) bool {
	if l.finalPollStartedAt.IsZero() {
		l.finalPollStartedAt = now
		l.synFiltered = dropConnectionRequests(l.deadlineListener) == nil // without the filter, a connection made at the very end is reset
		return true
	}
	if now.Sub(l.finalPollStartedAt) < finalAcceptWait {
		return true
	}
	return hasPending(l.deadlineListener) && (l.synFiltered || now.Before(*l.endsAt.Load()))
}
