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

	mutex  sync.Mutex
	state  State
	served int
	readAt time.Time // when a byte was last read, or the connection was opened
	cause  Cause     // empty until something that ends it has shown
	ended  bool
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count > 0 {
		c.readAt = time.Now()
		if c.state == Resting {
			c.state = Arriving
		}
	}
	if err != nil && c.cause == "" && !c.ended {
		c.noteReadError(err)
	}
	return count, err
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
	c.served++
}

// Close implements net.Conn.
func (c *connection) Close() error {
	if end, unanswered := c.close(time.Now()); unanswered {
		c.tracker.unanswered(end)
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
