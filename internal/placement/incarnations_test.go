package placement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pewtermill/pewtermill/internal/coldstart"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/loads"
	"github.com/pewtermill/pewtermill/internal/outliers"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/scheduler"
	"github.com/pewtermill/pewtermill/internal/topology"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// Two incarnations of one engine at one address.
var (
	earlierEngine = engineStartedAt("again", 1_765_000_000_000)
	laterEngine   = engineStartedAt("again", 1_765_000_009_000)
)

func engineStartedAt(name string, startUnixMilli int64) routing.Engine {
	incarnation := routing.Incarnation{Name: name, StartUnixMilli: startUnixMilli}
	return routing.Engine{Incarnation: incarnation, ID: incarnation.ID(), Service: "s", Address: name, Zone: "zone-a", Slots: 2}
}

// newRestartPlacer returns a placer of a node that lists the earlier incarnation and another
// engine. With coldServices, cold engines have a capacity of four requests per second.
func newRestartPlacer(node string, services map[string]routing.Service) *Placer {
	p := New(Options{
		Node: node, Topology: topology.New("zone-a", nil), Recorder: explain.NewLog(node, 8),
		IdleConnections: func(routing.Engine) int { return 1 }, Cold: coldstart.Rules{Factor: 1.5},
	})
	p.SetNodes(node, nil)
	p.SetEngines(engineList(earlierEngine), services)
	return p
}

// engineList returns an engine list with an incarnation and another engine that keeps running.
func engineList(engine routing.Engine) map[string]routing.Engine {
	other := engineStartedAt("other", 1)
	return map[string]routing.Engine{engine.ID: engine, other.ID: other}
}

// placeAt places a request of a conversation whose previous turn ran at an engine.
func placeAt(t *testing.T, p *Placer, last string, parts ...PromptPart) Placement {
	t.Helper()
	request := Request{Service: "s", MaxTokens: 40, LastEngine: last, Parts: parts, Deadline: time.Now().Add(time.Minute)}
	for _, part := range parts {
		request.PromptTokens += part.Tokens
	}
	request.LastTokens = request.PromptTokens
	placed, problem := p.Place(context.Background(), request)
	if problem != nil {
		t.Fatal(problem)
	}
	return placed
}

// placeEarlier places requests until one goes to the earlier incarnation.
func placeEarlier(t *testing.T, p *Placer) Placement {
	t.Helper()
	for range 8 {
		if placed := placeAt(t, p, earlierEngine.ID); placed.Engine.ID == earlierEngine.ID {
			return placed
		}
	}
	t.Fatal("no request went to the earlier incarnation")
	return Placement{}
}

