package serving_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// twoZones prepares a deployment with one engine of each service in zone-a and one in
// zone-b.
func twoZones(t *testing.T) *deployment {
	t.Helper()
	d := prepare(t)
	d.regions = map[string]string{"zone-a": "north", "zone-b": "north"}
	d.move("m2", "models", "zone-b")
	d.move("p2", "portal", "zone-b")
	d.store.Put("op", "", "config", standard())
	return d
}

// serveTwoZones starts a process with twoZones and waits until it is ready.
func serveTwoZones(t *testing.T) *deployment {
	t.Helper()
	d := twoZones(t)
	d.run("node-1", "")
	d.eventually("ready", d.process.Ready)
	return d
}

// evacuate orders the evacuation of a zone, and waits until the process has received the order.
func (d *deployment) evacuate(zone string) {
	d.t.Helper()
	d.store.Put("op", "", "evacuate/"+zone, map[string]any{"zone": zone})
	d.eventually("informed of the evacuation", func() bool { return d.logCount("evacuation ordered", zone) > 0 })
}

// liftEvacuation removes the order for a zone, and waits until the process has received that.
func (d *deployment) liftEvacuation(zone string) {
	d.t.Helper()
	d.store.Remove("op", "", "evacuate/"+zone)
	d.eventually("informed that the evacuation is lifted", func() bool { return d.logCount("evacuation taken back", zone) > 0 })
}

// logCount returns the number of log records with a message and a zone.
func (d *deployment) logCount(message, zone string) int {
	count := 0
	for line := range strings.Lines(d.log.String()) {
		if strings.Contains(line, `"msg":"`+message+`"`) && strings.Contains(line, `"zone":"`+zone+`"`) {
			count++
		}
	}
	return count
}

// sendAll sends requests of each kind, including turns of a conversation whose engine is m1, and
// returns how many were not served.
func (d *deployment) sendAll(names string) (refused int) {
	count := func(got answer) {
		if got.status != http.StatusOK || got.cut {
			refused++
		}
	}
	for i := range 8 {
		id := fmt.Sprintf("%s%d", names, i)
		count(d.turn("/kept/", id, id, "", "x"))
		count(d.turn("/resumed/", "line", id+"l", "", "x"))
		count(d.send(http.MethodGet, "/safe/x", "", "X-Request-Id", id+"s"))
		count(d.send(http.MethodPost, "/unsafe/x", "x", "X-Request-Id", id+"u"))
	}
	return refused
}

// startConversationAt makes the program "line" run its first turn at an engine.
func (d *deployment) startConversationAt(engine, other string) {
	d.t.Helper()
	d.engines[other].SetHandler(operators.Shed)
	if got := d.turn("/resumed/", "line", "first", "", "x"); got.status != http.StatusOK {
		d.t.Fatalf("got %+v", got)
	}
	d.engines[other].SetHandler(nil)
}

// inZoneA returns the number of requests that the engines of zone-a ran. The process prefers them, as
// it is in that zone.
func (d *deployment) inZoneA() int { return len(d.requestsAt("m1")) + len(d.requestsAt("p1")) }

// TestNothingIsSentToAnEvacuatedZone orders the evacuation of one zone while its engines serve, and
// lifts it.
func TestNothingIsSentToAnEvacuatedZone(t *testing.T) {
	d := serveTwoZones(t)
	d.startConversationAt("m1", "m2")
	d.evacuate("zone-a")
	before := d.inZoneA()
	if refused := d.sendAll("during"); refused > 0 {
		t.Errorf("%d requests were not served, though zone-b has engines", refused)
	}
	if sent := d.inZoneA() - before; sent > 0 {
		t.Errorf("%d requests reached engines of the evacuated zone", sent)
	}
	d.liftEvacuation("zone-a")
	if !strings.Contains(d.log.String(), `"requests_moved":1`) {
		t.Errorf("the conversation's one move is not logged; log:\n%s", d.log)
	}
	d.engines["m2"].SetHandler(operators.Shed)
	d.engines["p2"].SetHandler(operators.Shed)
	if refused := d.sendAll("after"); refused > 0 {
		t.Errorf("%d requests were not served by the zone whose evacuation was lifted", refused)
	}
}

// TestRequestsAreRefusedAtOnceWhileAllZonesAreEvacuated orders the evacuation of both zones.
func TestRequestsAreRefusedAtOnceWhileAllZonesAreEvacuated(t *testing.T) {
	d := serveTwoZones(t)
	d.evacuate("zone-a")
	d.evacuate("zone-b")
	writes := d.requestWrites()
	for _, got := range []answer{
		d.turn("/kept/", "p", "t", "", "x"), d.send(http.MethodGet, "/safe/x", "", "X-Request-Id", "s"),
		d.send(http.MethodPost, "/unsafe/x", "x", "X-Request-Id", "u"),
	} {
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "zones_evacuated") {
			t.Errorf("got %+v", got)
		}
	}
	if later := d.requestWrites(); later != writes {
		t.Errorf("%d writes were made for requests that no engine may get", later-writes)
	}
	d.liftEvacuation("zone-a")
	if refused := d.sendAll("after"); refused > 0 {
		t.Errorf("%d requests were not served after the evacuation of one zone was lifted", refused)
	}
}

