package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestConfirmationTellsOfFurtherEnds has the report of a third end not reach a peer in time, to which the client's next try comes. The
// peer knows two ends, so that it presumes and reports one itself before it sends the try to an engine. The confirmation tells it of the
// third end: four engines may not end. What the peer presumes itself does not count as settled, whoever has heard of it.
func TestConfirmationTellsOfFurtherEnds(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		first, second := f.nodes[address(0)], f.nodes[address(1)]
		key, start := KeyOf([]byte("x")), time.Now()
		for number := range MaxEngines - 1 {
			record(first.memory, key, End{Engine: fmt.Sprint("e", number), Try: "try-0", SentAt: start, EndedAt: start})
		}
		shareAndReport(t, first, key)
		f.set(1, unresponsive)
		third := End{Engine: "e2", Try: "try-0", SentAt: time.Now(), EndedAt: time.Now()}
		first.memory.BeginCheck(key, third.Engine, time.Now()).Presume(third)
		shareAndReport(t, first, key)
		f.set(1, healthy)

		startedAt := time.Now()
		if got := second.memory.SettledBefore(key, startedAt); got != MaxEngines-1 {
			t.Fatalf("the peer knows %d ends before it reports, want %d", got, MaxEngines-1)
		}
		own := second.memory.BeginCheck(key, "e3", startedAt)
		own.Presume(End{Engine: "e3", Try: "try-1", SentAt: startedAt, EndedAt: startedAt})
		shareAndReport(t, second, key)
		if got := second.memory.SettledBefore(key, startedAt); got != MaxEngines {
			t.Errorf("the peer knows %d ends of earlier sends once its report is confirmed, want %d", got, MaxEngines)
		}
		if got := second.memory.StandingOf(key, time.Now()); got.Settled != MaxEngines || got.Ended != MaxEngines+1 {
			t.Errorf("the peer counts %d ends and %d with its own presumption, want %d and %d", got.Settled, got.Ended, MaxEngines, MaxEngines+1)
		}
		own.Withdraw()
		if got := second.memory.StandingOf(key, time.Now()).Ended; got != MaxEngines {
			t.Errorf("%d engines count at the peer that withdrew its own presumption, want %d", got, MaxEngines)
		}
	})
}

// shareAndReport reports the ends that a node has recorded under a request.
func shareAndReport(t *testing.T, n *node, key Key) {
	t.Helper()
	if !n.memory.Share(key) {
		t.Fatal("there is nothing to report")
	}
	n.Report(t.Context())
}
