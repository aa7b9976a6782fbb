package zonewatch

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// queuedLink is a network on which what some zones and the store send waits in a queue whose length changes. A response
// waits for as long as the queue is when its request is sent.
type queuedLink struct {
	*network
	zones []string
	queue func() time.Duration
}

// Do implements client.
func (l queuedLink) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	zone, _, _ := strings.Cut(address, "-")
	if slices.Contains(l.zones, zone) {
		select {
		case <-time.After(l.queue()): // virtual
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return l.network.Do(ctx, address, request, onPart)
}

// runQueuedLink runs a test at a node of zone a, with requests of clients to all zones; late are the zones behind the
// link. The queue begins 1 s after the start of the requests.
func runQueuedLink(t *testing.T, zones, late []string, queue func(passed time.Duration) time.Duration, test func(t *testing.T, w *testWatch)) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newTestWatch(ctx)
		begin := time.Now().Add(time.Second)
		length := func() time.Duration {
			if passed := time.Since(begin); passed >= 0 {
				return queue(passed)
			}
			return 0
		}
		w.network.change(func() { w.network.zones = peersOf(5, zones...) })
		w.client = NewObservedClient(queuedLink{w.network, late, length}, w.Watch)
		w.watchPeers()
		test(t, w)
		cancel()
		time.Sleep(2 * time.Second) // virtual time, in which requests end
		synctest.Wait()
	})
}

// sendToAll sends requests to one peer of each zone every 50 ms. The store's answers wait in the same queue.
func (w *testWatch) sendToAll(zones []string, storeDelay func() time.Duration, duration time.Duration) {
	for range int(duration / requestPause) {
		w.network.change(func() { w.network.storeDelay = storeDelay() })
		for _, zone := range zones {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond) // as for limits and loads
				defer cancel()
				_, _ = w.client.Do(ctx, zone+"-0", &wirepb.Request{}, nil) // the client reports the result to the watch
			}()
		}
		w.sendRound()
	}
}

// TestQueueOnALinkIsNoLostRegion puts a queue between two regions after a calm second: one that is there at once, while
// responses are in flight, one that grows, and one that grows and empties again.
func TestQueueOnALinkIsNoLostRegion(t *testing.T) {
	zones, late := []string{"a", "b", "c", "d", "e", "f"}, []string{"d", "e", "f"}
	queues := map[string]func(time.Duration) time.Duration{
		"at once, .2 s":  func(time.Duration) time.Duration { return 200 * time.Millisecond },
		"at once, .45 s": func(time.Duration) time.Duration { return 450 * time.Millisecond },
		"grows to .45 s": func(passed time.Duration) time.Duration { return min(passed*8/10, 450*time.Millisecond) },
		"grows and empties": func(passed time.Duration) time.Duration {
			return max(0, min(passed/2, time.Second-passed/2, 450*time.Millisecond))
		},
	}
	for name, queue := range queues {
		t.Run(name, func(t *testing.T) {
			runQueuedLink(t, zones, late, queue, func(t *testing.T, w *testWatch) {
				begin := time.Now().Add(time.Second)
				w.sendToAll(late, func() time.Duration {
					if passed := time.Since(begin); passed > 0 {
						return queue(passed)
					}
					return 0
				}, 4*time.Second)
				time.Sleep(time.Second) // virtual time, in which the last requests end
				for _, change := range w.recorded() {
					t.Errorf("%s %s after %s without a response", change.Kind, change.Zone, change.Duration)
				}
			})
		})
	}
}

// TestLateZoneIsSuspectedOnceAtMost makes the responses of one zone late, while those of another are not. Nothing
// distinguishes it from a lost one at first; once a late response has arrived its response times do.
func TestLateZoneIsSuspectedOnceAtMost(t *testing.T) {
	for _, delay := range []time.Duration{150, 300, 450} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			zones := []string{"a", "b", "c"}
			runQueuedLink(t, zones, []string{"b"}, func(time.Duration) time.Duration { return delay }, func(t *testing.T, w *testWatch) {
				w.sendToAll([]string{"b"}, func() time.Duration { return 0 }, 6*time.Second)
				if kinds := w.kinds(); kinds[ZoneSuspected] > 1 || kinds[NodeIsolated] > 0 || w.ZoneSuspected("b") {
					t.Errorf("changes %+v", w.recorded())
				}
			})
		})
	}
}

// TestRegionThatIsLateAndThenLost loses the other region and the store after two seconds in which all that they send is
// late. This node must count as isolated within a second, although late responses still arrive after the loss.
func TestRegionThatIsLateAndThenLost(t *testing.T) {
	zones, late := []string{"a", "b", "c", "d", "e", "f"}, []string{"d", "e", "f"}
	for _, delay := range []time.Duration{0, 100, 300, 450} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			runQueuedLink(t, zones, late, func(time.Duration) time.Duration { return delay }, func(t *testing.T, w *testWatch) {
				store := func() time.Duration { return delay }
				w.sendToAll(late, store, 3*time.Second)
				w.network.change(func() {
					w.network.store = false
					w.network.unresponsive = map[string]bool{"d": true, "e": true, "f": true}
				})
				w.sendToAll(late, store, time.Second)
				if _, isolated := w.IsolatedSince(); !isolated || !w.ZoneSuspected("d") || !w.ZoneSuspected("e") || !w.ZoneSuspected("f") {
					t.Errorf("a second after the loss: %+v", w.recorded())
				}
				if w.ZoneSuspected("b") || w.ZoneSuspected("c") {
					t.Errorf("a zone that responds is suspected: %+v", w.recorded())
				}
			})
		})
	}
}

// TestNodeMayBeIsolatedBeforeItIs loses everything but the own zone: a caller that must not wait for late responses learns of it
// as soon as the zones have been silent for minSilence, and until they respond again.
func TestNodeMayBeIsolatedBeforeItIs(t *testing.T) {
	runWatch(t, func(t *testing.T, w *testWatch) {
		w.sendRequests(time.Second)
		if w.MayBeIsolated() {
			t.Error("a node to which all respond may be isolated")
		}
		w.network.change(func() {
			w.network.store = false
			w.network.unresponsive = map[string]bool{"b": true, "c": true}
		})
		lost := time.Now()
		for !w.MayBeIsolated() && time.Since(lost) < 2*time.Second {
			w.sendRound()
		}
		if took := time.Since(lost); took > maxSilence {
			t.Errorf("the node may be isolated only after %s", took)
		}
		if _, isolated := w.IsolatedSince(); isolated {
			t.Errorf("isolated at once: %+v", w.recorded())
		}
		w.sendRequests(time.Second)
		if _, isolated := w.IsolatedSince(); !isolated || !w.MayBeIsolated() {
			t.Errorf("not isolated: %+v", w.recorded())
		}
		w.network.change(func() {
			w.network.store = true
			w.network.unresponsive = map[string]bool{}
		})
		w.sendRequests(2 * time.Second)
		if _, isolated := w.IsolatedSince(); isolated || w.MayBeIsolated() {
			t.Errorf("two seconds after the recovery: %+v", w.recorded())
		}
	})
}
