package carry_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// drainWhileCarrying has the carrier end its peer protocol as in a planned stop, with a request under way, and
// returns once the sender has been told that the carrier leaves. proceed lets the engine finish.
func drainWhileCarrying(t *testing.T) (f *fixture, carrier string, response *http.Response, finish func()) {
	t.Helper()
	proceed := make(chan struct{})
	f = prepare(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "first ")
		_ = http.NewResponseController(writer).Flush()
		<-proceed
		_, _ = io.WriteString(writer, "last")
	})
	carrier = f.wire.Address()
	response, err := f.client.Send(context.Background(), carrier, f.request("x"))
	if err != nil {
		t.Fatal(err)
	}
	drained := make(chan error, 1)
	go func() { drained <- f.wire.Drain(context.Background()) }()
	question := &wirepb.Request{From: "sender", Body: &wirepb.Request_AskAlive{AskAlive: &wirepb.AskAlive{}}}
	f.eventually("told that the carrier leaves", func() bool {
		_, err := f.asker.Do(context.Background(), carrier, question, nil)
		return errors.Is(err, wire.ErrNotSent)
	})
	return f, carrier, response, func() {
		close(proceed)
		if err := <-drained; err != nil {
			t.Error(err)
		}
	}
}

// TestACarrierThatLeavesStillRuns asks a carrier, in the last moments of its planned stop, whether it still runs.
//
// What callers saw: a stream whose events had all come was cut, or ended with an unknown outcome, as the peer that
// carried it stopped as planned. While an engine is silent, its node asks the carrier every half second whether it
// runs. A carrier that drains refuses all questions, and a new connection to it is refused too; either was taken for
// a carrier that had died, although the answer was on its way on the connection that was still open. The log line of
// the request said so: "carrier_lost" after 3506 ms, "the peer that carried the request fell silent", when the
// carrier's stop was at 3.5 s.
func TestACarrierThatLeavesStillRuns(t *testing.T) {
	f, carrier, response, finish := drainWhileCarrying(t)
	heldLost := 0
	for range 20 { // refused at a new connection, and while none is tried
		if !f.client.Alive(context.Background(), carrier) {
			heldLost++
		}
	}
	if heldLost > 0 {
		t.Errorf("a carrier that answers what it has begun is held to be lost %d times", heldLost)
	}
	finish()
	if got, err := readAll(response); err != nil || got != "first last" {
		t.Errorf("got %q, %v", got, err)
	}
	if lost := f.lost.Load(); lost != 0 {
		t.Errorf("%d losses were told of a carrier that left as planned", lost)
	}
	f.eventually("held to be lost once it has ended", func() bool { return !f.client.Alive(context.Background(), carrier) })
}

// TestACarrierThatLeavesHasDeclined sends a carrier that is leaving one more request: that is sent by another way,
// and no loss is told.
func TestACarrierThatLeavesHasDeclined(t *testing.T) {
	f, carrier, response, finish := drainWhileCarrying(t)
	if _, err := f.client.Send(context.Background(), carrier, f.request("y")); !errors.Is(err, carry.ErrNotRun) {
		t.Errorf("a request to a carrier that is leaving: %v", err)
	}
	finish()
	if got, err := readAll(response); err != nil || got != "first last" {
		t.Errorf("got %q, %v", got, err)
	}
	if lost := f.lost.Load(); lost != 0 {
		t.Errorf("%d losses were told of a carrier that left as planned", lost)
	}
}
