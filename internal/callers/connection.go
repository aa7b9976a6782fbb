package callers

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of reading bytes that arrived before a deadline passed.
const (
	// unreadTimeout bounds the time to read them. They are there already, but the process may be waiting for a processor.
	unreadTimeout = 100 * time.Millisecond
	// maxExtensions is how often the deadline of one header may be extended. A caller that sends on slowly would hold the connection
	// otherwise, since some bytes have always arrived.
	maxExtensions = 5
)

// connection is a tracked connection of a caller. It replaces the read deadlines that the server sets
// by those of the current limits, except deadlines in the past, by which the server ends a read.
type connection struct {
	net.Conn
	tracker  *Tracker
	openedAt time.Time

	mutex            sync.Mutex
	state            State
	served           int
	readAt           time.Time     // when a byte was last read, or the connection was opened
	requestStartedAt time.Time     // when the first byte of the request was read
	idleSince        time.Time     // when it last became idle
	extensions       int           // of the deadline of the request's header
	keepAlive        time.Duration // keep-alive timeout that was announced to the caller
	closePending     bool          // its idle time is over; a request that arrives anyway is served
	cause            Cause         // empty until the cause of its end is known
	ended            bool
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		if !c.handleRead(count, err) {
			return count, err
		}
	}
}

// handleRead records the result of a read. It reports whether to read again, which is so if a deadline has passed
// but bytes had arrived before that: a request at the moment at which the idle time is over, or the rest of a header
// while this process got no processor time.
func (c *connection) handleRead(count int, err error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count > 0 {
		c.recordBytes()
	}
	if err == nil || c.ended || c.cause != "" {
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && hasUnread(c.Conn) && c.extendDeadline() {
		return true
	}
	c.recordReadError(err)
	return false
}

// extendDeadline lets the server read bytes that have arrived though the deadline has passed. It returns false after
// maxExtensions, and while a request is being served: the server ends its own reads then. The mutex is held.
func (c *connection) extendDeadline() bool {
	switch c.state {
	case Idle:
		c.cancelClose()
	case Receiving:
		if c.extensions == maxExtensions {
			return false
		}
		c.extensions++
		_ = c.Conn.SetReadDeadline(time.Now().Add(unreadTimeout)) // a closed connection fails at the next read
	default:
		return false
	}
	return true
}

// recordBytes records that bytes of a request were read. The mutex is held.
func (c *connection) recordBytes() {
	c.readAt = time.Now()
	if c.state != Idle {
		return
	}
	c.state = Receiving
	c.requestStartedAt = c.readAt
	c.extensions = 0
	c.cancelClose()
}

// cancelClose cancels a pending close, and sets the deadline to receive the request's header. The
// mutex is held.
func (c *connection) cancelClose() {
	c.closePending = false
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.tracker.limits().HeaderTimeout)) // a closed connection fails at the next read
}

// SetReadDeadline implements net.Conn for the server.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == Serving || c.state == Finishing || deadline.IsZero() || !deadline.After(time.Now()) {
		return c.Conn.SetReadDeadline(deadline)
	}
	if c.state == Receiving {
		return c.Conn.SetReadDeadline(c.requestStartedAt.Add(c.tracker.limits().HeaderTimeout))
	}
	if c.closePending {
		return c.Conn.SetReadDeadline(time.Now())
	}
	return c.Conn.SetReadDeadline(c.idleSince.Add(c.idleLimit()))
}

// idleLimit returns how long the connection may be idle: the idle timeout, but at least the keep-alive
// timeout that was announced, so that no request is aborted that its caller was allowed to send. The
// mutex is held.
func (c *connection) idleLimit() time.Duration {
	return max(c.tracker.limits().IdleTimeout, c.keepAlive+idleMargin)
}

// applyIdleLimit applies the current limits to the connection if it is idle.
func (c *connection) applyIdleLimit() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == Idle && !c.closePending {
		_ = c.Conn.SetReadDeadline(c.idleSince.Add(c.idleLimit())) // a closed connection fails at the next read
	}
}

// setKeepAlive records the keep-alive timeout that is announced to the caller.
func (c *connection) setKeepAlive(keepAlive time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.keepAlive = keepAlive
}

// closeIfUnused makes the reader close the connection if it is idle and its announced keep-alive timeout
// is over, or if a request's header takes longer than its timeout. If http.Server
// closed the connection, from another goroutine than its reader, bytes that have just arrived would be lost.
func (c *connection) closeIfUnused(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.state == Idle && now.Sub(c.idleSince) >= c.keepAlive+idleMargin:
		c.closePending = true
	case c.state == Receiving && now.Sub(c.requestStartedAt) >= c.tracker.limits().HeaderTimeout:
	default:
		return
	}
	_ = c.Conn.SetReadDeadline(now) // the reader gets an error and closes the connection
}

// recordReadError derives the cause of the connection's end from the error of a read. While a request is
// being served, the server ends its own reads by a deadline in the past, which is no cause. The mutex
// is held.
func (c *connection) recordReadError(err error) {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.cause = ClientDisconnected
	case c.state == Receiving:
		c.cause = HeaderTimedOut
	}
}

// startRequest records that a request's header has been read and the request is being served.
func (c *connection) startRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = Serving
	_ = c.Conn.SetReadDeadline(time.Time{}) // the header timeout does not apply to the body
}

// endRequest records that a request's handler has returned, or has panicked if complete is false.
func (c *connection) endRequest(complete bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !complete {
		if c.cause == "" && !c.ended {
			c.cause = ResponseAborted
		}
		return
	}
	c.state = Finishing
	c.served++
}

// setIdle records that the server has sent the complete answer and read the rest of the body.
func (c *connection) setIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = Idle
	c.idleSince = time.Now()
}

// CloseWrite lets the server end its answer before it closes the connection, as it does with
// *net.TCPConn.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	if report, unanswered := c.markClosed(time.Now()); unanswered {
		c.tracker.options.Unanswered(report)
	}
	c.tracker.untrack(c)
	return c.Conn.Close()
}

// markClosed records the end of the connection. It returns the report of the end, and whether a
// request on the connection had no complete answer.
func (c *connection) markClosed(now time.Time) (Unanswered, bool) {
	stopping := c.tracker.stopping.Load()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended {
		return Unanswered{}, false
	}
	c.ended = true
	if c.state == Idle && stopping && hasUnread(c.Conn) {
		c.state = Unread
	}
	if c.cause == "" {
		c.cause = ProcessStopping
	}
	report := Unanswered{
		State:     c.state,
		Cause:     c.cause,
		Served:    c.served,
		Age:       now.Sub(c.openedAt),
		SinceRead: now.Sub(c.readAt),
		Stopping:  stopping,
	}
	return report, c.state != Idle && c.state != Finishing
}
