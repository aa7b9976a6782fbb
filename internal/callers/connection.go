package callers

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// connection is a caller's connection that is followed.
type connection struct {
	net.Conn
	tracker  *Tracker
	openedAt time.Time

	mutex      sync.Mutex
	state      State
	served     int
	readAt     time.Time // when a byte was last read, or the connection was opened
	restsSince time.Time // if it rests
	closing    bool      // it rested for long enough, and its next read ends it
	cause      Cause     // empty until something that ends it has shown
	ended      bool
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		if !c.noteRead(count, err) {
			return count, err
		}
	}
}

// noteRead takes notice of a read. It reports whether to read again: the read ended since the
// connection was to be closed, and a request has come in that very moment.
func (c *connection) noteRead(count int, err error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count > 0 {
		c.noteBytes()
	}
	if err == nil || c.ended || c.cause != "" {
		return false
	}
	if c.closing && errors.Is(err, os.ErrDeadlineExceeded) && hasUnread(c.Conn) {
		c.stayOpen()
		return true
	}
	c.noteReadError(err)
	return false
}

// noteBytes takes notice of bytes of a request. The mutex is held.
func (c *connection) noteBytes() {
	c.readAt = time.Now()
	if c.state == Resting {
		c.state = Arriving
	}
	if c.closing {
		c.stayOpen()
	}
}

// stayOpen takes back that the connection is to be closed. The mutex is held.
func (c *connection) stayOpen() {
	c.closing = false
	_ = c.Conn.SetReadDeadline(time.Now().Add(arrivalTime)) // a connection that is gone shows at the read
}

// closeIfRested has the connection closed if it rests, and has done so for long enough. The
// server's own way, to close it from beside its reader, would throw away what has just come.
func (c *connection) closeIfRested(limit time.Duration, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != Resting || c.closing || now.Sub(c.restsSince) < limit {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(now) // its reader gets an error, and closes it
}

// noteReadError takes what a failed read says of why the connection ends. While a request is
// served the server ends its own reads by a deadline in the past, which says nothing. The
// mutex is held.
func (c *connection) noteReadError(err error) {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.cause = CallerLeft
	case c.state == Arriving:
		c.cause = TooSlow
	}
}

// begin notes that a request has been taken in and is being served.
func (c *connection) begin() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = Serving
}

// end notes that a request's handler has returned.
func (c *connection) end(whole bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !whole {
		if c.cause == "" && !c.ended {
			c.cause = BrokenOff
		}
		return
	}
	c.state = Resting
	c.restsSince = time.Now()
	c.served++
}

// Close implements net.Conn.
func (c *connection) Close() error {
	if end, unanswered := c.close(time.Now()); unanswered {
		c.tracker.options.Unanswered(end)
	}
	c.tracker.forget(c)
	return c.Conn.Close()
}

// close notes the end, and returns what to tell of it if a request had no whole answer.
func (c *connection) close(now time.Time) (End, bool) {
	stopping := c.tracker.isStopping()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended {
		return End{}, false
	}
	c.ended = true
	if c.state == Resting && stopping && hasUnread(c.Conn) {
		c.state = Unread
	}
	if c.cause == "" {
		c.cause = ProcessEnds
	}
	end := End{
		State:    c.state,
		Cause:    c.cause,
		Served:   c.served,
		Age:      now.Sub(c.openedAt),
		SinceIn:  now.Sub(c.readAt),
		Stopping: stopping,
	}
	return end, c.state != Resting
}
