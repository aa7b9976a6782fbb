package zonewatch

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// expectSuspicionAtOnce loses a zone, which must be suspected sooner than zones that fall silent together.
func (w *testWatch) expectSuspicionAtOnce(t *testing.T, zone string) {
	t.Helper()
	w.network.change(func() { w.network.unresponsive[zone] = true })
	lost := time.Now()
	for !w.ZoneSuspected(zone) && time.Since(lost) < 2*time.Second {
		w.sendRound()
	}
	if took := time.Since(lost); took >= maxSilence {
		t.Errorf("suspected after %s, want less than %s, which is for zones that fall silent together", took, maxSilence)
	}
}

// TestSilentProcessDelaysNoSuspicion loses a zone while the only process of another one has been silent for seconds. That one
// cannot be suspected, as a single peer is too little evidence, and says nothing about a zone that falls silent now: all other zones
// respond, so that no queue on a link to several is to be waited for.
func TestSilentProcessDelaysNoSuspicion(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newTestWatch(ctx)
		w.network.change(func() {
			w.network.zones["d-0"] = "d"
			w.network.unresponsive["d"] = true
		})
		w.watchPeers()
		w.sendRequests(4 * time.Second)
		w.expectSuspicionAtOnce(t, "b")
		cancel()
		time.Sleep(2 * time.Second) // virtual time, in which requests end
	})
}

// TestProcessThatFellSilentEarlierDelaysNoSuspicion loses a zone while the only process of another one, which had responded, has not
// for some seconds. No response is that late, so that no queue explains both.
func TestProcessThatFellSilentEarlierDelaysNoSuspicion(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newTestWatch(ctx)
		w.network.change(func() { w.network.zones["d-0"] = "d" })
		w.watchPeers()
		noDelay := func() time.Duration { return 0 }
		w.sendToAll([]string{"d"}, noDelay, time.Second)
		w.network.change(func() { w.network.unresponsive["d"] = true })
		w.sendToAll([]string{"d"}, noDelay, 3*time.Second)
		w.expectSuspicionAtOnce(t, "b")
		cancel()
		time.Sleep(2 * time.Second) // virtual time, in which requests end
	})
}

// TestQuietZonesBehindAQueueAreNotLost asks another region nothing for some seconds, and then puts a queue on the link to it. That its
// zones have not responded meanwhile does not distinguish the queue from a loss of one of them.
func TestQuietZonesBehindAQueueAreNotLost(t *testing.T) {
	const quiet = 4 * time.Second
	zones, late := []string{"a", "b", "c", "d", "e", "f"}, []string{"d", "e", "f"}
	queue := func(passed time.Duration) time.Duration {
		if passed < quiet {
			return 0
		}
		return 450 * time.Millisecond
	}
	for _, first := range late {
		t.Run(first, func(t *testing.T) {
			runQueuedLink(t, zones, late, queue, func(t *testing.T, w *testWatch) {
				noDelay := func() time.Duration { return 0 }
				w.sendToAll(late, noDelay, time.Second)
				w.sendRequests(quiet)
				w.sendToAll([]string{first}, noDelay, 2*time.Second)
				time.Sleep(time.Second) // virtual time, in which the last requests end
				for _, change := range w.recorded() {
					t.Errorf("%s %s after %s without a response", change.Kind, change.Zone, change.Duration)
				}
			})
		})
	}
}
