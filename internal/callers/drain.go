package callers

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of a planned stop.
const (
	// idleMargin is added to the announced keep-alive timeout before an idle connection is closed: a
	// request may be sent at the very end of that timeout, and then is still in flight.
	idleMargin = 500 * time.Millisecond
	// drainPollPeriod is how often connections are checked.
	drainPollPeriod = 20 * time.Millisecond
)

// ErrConnectionsOpen reports that callers' connections had not ended in time.
var ErrConnectionsOpen = errors.New("callers' connections are still open")

// Drain closes connections that their callers may not use any more, until none is open: an idle
// connection once its announced keep-alive timeout is over, and any other one after its request is
// answered. StopAccepting must be called before. Drain returns ErrConnectionsOpen if ctx ends first.
//
// It replaces http.Server.Shutdown, which closes idle connections at once, and from then on reads
// requests without answering them: 10 to 20 requests on a day on which all processes were stopped three
// times.
func (t *Tracker) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for {
		listenersEnded := t.allListenersEnded() // first: a connection may be accepted until then
		open := t.listConnections()
		if listenersEnded && len(open) == 0 {
			return nil
		}
		now := time.Now()
		for _, c := range open {
			c.closeIfUnused(now)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ErrConnectionsOpen, "%d connections", len(open))
		}
	}
}

// allListenersEnded reports whether no listener accepts connections any more.
func (t *Tracker) allListenersEnded() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !slices.ContainsFunc(t.listeners, func(l *trackedListener) bool { return !l.ended.Load() })
}

// listConnections returns the open connections.
func (t *Tracker) listConnections() []*connection {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open := make([]*connection, 0, len(t.connections))
	for c := range t.connections {
		open = append(open, c)
	}
	return open
}
