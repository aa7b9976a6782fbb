package upstream

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// endedConn is a connection without a descriptor whose peer has ended its direction. Its writes block until their result is sent.
type endedConn struct {
	net.Conn
	deadline time.Time
	results  chan error
}

func (c *endedConn) Read([]byte) (int, error) {
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return 0, io.EOF
}

func (c *endedConn) Write(content []byte) (int, error) { return len(content), <-c.results }

func (c *endedConn) SetReadDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

// TestEndOfAnswerWaitsForAWriteInProgress checks that the end of an answer is known to be proper only once the request has been written, and that
// it is not held back beyond the deadline of the read.
func TestEndOfAnswerWaitsForAWriteInProgress(t *testing.T) {
	const writeTime, deadline = 300 * time.Millisecond, time.Second
	for _, test := range []struct {
		name     string
		isStuck  bool
		result   error
		want     error
		wantTime time.Duration
	}{
		{name: "written", want: io.EOF, wantTime: writeTime},
		{name: "reset", result: syscall.ECONNRESET, want: syscall.ECONNRESET, wantTime: writeTime},
		{name: "not acknowledged", result: syscall.ETIMEDOUT, want: syscall.ETIMEDOUT, wantTime: writeTime},
		{name: "stuck", isStuck: true, want: io.EOF, wantTime: deadline},
	} {
		t.Run(test.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ended := &endedConn{results: make(chan error, 1)}
				conn := &endCheckedConn{Conn: ended}
				start := time.Now()
				_ = conn.SetReadDeadline(start.Add(deadline)) // endedConn returns no error
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = conn.Write([]byte("x")) // its result is the one of the test
				}()
				synctest.Wait()
				if !test.isStuck {
					time.AfterFunc(writeTime, func() { ended.results <- test.result })
				}
				if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				if took := time.Since(start).Round(10 * time.Millisecond); took != test.wantTime {
					t.Errorf("the end was known after %v, want %v", took, test.wantTime)
				}
				if test.isStuck {
					ended.results <- nil
				}
				<-written
			})
		})
	}
}
