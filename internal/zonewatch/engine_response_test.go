package zonewatch

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestEngineThatTakesConnectionsDoesNotHideALostZone makes all peers of a zone silent. Just before the zone is suspected an engine of it
// takes a connection, and nobody sends requests to its peers any more, as their senders skip owners that are lost. The zone is suspected
// all the same, as none of its peers responds. Once they respond, the zone counts as well, and they are not probed any longer.
func TestEngineThatTakesConnectionsDoesNotHideALostZone(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newTestWatch(ctx)
		w.sendRequests(time.Second)
		w.network.change(func() { w.network.unresponsive["b"] = true })
		w.sendRequests(100 * time.Millisecond)
		if w.ZoneSuspected("b") {
			t.Fatal("the zone is suspected before its engine takes a connection")
		}
		w.EngineResponded("engine", "b")
		time.Sleep(time.Second) // virtual
		if !w.ZoneSuspected("b") {
			t.Errorf("not suspected %s after a response of an engine, while all peers are silent; changes: %v", time.Second, w.recorded())
		}
		w.network.change(func() { w.network.unresponsive["b"] = false })
		time.Sleep(3 * time.Second) // virtual
		before := w.network.sent()
		time.Sleep(3 * time.Second) // virtual
		if probes := w.network.sent() - before; w.ZoneSuspected("b") || probes != 0 {
			t.Errorf("suspected: %t, with %d probes in the last 3 s, though all respond", w.ZoneSuspected("b"), probes)
		}
	})
}