// TestLaterIncarnationInheritsNothing gives a placer state of each kind about an engine, restarts
// the engine under its name, and delivers the same information again, late.
func TestLaterIncarnationInheritsNothing(t *testing.T) {
	parts := []PromptPart{{ID: "shared", Tokens: 12_600}, {ID: "own", Tokens: 1_000}}
	blocks := blocksOf(parts)
	now := time.Now()
	for name, test := range map[string]struct {
		apply    func(p *Placer)
		hasState func(p *Placer, id string) bool // whether the placer holds that state of an engine

		byPlacing bool // apply places a request
	}{
		"prompts that it has read": {
			func(p *Placer) { placeAt(t, p, earlierEngine.ID, parts...) },
			func(p *Placer, id string) bool { return p.index.CachedBlocks(id, blocks) > 0 }, true,
		},
		"prompts that others report as cached": {
			func(p *Placer) {
				p.ReceiveLoads(loads.Aggregate{Others: loads.Counts{}, Prefixes: []loads.Prefix{{Engine: loads.KeyOf(earlierEngine.ID), Hash: blocks[0]}}})
			},
			func(p *Placer, id string) bool { return p.index.CachedBlocks(id, blocks) > 0 }, false,
		},
		"calls of others": {
			func(p *Placer) {
				p.ReceiveLoads(loads.Aggregate{Others: loads.Counts{loads.KeyOf(earlierEngine.ID): 7}, Nodes: 1})
			},
			func(p *Placer, id string) bool { return p.otherInFlight(id) > 0 }, false,
		},
		"failure reports of others": {
			func(p *Placer) {
				p.ReceiveLoads(loads.Aggregate{Others: loads.Counts{loads.FailureKey(earlierEngine.ID): 2}, Nodes: 2})
			},
			func(p *Placer, id string) bool { return p.failing.statuses[id].Excluded }, false,
		},
		"a failure": {
			func(p *Placer) {
				p.Done(Placement{Engine: earlierEngine, callID: "none", start: now}, Result{Outcome: Replaced})
			},
			func(p *Placer, id string) bool { return p.failing.statuses[id] != outliers.Status{} }, false,
		},
		"a probe": {
			func(p *Placer) {
				p.failing.detector.RecordFailure(earlierEngine.ID, outliers.ConnectionLost, now, 0)
				p.ProbeFinished(earlierEngine.ID, true)
			},
			func(p *Placer, id string) bool { return p.failing.statuses[id] != outliers.Status{} }, false,
		},
		"response latency": {
			func(p *Placer) {
				p.Answered(&Placement{Engine: engineStartedAt("other", 1), start: time.Now()})
				p.Answered(&Placement{Engine: earlierEngine, start: time.Now().Add(-5 * time.Second)})
			},
			func(p *Placer, id string) bool { return p.lags.cost(id, "s", time.Now()) > 0 }, false,
		},
		"calls in flight": {
			func(p *Placer) { placeEarlier(t, p) },
			func(p *Placer, id string) bool { return p.ownCalls[id] > 0 || p.InFlight()[loads.KeyOf(id)] > 0 }, true,
		},
	} {
		p := newRestartPlacer("node", nil)
		test.apply(p)
		if !test.hasState(p, earlierEngine.ID) {
			t.Errorf("%s: not recorded for the earlier incarnation", name)
		}
		p.SetEngines(engineList(laterEngine), nil)
		if test.hasState(p, laterEngine.ID) {
			t.Errorf("%s: the later incarnation has it", name)
		}
		if !test.byPlacing { // no request is placed at an incarnation that has ended
			test.apply(p)
		}
		if test.hasState(p, laterEngine.ID) {
			t.Errorf("%s: the later incarnation has it from late information", name)
		}
	}
}

// TestMaskedEngineKeepsItsPrompts masks an engine's entry by a foreign one for a moment. Its prompts must still be known
// once its own entry is back; if it had no entry for a moment, they must be dropped.
func TestMaskedEngineKeepsItsPrompts(t *testing.T) {
	parts := []PromptPart{{ID: "shared", Tokens: 12_600}, {ID: "own", Tokens: 1_000}}
	for _, masked := range []bool{true, false} {
		p := newRestartPlacer("node", nil)
		placeAt(t, p, earlierEngine.ID, parts...)
		other := engineStartedAt("other", 1)
		p.SetMasked(map[string]bool{earlierEngine.ID: masked})
		p.SetEngines(map[string]routing.Engine{other.ID: other}, nil)
		p.SetMasked(nil)
		p.SetEngines(engineList(earlierEngine), nil)
		if known := p.index.CachedBlocks(earlierEngine.ID, blocksOf(parts)) > 0; known != masked {
			t.Errorf("masked %t: prompts known %t", masked, known)
		}
	}
}

// TestEndAtTheEarlierIncarnationFreesNoSlotOfTheLater fills the later incarnation of an engine,
// and then ends a call at the earlier one.
func TestEndAtTheEarlierIncarnationFreesNoSlotOfTheLater(t *testing.T) {
	p := newRestartPlacer("node", nil)
	ran := placeEarlier(t, p)
	p.SetEngines(map[string]routing.Engine{laterEngine.ID: laterEngine}, nil)
	for range laterEngine.Slots {
		placeAt(t, p, "")
	}
	p.Done(ran, Result{Outcome: Unreachable})
	if reports := p.InFlight()[loads.FailureKey(earlierEngine.ID)]; reports != 0 {
		t.Error("an incarnation that has ended is reported to other nodes as failing")
	}
	if got := p.ownCalls[laterEngine.ID]; got != laterEngine.Slots {
		t.Errorf("%d calls count at the later incarnation, want %d", got, laterEngine.Slots)
	}
	if status := p.failing.statuses[laterEngine.ID]; status != (outliers.Status{}) {
		t.Errorf("a failure of the earlier incarnation changed the status of the later one: %+v", status)
	}
}