// TestProcessRejectedByTheStoreReceivesEvacuations makes the store reject a process before the order is given.
func TestProcessRejectedByTheStoreReceivesEvacuations(t *testing.T) {
	d := twoZones(t)
	endpoint := d.store.NewEndpoint()
	t.Cleanup(endpoint.Server.Close)
	d.storeAddress = endpoint.Address()
	d.run("node-1", anyPort)
	other := d.runAnother("node-2", anyPort)
	d.eventually("ready, with the peers found", func() bool {
		return d.process.Ready() && other.process.Ready() && strings.Contains(d.log.String(), `"msg":"peers found","count":1`)
	})
	endpoint.SetFault(operators.Unavailable)
	d.evacuate("zone-a")
	before := d.inZoneA()
	if refused := d.sendAll("during"); refused > 0 {
		t.Errorf("%d requests were not served", refused)
	}
	if sent := d.inZoneA() - before; sent > 0 {
		t.Errorf("%d requests reached engines of the evacuated zone", sent)
	}
	d.liftEvacuation("zone-a")
}

// TestStartingProcessAppliesActiveEvacuations starts a process while an order is active.
func TestStartingProcessAppliesActiveEvacuations(t *testing.T) {
	d := twoZones(t)
	d.store.Put("op", "", "evacuate/zone-a", map[string]any{})
	d.run("node-1", "")
	d.eventually("ready", d.process.Ready)
	d.sendAll("started")
	if sent := d.inZoneA(); sent > 0 {
		t.Errorf("%d requests reached engines of the evacuated zone", sent)
	}
}

// TestOlderViewDoesNotUndoAnOrder passes the process a view of the engines that is older than
// the order, as the follower does if both collections change at once.
func TestOlderViewDoesNotUndoAnOrder(t *testing.T) {
	d := serveTwoZones(t)
	d.evacuate("zone-a")
	d.process.ViewChanged(discovery.Engines, &discovery.View{})
	before := d.inZoneA()
	if refused := d.sendAll("during"); refused > 0 {
		t.Errorf("%d requests were not served", refused)
	}
	if sent := d.inZoneA() - before; sent > 0 {
		t.Errorf("%d requests reached engines of the evacuated zone", sent)
	}
}

// TestOrderForAnUnknownZoneChangesNothing expects one log record, and requests to be served.
func TestOrderForAnUnknownZoneChangesNothing(t *testing.T) {
	d := serveTwoZones(t)
	d.store.Put("op", "", "evacuate/nowhere", map[string]any{})
	d.eventually("logged", func() bool { return d.logCount("evacuation of an unknown zone", "nowhere") > 0 })
	if refused := d.sendAll("during"); refused > 0 {
		t.Errorf("%d requests were not served", refused)
	}
	if lines := d.logCount("evacuation of an unknown zone", "nowhere"); lines != 1 {
		t.Errorf("%d log records about the order, want 1", lines)
	}
}

// TestRunInAnEvacuatedZoneEndsByItself holds turns at both engines without a response while the zone of one
// is evacuated. The turn there completes, and its engine is not probed any more.
func TestRunInAnEvacuatedZoneEndsByItself(t *testing.T) {
	d := serveTwoZones(t)
	release := make(chan struct{})
	var running atomic.Int64
	hold := func(id string) func(http.ResponseWriter, *http.Request) bool {
		return func(writer http.ResponseWriter, request *http.Request) bool {
			if request.Header.Get("X-Request-Id") != id {
				return operators.Shed(writer, request)
			}
			running.Add(1)
			<-release
			return false
		}
	}
	ended := make(chan answer, 2)
	for engine, id := range map[string]string{"m1": "at-m1", "m2": "at-m2"} {
		d.engines[engine].SetHandler(hold(id))
	}
	for _, id := range []string{"at-m1", "at-m2"} {
		go func() { ended <- d.turn("/kept/", id, id, "", "x") }()
	}
	waitForProbes := func(engine string, more int64) {
		before := d.engines[engine].Connections()
		d.eventually("probed", func() bool { return d.engines[engine].Connections() >= before+more })
	}
	d.eventually("both turns at their engines", func() bool { return running.Load() == 2 })
	d.evacuate("zone-b")
	waitForProbes("m1", 1) // a probe of m2 that was in flight has ended
	before := d.engines["m2"].Connections()
	waitForProbes("m1", 2)
	if after := d.engines["m2"].Connections(); after != before {
		t.Errorf("%d connections were opened to the engine of the evacuated zone", after-before)
	}
	close(release)
	for range 2 {
		if got := <-ended; got.status != http.StatusOK || got.cut || got.body != fourEvents {
			t.Errorf("got %+v", got)
		}
	}
}
