package callers_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/callers"
)

// hello answers.
func hello(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "hello") }

// TestDrainLeavesConnectionsThatMayBeUsed drains while a connection rests for which its caller
// was told that it may use it. It is answered there, and closed once it has rested for that time.
func TestDrainLeavesConnectionsThatMayBeUsed(t *testing.T) {
	s := serve(t, hello)
	connection := s.dial()
	s.send(connection, request)
	s.answer(connection)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.drain()
	}()
	s.refuses()
	s.send(connection, request)
	s.answer(connection)
	<-drained
	if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("the connection is still open: %v", err)
	}
}

// refuses waits until no connection is accepted any more.
func (s *served) refuses() {
	s.t.Helper()
	for deadline := time.Now().Add(wait); ; {
		connection, err := net.Dial("tcp4", s.address)
		if err != nil {
			return
		}
		connection.Close()
		if time.Now().After(deadline) {
			s.t.Fatal("connections are still accepted")
		}
	}
}

// TestDrainWaitsForAnswers drains while a request is being served.
func TestDrainWaitsForAnswers(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	s := serve(t, func(writer http.ResponseWriter, incoming *http.Request) {
		close(running)
		<-release
		hello(writer, incoming)
	})
	connection := s.dial()
	s.send(connection, request)
	<-running
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.tracker.Drain(ctx); !errors.Is(err, callers.ErrConnectionsLeft) {
		t.Fatalf("got %v while a request is being served", err)
	}
	close(release)
	s.answer(connection)
	s.drain()
}

// TestWaitingConnectionsAreServed has a connection and its request wait to be accepted when
// the listener is told to accept no more.
func TestWaitingConnectionsAreServed(t *testing.T) {
	tracker := callers.NewTracker(callers.Options{Unanswered: func(callers.End) {}, KeptFor: time.Second})
	below, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	followed, err := tracker.Listen(below)
	if err != nil {
		t.Fatal(err)
	}
	connection, err := net.Dial("tcp4", below.Addr().String()) // waits; nobody accepts yet
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	tracker.StopAccepting()
	accepted, err := followed.Accept()
	if err != nil {
		t.Fatalf("a connection that had come was not accepted: %v", err)
	}
	accepted.Close()
	if _, err := followed.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("got %v, want the end of the listener", err)
	}
}
