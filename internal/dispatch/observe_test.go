package dispatch

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/membership"
	"github.com/pewtermill/pewtermill/internal/scheduler"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// loadTransport responds to load requests for every engine and counts them.
type loadTransport struct {
	requests atomic.Int64
	leaving  atomic.Bool
}

func (t *loadTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	body := `{"sequence":0}`
	if request.URL.Path == "/load" {
		t.requests.Add(1)
		body = fmt.Sprintf(`{"running":3,"max_running":8,"models":["small"],"leaving":%v}`, t.leaving.Load())
	}
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{"Content-Type": []string{"application/json"}},
		Body:       io.NopCloser(strings.NewReader(body)),
		Request:    request,
	}, nil
}

// testNode is a fleet that observes all engines or none.
type testNode struct {
	fleet         *Fleet
	transport     *loadTransport
	notifications atomic.Int64
}

func newTestNode(t *testing.T, observes bool) *testNode {
	t.Helper()
	source, err := os.ReadFile("../../examples/dev-bundle.yaml")
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := bundle.Decode(source)
	if err != nil {
		t.Fatal(err)
	}
	n := &testNode{transport: &loadTransport{}}
	n.fleet = newFleet(Options{
		Cell:        "dev",
		Logger:      slog.New(slog.DiscardHandler),
		Client:      &http.Client{Transport: n.transport},
		Observes:    func(string) bool { return observes },
		NotifyPeers: func() { n.notifications.Add(1) },
	})
	n.fleet.apply(&bundle.Snapshot{Bundle: decoded, Declared: decoded})
	return n
}

// heartbeat sends another node one round's digests.
func (n *testNode) heartbeat(to *testNode) {
	n.fleet.BeginRound(time.Now())
	heartbeat := &wirepb.Heartbeat{}
	n.fleet.FillHeartbeat(heartbeat, membership.Member{Name: "peer", Incarnation: 1, BundleVersion: 1})
	to.fleet.Receive(heartbeat, time.Now())
}

// views returns the views by engine name.
func (n *testNode) views() map[string]scheduler.EngineView {
	views := make(map[string]scheduler.EngineView)
	for _, view := range n.fleet.Views() {
		views[view.Name] = view
	}
	return views
}

// runInVirtualTime runs a test with an observer and another node in virtual time.
func runInVirtualTime(t *testing.T, run func(t *testing.T, observing, other *testNode)) {
	virtualtime.Test(t, func(t *testing.T) {
		observing, other := newTestNode(t, true), newTestNode(t, false)
		run(t, observing, other)
		observing.fleet.close()
		other.fleet.close()
		synctest.Wait()
	})
}

func TestOtherNodesGetReportsFromTheObserver(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, observing, other *testNode) {
		for range 60 {
			time.Sleep(time.Second)
			observing.heartbeat(other)
			other.fleet.UpdatePolling(time.Now())
			for name, view := range other.views() {
				age := time.Since(view.ObservedAt)
				if !view.Ready || view.Running != 3 || view.MaxRunning != 8 || len(view.Models) != 1 || age > 5*time.Second {
					t.Fatalf("view of %s is %+v, %v old", name, view, age)
				}
			}
		}
		if requests := other.transport.requests.Load(); requests != 0 {
			t.Errorf("the other node sent %d requests to engines, want none", requests)
		}
	})
}

func TestNodePollsWhenNoDigestsCome(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, observing, other *testNode) {
		time.Sleep(digestTimeout)
		other.fleet.UpdatePolling(time.Now())
		time.Sleep(fallbackInterval)
		for name, view := range other.views() {
			if !view.Ready {
				t.Errorf("%s is not polled after digests of the observer stopped", name)
			}
		}
		observing.heartbeat(other)
		other.fleet.UpdatePolling(time.Now())
		synctest.Wait()
		before := other.transport.requests.Load()
		time.Sleep(3 * fallbackInterval)
		if polled := other.transport.requests.Load() - before; polled != 0 {
			t.Errorf("polled %d times after digests arrived again, want 0", polled)
		}
	})
}

func TestLeavingIsReportedAtOnce(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, observing, other *testNode) {
		time.Sleep(time.Second)
		observing.heartbeat(other)
		observing.transport.leaving.Store(true)
		time.Sleep(500 * time.Millisecond)
		if observing.notifications.Load() == 0 {
			t.Error("no heartbeat was requested when engines started to leave")
		}
		observing.heartbeat(other)
		for name, view := range other.views() {
			if !view.Leaving {
				t.Errorf("%s is not reported as leaving", name)
			}
		}
	})
}

func TestRefusalIsReportedToTheObserver(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, observing, other *testNode) {
		time.Sleep(time.Second)
		observing.heartbeat(other)
		other.fleet.recordLeavingRefusal("engine-b")
		other.fleet.recordLeavingRefusal("engine-b")
		if notifications := other.notifications.Load(); notifications != 1 {
			t.Errorf("%d heartbeats requested, want 1", notifications)
		}
		other.heartbeat(observing)
		for name, view := range observing.views() {
			if view.Leaving != (name == "engine-b") {
				t.Errorf("%s: leaving is %v", name, view.Leaving)
			}
		}
		time.Sleep(leavingRetention)
		if observing.views()["engine-b"].Leaving {
			t.Error("a peer's report of a leaving engine does not expire")
		}
	})
}
