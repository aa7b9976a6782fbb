package callers

import (
	"io"
	"net"
	"slices"
	"time"
)

// reclaimDivisor is the fraction of all connections, as its inverse, that one search closes at most. The others are still of use to their
// callers.
const reclaimDivisor = 16

// hasRoom reports whether a new connection may be accepted. If all connections are in use, it closes idle ones that their callers may not use
// any more.
func (t *Tracker) hasRoom(now time.Time) bool {
	limit := t.options.Capacity.Connections
	if limit <= 0 || t.occupied() < limit {
		return true
	}
	t.reclaim(now)
	return t.occupied() < limit
}

// occupied returns the number of open connections, except for those that are about to be closed.
func (t *Tracker) occupied() int { return t.OpenConnections() - int(t.closing.Load()) }

// reclaim closes idle connections that their callers may not use any more, the oldest first. It does nothing within reclaimPeriod of the last
// time.
func (t *Tracker) reclaim(now time.Time) {
	if !t.startReclaim(now) {
		return
	}
	type candidate struct {
		connection *connection
		since      time.Time
	}
	var candidates []candidate
	open := t.listConnections()
	for _, c := range open {
		if since, ok := c.reclaimableSince(now); ok {
			candidates = append(candidates, candidate{c, since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.since.Compare(b.since) })
	for _, closable := range candidates[:min(len(candidates), len(open)/reclaimDivisor+1)] {
		closable.connection.closeIfIdle(now)
	}
}

// startReclaim reports whether connections may be searched again.
func (t *Tracker) startReclaim(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if now.Sub(t.reclaimedAt) < reclaimPeriod {
		return false
	}
	t.reclaimedAt = now
	return true
}

// refuseNew refuses a connection for which there is no room, and closes it.
func (t *Tracker) refuseNew(accepted net.Conn) {
	select {
	case t.refused <- struct{}{}:
	default:
		t.reportRefusal(ConnectionsFull)
		_ = accepted.Close() // its caller sees that nothing was read
		return
	}
	go func() {
		defer func() { <-t.refused }()
		if awaitRequest(accepted) {
			t.refuse(accepted, ConnectionsFull)
		} else {
			t.reportRefusal(ConnectionsFull)
		}
		_ = accepted.Close() // the answer has been sent, or cannot be
	}()
}

// awaitRequest waits for the first byte of a request, for refusalTimeout at most, and reports whether it has come: an answer must not come
// before its request.
func awaitRequest(accepted net.Conn) bool {
	if err := accepted.SetReadDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return false // it is closed
	}
	count, _ := accepted.Read(make([]byte, 1))
	return count > 0
}

// refuse sends a refusal on a connection and discards what its caller still sends, for refusalTimeout at most.
func (t *Tracker) refuse(refused net.Conn, refusal Refusal) {
	t.reportRefusal(refusal)
	if err := refused.SetDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return // it is closed
	}
	if _, err := refused.Write(refusal.answer()); err != nil {
		return // its caller is gone or does not read
	}
	if half, ok := refused.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, refused) // ends at the deadline, or when the caller closes the connection
	}
}

// reportRefusal reports a refusal to the owner of the tracker.
func (t *Tracker) reportRefusal(refusal Refusal) {
	if t.options.Refused != nil {
		t.options.Refused(refusal)
	}
}
