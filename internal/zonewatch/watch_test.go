package zonewatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// network responds in place of peers, in virtual time.
type network struct {
	mutex        sync.Mutex
	unresponsive map[string]bool // by zone
	refusing     map[string]bool // by zone
	zones        map[string]string
	store        bool // the store answers
	requests     int

	storeDelay time.Duration // until the store answers
}

// Do implements client.
func (n *network) Do(ctx context.Context, address string, _ *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	n.mutex.Lock()
	n.requests++
	zone := n.zones[address]
	unresponsive, refusing := n.unresponsive[zone], n.refusing[zone]
	n.mutex.Unlock()
	time.Sleep(time.Millisecond)
	switch {
	case refusing:
		return nil, syscall.ECONNREFUSED
	case unresponsive:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if onPart != nil {
		onPart(0, nil)
	}
	return &wirepb.Reply{}, nil
}

// Send implements client.
func (n *network) Send(context.Context, string, *wirepb.Request) error { return nil }

// probeStore is Options.ProbeStore.
func (n *network) probeStore(ctx context.Context) error {
	n.mutex.Lock()
	answers, delay := n.store, n.storeDelay
	n.mutex.Unlock()
	if !answers || delay > 0 {
		select {
		case <-time.After(delay): // virtual
		case <-ctx.Done():
		}
	}
	if !answers {
		<-ctx.Done()
	}
	return ctx.Err()
}

// sent returns how many requests were sent to peers.
func (n *network) sent() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.requests
}

func (n *network) change(modify func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	modify()
}

// testWatch is a watch over a network, with its changes.
type testWatch struct {
	*Watch
	network *network
	client  *ObservedClient
	round   int // of requests by sendRequests
	mutex   sync.Mutex
	changes []Change
}

// newTestWatch returns a watch at a node of zone a.
func newTestWatch(ctx context.Context) *testWatch {
	w := &testWatch{network: &network{unresponsive: make(map[string]bool), refusing: make(map[string]bool), zones: peersOf(5, "a", "b", "c"), store: true}}
	w.Watch = New(Options{Zone: "a", ProbeStore: w.network.probeStore, Changed: func(change Change) {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.changes = append(w.changes, change)
	}})
	w.client = NewObservedClient(w.network, w.Watch)
	w.watchPeers()
	go w.Run(ctx)
	return w
}

// watchPeers has the watch send its own requests to the peers that the network has.
func (w *testWatch) watchPeers() {
	w.SetPeers(w.network.zones, func(ctx context.Context, address string) error {
		_, err := w.client.Do(ctx, address, &wirepb.Request{}, nil)
		return err
	})
}

// sendRequests sends a request to a peer of each zone every 50 ms, as clients' requests do: with 80 ms for a first response.
func (w *testWatch) sendRequests(duration time.Duration) {
	for range int(duration / requestPause) {
		w.sendRound()
	}
	time.Sleep(100 * time.Millisecond)
}

// requestPause is the time between two rounds of sendRequests.
const requestPause = 50 * time.Millisecond

// sendRound sends one round of sendRequests.
func (w *testWatch) sendRound() {
	for _, zone := range []string{"a", "b", "c"} {
		address := fmt.Sprintf("%s-%d", zone, w.round%5)
		if w.PeerSuspected(address) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 80*time.Millisecond)
			defer cancel()
			_, _ = w.client.Do(ctx, address, &wirepb.Request{}, nil) // the client reports the result to the watch
		}()
	}
	w.round++
	time.Sleep(requestPause) // virtual
}

// recorded returns the changes so far.
func (w *testWatch) recorded() []Change {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.changes)
}

// kinds returns how often each kind of change came.
func (w *testWatch) kinds() map[Kind]int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	kinds := make(map[Kind]int)
	for _, change := range w.changes {
		kinds[change.Kind]++
	}
	return kinds
}

// runWatch runs a test in virtual time.
func runWatch(t *testing.T, test func(t *testing.T, w *testWatch)) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		test(t, newTestWatch(ctx))
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// TestWatchOfALostZone loses a zone and restores it.
func TestWatchOfALostZone(t *testing.T) {
	runWatch(t, func(t *testing.T, w *testWatch) {
		w.sendRequests(time.Second)
		w.network.change(func() { w.network.unresponsive["b"] = true })
		w.sendRequests(time.Second)
		if !w.ZoneSuspected("b") || !w.PeerSuspected("b-0") || !w.PeerSuspected("b-4") || w.PeerSuspected("c-0") {
			t.Errorf("a second after the loss: %+v", w.recorded())
		}
		if _, isolated := w.IsolatedSince(); isolated {
			t.Error("the node considers itself isolated")
		}
		w.network.change(func() { w.network.unresponsive["b"] = false })
		w.sendRequests(2 * time.Second)
		if w.ZoneSuspected("b") || w.PeerSuspected("b-0") || w.anySuspected.Load() {
			t.Errorf("two seconds after the recovery: %+v", w.recorded())
		}
		if kinds := w.kinds(); kinds[ZoneSuspected] != 1 || kinds[ZoneRecovered] != 1 || len(kinds) != 2 {
			t.Errorf("changes %v", kinds)
		}
	})
}

