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
	headBytes        int           // that were read of the request's head
	headCost         int64         // what they take in memory
	headReserved     int64         // of headCost
	cause            Cause         // empty until the cause of its end is known
	ended            bool
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		again := c.handleRead(count, err)
		if refusal := c.recordHead(buffer[:count]); refusal != "" {
			c.tracker.refuse(c.Conn, refusal)
			return 0, os.ErrDeadlineExceeded // the server closes the connection and sends no answer of its own
		}
		if !again {
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

// recordHead records that part of a request's head was read, and reserves memory for it. It returns the reason if the head is refused.
func (c *connection) recordHead(part []byte) Refusal {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != Receiving || len(part) == 0 {
		return ""
	}
	c.headBytes += len(part)
	c.headCost += headCost(part)
	if refusal := c.checkHead(); refusal != "" {
		c.state = Finishing
		c.releaseHead()
		return refusal
	}
	return ""
}

// checkHead returns the reason if the head that was read so far is refused. The mutex is held.
func (c *connection) checkHead() Refusal {
	if limit := c.tracker.limits().HeaderBytes; limit > 0 && c.headBytes > limit+headLeeway {
		return HeadTooLarge
	}
	further := c.headCost - smallHeadCost - c.headReserved
	if further <= 0 {
		return ""
	}
	if !c.tracker.heads.reserve(further) {
		return HeadsFull
	}
	c.headReserved += further
	return ""
}

// releaseHead releases the memory of the request's head. The mutex is held.
func (c *connection) releaseHead() {
	c.tracker.heads.release(c.headReserved)
	c.headBytes, c.headCost, c.headReserved = 0, 0, 0
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
	c.setClosePending(false)
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.tracker.limits().HeaderTimeout)) // a closed connection fails at the next read
}

// setClosePending records whether the connection is about to be closed. The mutex is held.
func (c *connection) setClosePending(pending bool) {
	if pending == c.closePending {
		return
	}
	c.closePending = pending
	if pending {
		c.tracker.closing.Add(1)
	} else {
		c.tracker.closing.Add(-1)
	}
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
		c.setClosePending(true)
	case c.state == Receiving && now.Sub(c.requestStartedAt) >= c.tracker.limits().HeaderTimeout:
	default:
		return
	}
	_ = c.Conn.SetReadDeadline(now) // the reader gets an error and closes the connection
}

// reclaimableSince returns the time since when the connection may be closed in favor of a new one, and whether it may be: it is idle,
// and its announced keep-alive timeout is over, or no byte has come on it for unusedTimeout.
func (c *connection) reclaimableSince(now time.Time) (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	allowed := c.keepAlive + idleMargin
	if c.served == 0 {
		allowed = unusedTimeout
	}
	since := c.idleSince.Add(allowed)
	return since, c.state == Idle && !c.closePending && !since.After(now)
}

// closeIfIdle makes the reader close the connection if it is still idle. A request that has arrived is served.
func (c *connection) closeIfIdle(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != Idle || c.ended {
		return
	}
	c.setClosePending(true)
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
	c.releaseHead()
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
	c.setClosePending(false)
	c.releaseHead()
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
