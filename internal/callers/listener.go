package callers

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of the end of a listener.
const (
	// lastLook is how long a connection is waited for that may have come already, when no more
	// are to be accepted.
	lastLook = 2 * time.Millisecond
	// lastLooks bounds how long connections that come one after another may hold the end up.
	lastLooks = 300 * time.Millisecond
)

// listener is what a followed listener needs of the one below. *net.TCPListener has it.
type listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// followedListener is a listener whose connections are followed.
type followedListener struct {
	listener
	tracker *Tracker
	endsAt  atomic.Pointer[time.Time] // when it ends at the latest; nil while it is to go on
	ended   atomic.Bool               // no connection is accepted any more
}

// Listen returns a listener whose connections are followed. below is a *net.TCPListener, or
// has the same methods.
func (t *Tracker) Listen(below net.Listener) (net.Listener, error) {
	bounded, is := below.(listener)
	if !is {
		return nil, errors.Newf("listener %T cannot be ended by a deadline", below)
	}
	followed := &followedListener{listener: bounded, tracker: t}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.listeners = append(t.listeners, followed)
	return followed, nil
}

// StopAccepting has listeners accept what has come, and nothing more.
func (t *Tracker) StopAccepting() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, followed := range t.listeners {
		followed.end(time.Now())
	}
}

// end wakes the listener's Accept, which closes it.
func (l *followedListener) end(now time.Time) {
	last := now.Add(lastLooks)
	l.endsAt.Store(&last)
	_ = l.SetDeadline(now) // one that is closed has no Accept to wake
}

// Accept implements net.Listener. Once it is to end, it returns connections that were waiting, and
// then net.ErrClosed: those that wait when a listener is closed are reset, with the requests that their
// callers have sent.
func (l *followedListener) Accept() (net.Conn, error) {
	for looked := false; ; {
		accepted, err := l.listener.Accept()
		if err == nil {
			return l.tracker.follow(accepted), nil
		}
		endsAt := l.endsAt.Load()
		if endsAt == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			l.ended.Store(errors.Is(err, net.ErrClosed))
			return nil, err
		}
		if now := time.Now(); !looked && now.Before(*endsAt) {
			looked = true
			_ = l.SetDeadline(now.Add(lastLook)) // the next Accept tells
			continue
		}
		l.ended.Store(true)
		return nil, errors.CombineErrors(net.ErrClosed, l.Close())
	}
}
