package ledger_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
	"github.com/pewtermill/pewtermill/platform"
)

// clockedLedger returns a ledger whose time is start plus elapsed.
func clockedLedger(store *operators.Store, runID string, start time.Time, elapsed *atomic.Int64) *ledger.Ledger {
	return ledger.New(ledger.Options{Table: platform.NewStore(store.Address(), nil), RunID: runID,
		Now: func() time.Time { return start.Add(time.Duration(elapsed.Load())) }})
}

// TestTurnsOfAnotherProgramKeepTheirChain guards against removing the rows of a program while a turn of another program that
// continues from one of its turns is still to be kept: a turn is kept, with its chain, for its retention time.
func TestTurnsOfAnotherProgramKeepTheirChain(t *testing.T) {
	store := newStore(t)
	var elapsed atomic.Int64
	start := time.Now()
	writer, other, third := clockedLedger(store, "a", start, &elapsed), clockedLedger(store, "b", start, &elapsed), clockedLedger(store, "c", start, &elapsed)
	recordTurn(t, writer, "p", "t1", "")
	elapsed.Store(int64(50 * time.Second)) // t1 is kept for a minute
	recordTurn(t, other, "q", "u1", "t1")
	elapsed.Store(int64(100 * time.Second)) // and so is u1
	recordTurn(t, other, "q", "u2", "u1")
	elapsed.Store(int64(150 * time.Second)) // and u2, with u1 and t1
	writer.Sweep(within(t, 5*time.Second))
	run, problem := third.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: "q", Budget: 10_000, MaxTokens: turnTokens, Previous: "u2", Retention: time.Minute})
	if problem != nil {
		t.Fatalf("a turn that was answered 50 s ago: %v", problem)
	}
	run.Abandon()
}
