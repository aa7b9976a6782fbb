package ingress

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
)

// TestOnlyEnginesOfConfiguredServicesAreReferences checks that an entry of a service that the
// configuration does not name is no reference engine, although its address accepts connections: it
// gives no evidence of whether this node is isolated.
func TestOnlyEnginesOfConfiguredServicesAreReferences(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	pool := upstream.NewPool(upstream.Options{DialTimeout: time.Second, AckTimeout: time.Second})
	defer pool.Close()
	view := &discovery.View{
		Table: routing.NewTable(&routing.Configuration{Version: 1, Services: map[string]routing.Service{"s": {Name: "s"}}}),
		Engines: map[string]routing.Engine{
			"silent": {ID: "silent", Service: "s", Address: "127.0.0.1:9"},
			"other":  {ID: "other", Service: "unknown", Address: listener.Addr().String()},
		},
	}
	prober := newProber(pool, func() *discovery.View { return view }, "")
	if prober.reachesAnother(t.Context(), view.Engines["silent"]) {
		t.Error("an entry of an unknown service is used as a reference engine")
	}
	other := view.Engines["other"]
	other.Service = "s"
	view.Engines["other"] = other
	if !prober.reachesAnother(t.Context(), view.Engines["silent"]) {
		t.Error("an engine that accepts connections is not used as a reference engine")
	}
}

// TestReferencesThatDidNotRespondAreAskedLast guards against taking an engine that fell silent for one at work since the three
// others that are asked have fallen silent as well. Each of thirty others is asked within ten examinations; one responds.
func TestReferencesThatDidNotRespondAreAskedLast(t *testing.T) {
	const plays, others = 20, 30
	for play := range plays {
		prober, silent := newProberBeside(t, others)
		examinations := 1
		for ; examinations <= others && !prober.reachesAnother(t.Context(), silent); examinations++ {
		}
		if want := others/(maxReferences+maxFurtherReferences) + 1; examinations > want {
			t.Errorf("play %d: reached another engine in examination %d, want %d at most", play, examinations, want)
		}
	}
}

// TestSilentEngineIsFoundAtOnceWhereMostOthersAreLost guards against a request that waits for a silent engine until its deadline, since
// none of the first engines that are asked responds: one of twelve others does, and the first examination shows it.
func TestSilentEngineIsFoundAtOnceWhereMostOthersAreLost(t *testing.T) {
	const plays, others = 20, 12
	for play := range plays {
		prober, silent := newProberBeside(t, others)
		if !prober.reachesAnother(t.Context(), silent) {
			t.Errorf("play %d: the engine that responds was not asked", play)
		}
	}
}

// newProberBeside returns a prober, an engine that is silent, and in the view of the prober a number of others, of which one
// accepts connections.
func newProberBeside(t *testing.T, others int) (*prober, routing.Engine) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	pool := upstream.NewPool(upstream.Options{DialTimeout: time.Second, AckTimeout: time.Second})
	t.Cleanup(pool.Close)
	view := &discovery.View{
		Table:   routing.NewTable(&routing.Configuration{Version: 1, Services: map[string]routing.Service{"s": {Name: "s"}}}),
		Engines: map[string]routing.Engine{"silent": {ID: "silent", Service: "s", Address: "127.0.0.1:9"}},
	}
	for number := range others {
		id := strconv.Itoa(number)
		view.Engines[id] = routing.Engine{ID: id, Service: "s", Address: "127.0.0.1:" + strconv.Itoa(10+number)}
	}
	view.Engines["0"] = routing.Engine{ID: "0", Service: "s", Address: listener.Addr().String()}
	return newProber(pool, func() *discovery.View { return view }, ""), view.Engines["silent"]
}

// TestANodeCutOffWithItsZoneHoldsNoEngineForGone has an engine of another zone stop responding while
// this node reaches its own zone only, a third one as well, and where there is no third one.
//
// It guards against running a stream on two engines on a route that allows one. A node that is
// isolated together with its zone still reaches the engines of that zone. If one of those is accepted
// as proof that the node is not isolated, an engine elsewhere that is at work is taken for
// unresponsive, and the stream continues at another one. For 0.3 s and longer the nodes had not yet
// detected their isolation: their request records show "dark" for the attempt, and their logs
// "zone suspected" of three zones and "node cut off" at that moment.
func TestANodeCutOffWithItsZoneHoldsNoEngineForGone(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	pool := upstream.NewPool(upstream.Options{DialTimeout: time.Second, AckTimeout: time.Second})
	defer pool.Close()
	answers, refuses := listener.Addr().String(), "127.0.0.1:9"
	engine := func(id, zone, address string) routing.Engine {
		return routing.Engine{ID: id, Service: "s", Zone: zone, Address: address}
	}
	for name, test := range map[string]struct {
		unresponsive routing.Engine
		others       []routing.Engine
		want         bool
	}{
		"own zone only":         {engine("x", "b", refuses), []routing.Engine{engine("near", "a", answers), engine("far", "c", "127.0.0.1:10")}, false},
		"a third zone":          {engine("x", "b", refuses), []routing.Engine{engine("near", "a", "127.0.0.1:10"), engine("far", "c", answers)}, true},
		"no third zone":         {engine("x", "b", refuses), []routing.Engine{engine("near", "a", answers)}, true},
		"an engine of its zone": {engine("x", "a", refuses), []routing.Engine{engine("near", "a", answers), engine("far", "c", "127.0.0.1:10")}, true},
	} {
		view := &discovery.View{
			Table:   routing.NewTable(&routing.Configuration{Version: 1, Services: map[string]routing.Service{"s": {Name: "s"}}}),
			Engines: map[string]routing.Engine{test.unresponsive.ID: test.unresponsive},
		}
		for _, other := range test.others {
			view.Engines[other.ID] = other
		}
		prober := newProber(pool, func() *discovery.View { return view }, "a")
		if got := prober.reachesAnother(t.Context(), test.unresponsive); got != test.want {
			t.Errorf("%s: another engine is reached: %t, want %t", name, got, test.want)
		}
	}
}
