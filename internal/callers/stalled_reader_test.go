package callers_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/callers"
)

// stallingListener accepts connections that stall.
type stallingListener struct {
	*net.TCPListener
	accepted chan *stallingConnection
}

// Accept implements net.Listener.
func (l *stallingListener) Accept() (net.Conn, error) {
	connection, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	stalling := &stallingConnection{TCPConn: connection, deadlines: make(chan time.Time, 100), stalled: make(chan struct{}, 1), resume: make(chan struct{})}
	l.accepted <- stalling
	return stalling, nil
}

// stallingConnection is read as by a process that gets no processor time after it has read once: the second read begins when
// resume is closed and the deadline has passed.
type stallingConnection struct {
	*net.TCPConn
	deadlines chan time.Time // those set
	stalled   chan struct{}  // one value once the second read has begun
	resume    chan struct{}
	reads     int
}

// SetReadDeadline implements net.Conn.
func (c *stallingConnection) SetReadDeadline(deadline time.Time) error {
	c.deadlines <- deadline
	return c.TCPConn.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (c *stallingConnection) Read(buffer []byte) (int, error) {
	c.reads++
	if c.reads == 2 {
		c.stalled <- struct{}{}
		<-c.resume
		c.awaitDeadline()
	}
	return c.TCPConn.Read(buffer)
}

// awaitDeadline waits until the deadline that was set last has passed.
func (c *stallingConnection) awaitDeadline() {
	var last time.Time
	for len(c.deadlines) > 0 {
		last = <-c.deadlines
	}
	<-time.After(time.Until(last) + time.Millisecond)
}

// serveStalling serves connections that stall. The header timeout is over when they resume.
func serveStalling(t *testing.T, reports chan<- callers.Unanswered) (address string, accepted <-chan *stallingConnection) {
	t.Helper()
	tracker := callers.NewTracker(callers.Options{
		Unanswered: func(report callers.Unanswered) { reports <- report },
		KeepAlive:  time.Second,
		Limits:     func() callers.Limits { return callers.Limits{HeaderTimeout: 50 * time.Millisecond} },
	})
	inner, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	listener := &stallingListener{TCPListener: inner, accepted: make(chan *stallingConnection, 1)}
	tracked, err := tracker.WrapListener(listener)
	if err != nil {
		t.Fatal(err)
	}
	startServer(t, tracker, tracked, hello)
	return inner.Addr().String(), listener.accepted
}

// sendDuringStall sends one part of a request before the server stalls and another one during the stall, and ends the stall.
func sendDuringStall(t *testing.T, address string, accepted <-chan *stallingConnection, before, during string) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if _, err := io.WriteString(client, before); err != nil {
		t.Fatal(err)
	}
	connection := <-accepted
	<-connection.stalled
	if _, err := io.WriteString(client, during); err != nil {
		t.Fatal(err)
	}
	close(connection.resume)
	return client
}

// TestHeaderThatArrivedDuringAStallIsServed sends the second half of a request's header in time to a process that gets no
// processor time until the header timeout is over. The request was closed as too slow, although its bytes were there.
func TestHeaderThatArrivedDuringAStallIsServed(t *testing.T) {
	reports := make(chan callers.Unanswered, 1)
	address, accepted := serveStalling(t, reports)
	begin, rest, _ := strings.Cut(request, "Host")
	client := sendDuringStall(t, address, accepted, begin, "Host"+rest)
	answer, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatalf("no answer: %v; reported: %+v", err, <-reports)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		t.Errorf("got %s", answer.Status)
	}
}

// TestIncompleteHeaderAfterAStallIsTooSlow sends a part of a header before the stall and another during it, and never the
// rest: the connection is closed.
func TestIncompleteHeaderAfterAStallIsTooSlow(t *testing.T) {
	reports := make(chan callers.Unanswered, 1)
	address, accepted := serveStalling(t, reports)
	sendDuringStall(t, address, accepted, "GET / HTTP/1.1\r\n", "Host: site")
	if report := <-reports; report.Cause != callers.HeaderTimedOut {
		t.Errorf("got %+v", report)
	}
}

// tricklingConnection gets one more byte whenever a read has failed since its deadline has passed.
type tricklingConnection struct {
	*net.TCPConn
	client net.Conn // the other end
}

// Read implements net.Conn.
func (c *tricklingConnection) Read(buffer []byte) (int, error) {
	count, err := c.TCPConn.Read(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_, _ = io.WriteString(c.client, "a") // fails once the connection is closed
	}
	return count, err
}

// tricklingListener accepts one such connection.
type tricklingListener struct {
	*net.TCPListener
	clients <-chan net.Conn
}

// Accept implements net.Listener.
func (l *tricklingListener) Accept() (net.Conn, error) {
	connection, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &tricklingConnection{TCPConn: connection, client: <-l.clients}, nil
}

// TestHeaderThatTricklesOnIsTooSlow guards against a caller that holds a connection without end by a header that it sends slowly: one more
// byte has always arrived when a deadline passes.
func TestHeaderThatTricklesOnIsTooSlow(t *testing.T) {
	const bound = 2 * time.Second // for a header timeout of 50 ms, and a slow machine
	reports := make(chan callers.Unanswered, 1)
	tracker := callers.NewTracker(callers.Options{
		Unanswered: func(report callers.Unanswered) { reports <- report },
		KeepAlive:  time.Second,
		Limits:     func() callers.Limits { return callers.Limits{HeaderTimeout: 50 * time.Millisecond} },
	})
	inner, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	clients := make(chan net.Conn, 1)
	tracked, err := tracker.WrapListener(&tricklingListener{TCPListener: inner, clients: clients})
	if err != nil {
		t.Fatal(err)
	}
	startServer(t, tracker, tracked, hello)
	client, err := net.Dial("tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	clients <- client
	if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nX: "); err != nil {
		t.Fatal(err)
	}
	select {
	case report := <-reports:
		if report.Cause != callers.HeaderTimedOut {
			t.Errorf("got %+v", report)
		}
	case <-time.After(bound):
		t.Errorf("the connection is still open after %s", bound)
	}
}