// TestConversationOfARestartedEngineIsPlacedOnce places a conversation whose previous turn names
// the earlier incarnation, as an owner with an older view reports it.
func TestConversationOfARestartedEngineIsPlacedOnce(t *testing.T) {
	p := newRestartPlacer("node", nil)
	parts := []PromptPart{{ID: "a", Tokens: 20_000}}
	placeEarlier(t, p)
	p.SetEngines(engineList(laterEngine), nil)
	placeAt(t, p, earlierEngine.ID, parts...)
	cached := 0
	for _, id := range []string{laterEngine.ID, engineStartedAt("other", 1).ID} {
		if p.index.CachedBlocks(id, blocksOf(parts)) > 0 {
			cached++
		}
	}
	if cached != 1 {
		t.Errorf("%d engines count as having the prompt, want only the one that it was just sent to", cached)
	}
}

// TestLaterIncarnationIsCold restarts an engine whose entry does not report the restart. Late
// responses of the earlier incarnation must not make the later one warm.
func TestLaterIncarnationIsCold(t *testing.T) {
	p := newRestartPlacer("node", coldServices())
	ran := placeEarlier(t, p)
	if p.cold.Cold(earlierEngine.ID) {
		t.Fatal("an engine of the first list is cold")
	}
	p.SetEngines(engineList(laterEngine), coldServices())
	p.Answered(&ran)
	p.Done(ran, Result{Outcome: Served, Tokens: 40})
	if !p.cold.Cold(laterEngine.ID) {
		t.Error("a restarted engine is not cold")
	}
}

// TestNodesThatListDifferentIncarnationsDoNotInterfere has two nodes report to each other, of
// which one lists only the later incarnation and the other only the earlier.
func TestNodesThatListDifferentIncarnationsDoNotInterfere(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		behind, current := newRestartPlacer("late", nil), newRestartPlacer("soon", nil)
		current.SetEngines(engineList(laterEngine), nil)
		ended, running := placeEarlier(t, behind), placeEarlier(t, behind)
		behind.Done(ended, Result{Outcome: Unreachable})
		for range 5 {
			exchangeFailureReports([]*Placer{behind, current})
			if got := current.otherInFlight(laterEngine.ID); got != 0 {
				t.Errorf("%d calls at the earlier incarnation count at the later one", got)
			}
			if status := current.failing.statuses[laterEngine.ID]; status != (outliers.Status{}) {
				t.Errorf("a failure report about the earlier incarnation changed the status of the later one: %+v", status)
			}
			time.Sleep(100 * time.Millisecond) // virtual
		}
		if running.Engine.ID != earlierEngine.ID || current.fleet.otherCounts[loads.KeyOf(earlierEngine.ID)] != 1 {
			t.Error("the call at the earlier incarnation was not reported")
		}
	})
}

// TestRequestWhoseEngineRestartsIsPlacedAgain restarts the engine just assigned to a request,
// before the request has received its assignment.
func TestRequestWhoseEngineRestartsIsPlacedAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newRestartPlacer("node", nil)
		p.SetEngines(map[string]routing.Engine{earlierEngine.ID: earlierEngine}, nil)
		taken := []Placement{placeAt(t, p, ""), placeAt(t, p, "")}
		placements := make(chan Placement, 1)
		go func() { placements <- placeAt(t, p, "") }()
		synctest.Wait() // until it waits for a slot
		p.mutex.Lock()
		p.core.Finish(taken[0].callID, scheduler.Result{Engine: earlierEngine.ID, Succeeded: true}, time.Now())
		p.advance(time.Now()) // assigns it the slot
		p.engines = map[string]routing.Engine{laterEngine.ID: laterEngine}
		p.refresh(time.Now())
		p.mutex.Unlock()
		if placed := <-placements; placed.Engine.ID != laterEngine.ID || placed.Engine.Address == "" {
			t.Errorf("placed at %+v, want the later incarnation", placed.Engine)
		}
		if p.ownCalls[earlierEngine.ID] != len(taken) {
			t.Errorf("%d calls count at the earlier incarnation, want the %d that were sent there", p.ownCalls[earlierEngine.ID], len(taken))
		}
	})
}