// TestWatchOfAZoneThatRefusesConnections makes a zone's machines refuse connections: they are up.
func TestWatchOfAZoneThatRefusesConnections(t *testing.T) {
	runWatch(t, func(t *testing.T, w *testWatch) {
		w.network.change(func() { w.network.refusing["b"] = true })
		w.sendRequests(3 * time.Second)
		if kinds := w.kinds(); len(kinds) > 0 {
			t.Errorf("changes %v", kinds)
		}
		w.network.change(func() { w.network.unresponsive["c"] = true })
		w.sendRequests(time.Second)
		if !w.ZoneSuspected("c") {
			t.Fatalf("zone c is not suspected: %+v", w.recorded())
		}
		w.network.change(func() { w.network.refusing["c"] = true })
		w.sendRequests(time.Second)
		if w.ZoneSuspected("c") {
			t.Error("machines that refuse connections count as lost")
		}
	})
}

// TestWatchOfAnIsolatedNode makes everybody unresponsive, and then responsive again.
func TestWatchOfAnIsolatedNode(t *testing.T) {
	runWatch(t, func(t *testing.T, w *testWatch) {
		w.network.change(func() {
			w.network.store = false
			w.network.unresponsive = map[string]bool{"a": true, "b": true, "c": true}
		})
		w.sendRequests(time.Second)
		if _, isolated := w.IsolatedSince(); !isolated {
			t.Errorf("not isolated after a second: %+v", w.recorded())
		}
		w.sendRequests(8 * time.Second)
		if kinds := w.kinds(); kinds[NodeIsolated] != 1 || kinds[NodeRejoined] > 0 {
			t.Errorf("changes %v", kinds)
		}
		w.network.change(func() {
			w.network.store = true
			w.network.unresponsive = map[string]bool{}
		})
		w.sendRequests(2 * time.Second)
		if _, isolated := w.IsolatedSince(); isolated || w.anySuspected.Load() {
			t.Errorf("two seconds after the recovery: %+v", w.recorded())
		}
	})
}

// TestWatchProbesNobodyWhileAllRespond counts requests.
func TestWatchProbesNobodyWhileAllRespond(t *testing.T) {
	runWatch(t, func(t *testing.T, w *testWatch) {
		w.sendRequests(2 * time.Second)
		w.network.change(func() {
			if w.network.requests != 120 {
				t.Errorf("%d requests, want the 120 of clients", w.network.requests)
			}
		})
	})
}

// TestReportsOfOthersStartProbes reports that others suspect zones to which this node sends no requests.
func TestReportsOfOthersStartProbes(t *testing.T) {
	runWatch(t, func(t *testing.T, w *testWatch) {
		w.network.change(func() { w.network.unresponsive["c"] = true })
		w.ProbeZone("c")
		w.ProbeZone("b")
		time.Sleep(600 * time.Millisecond)
		if !w.ZoneSuspected("c") || w.ZoneSuspected("b") {
			t.Errorf("changes %+v", w.recorded())
		}
	})
}

// TestNodeWithASlowStoreContinuesAlone loses both other zones while the store is slow. The node must
// continue in its own zone, and be isolated no longer than until the store has answered.
func TestNodeWithASlowStoreContinuesAlone(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, 160 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
		runWatch(t, func(t *testing.T, w *testWatch) {
			w.network.change(func() {
				w.network.storeDelay = delay
				w.network.unresponsive = map[string]bool{"b": true, "c": true}
			})
			isolatedFor := time.Duration(0)
			for range 300 {
				w.sendRound()
				if _, isolated := w.IsolatedSince(); isolated {
					isolatedFor += requestPause
				}
			}
			if !w.ZoneSuspected("b") || !w.ZoneSuspected("c") {
				t.Errorf("store delay %v: %+v", delay, w.recorded())
			}
			if isolatedFor > delay {
				t.Errorf("store delay %v: isolated for %v of 15 s", delay, isolatedFor)
			}
		})
	}
}
