package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
	"github.com/pewtermill/pewtermill/platform"
)

const turnTokens = 100

// newStore returns a store that is closed when the test ends.
func newStore(t *testing.T) *operators.Store {
	t.Helper()
	store := operators.NewStore()
	t.Cleanup(store.Server.Close)
	return store
}

// newLedger returns the ledger of a new run of a node.
func newLedger(store *operators.Store, runID string) *ledger.Ledger {
	return ledger.New(ledger.Options{Table: platform.NewStore(store.Address(), nil), RunID: runID})
}

func within(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

// recordTurn runs one recorded turn and fails the test unless it is durable.
func recordTurn(t *testing.T, l *ledger.Ledger, program, id, previous string) *ledger.RunningTurn {
	t.Helper()
	run, problem := l.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: program, Budget: 10_000, MaxTokens: turnTokens, Previous: previous})
	if problem != nil {
		t.Fatalf("turn %s: %v", id, problem)
	}
	turn := &ledger.Turn{ID: id, Parent: previous, Input: []byte("in " + id + ";"), Output: []byte("out " + id + "\n")}
	if err := run.Settle(within(t, 5*time.Second), 40, turn); err != nil {
		t.Fatalf("turn %s: %v", id, err)
	}
	return run
}

// TestTurnContinuesAtAnotherNode checks that a conversation's history is the same at a
// node that has not served the program before.
func TestTurnContinuesAtAnotherNode(t *testing.T) {
	store := newStore(t)
	first, second := newLedger(store, "a"), newLedger(store, "b")
	recordTurn(t, first, "p", "t1", "")
	recordTurn(t, first, "p", "t2", "t1")
	run := recordTurn(t, second, "p", "t3", "t2")
	if got, want := string(run.History), "in t1;out t1\nin t2;out t2\n"; got != want {
		t.Fatalf("history is %q, want %q", got, want)
	}
	branch := recordTurn(t, first, "p", "t4", "t1")
	if got, want := string(branch.History), "in t1;out t1\n"; got != want {
		t.Fatalf("history of the branch is %q, want %q", got, want)
	}
}

// TestAnotherProgramContinuesATurn checks that a turn of another program is found by its id alone.
func TestAnotherProgramContinuesATurn(t *testing.T) {
	store := newStore(t)
	recordTurn(t, newLedger(store, "a"), "p", "t1", "")
	run := recordTurn(t, newLedger(store, "b"), "another", "t2", "t1")
	if got, want := string(run.History), "in t1;out t1\n"; got != want {
		t.Fatalf("history is %q, want %q", got, want)
	}
}

// TestLargeTurnIsKeptWhole checks that a turn may be larger than a row.
func TestLargeTurnIsKeptWhole(t *testing.T) {
	store := newStore(t)
	input := strings.Repeat("0123456789abcdef", 15_000)
	l := newLedger(store, "a")
	run, problem := l.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: "p", Budget: 1000, MaxTokens: turnTokens})
	if problem != nil {
		t.Fatal(problem)
	}
	if err := run.Settle(within(t, 5*time.Second), 1, &ledger.Turn{ID: "t1", Input: []byte(input)}); err != nil {
		t.Fatal(err)
	}
	if got := string(recordTurn(t, newLedger(store, "b"), "p", "t2", "t1").History); got != input {
		t.Fatalf("history has %d bytes, want %d", len(got), len(input))
	}
}

// TestUnknownTurnIsNotFoundOnlyIfCertain checks that a missing turn is reported as not found if every part of the
// table answers, and as store_down if one part does not.
func TestUnknownTurnIsNotFoundOnlyIfCertain(t *testing.T) {
	store := newStore(t)
	l := newLedger(store, "a")
	request := ledger.TurnRequest{Program: "p", Budget: 1000, MaxTokens: turnTokens, Previous: "never"}
	_, problem := l.Begin(within(t, 5*time.Second), request)
	if problem == nil || problem.Code != api.CallNotFound {
		t.Fatalf("got %v, want call_not_found", problem)
	}
	store.SetFault(func(path, part string) operators.Fault {
		if part == "3" {
			return operators.Unavailable
		}
		return operators.Healthy
	})
	_, problem = l.Begin(within(t, 5*time.Second), request)
	if problem == nil || problem.Code != api.StoreDown || problem.Execution != api.NotRun || problem.RetryAfter == 0 {
		t.Fatalf("got %v, want store_down, not run, with a retry time", problem)
	}
}

// TestSpentBudgetCostsNoCalls requests turns of a program whose budget is used up, over a
// time in which other nodes might have returned allowances.
func TestSpentBudgetCostsNoCalls(t *testing.T) {
	store := newStore(t)
	now := time.Now()
	l := ledger.New(ledger.Options{Table: platform.NewStore(store.Address(), nil), RunID: "a", Now: func() time.Time { return now }})
	request := ledger.TurnRequest{Program: "p", Budget: 2 * turnTokens, MaxTokens: turnTokens}
	for {
		run, problem := l.Begin(within(t, 5*time.Second), request)
		if problem != nil {
			break
		}
		if err := run.Settle(within(t, 5*time.Second), turnTokens, nil); err != nil {
			t.Fatal(err)
		}
	}
	before := store.TotalCalls()
	for range 5 {
		now = now.Add(time.Minute)
		if _, problem := l.Begin(within(t, 5*time.Second), request); problem == nil || problem.Code != api.BudgetExhausted {
			t.Fatalf("got %v, want budget_exhausted", problem)
		}
	}
	if calls := store.TotalCalls() - before; calls > 0 {
		t.Errorf("%d calls to reject turns of a program whose budget is used up", calls)
	}
}

// TestRejectedWriteIsNotRepeated makes the store reject a write as invalid.
func TestRejectedWriteIsNotRepeated(t *testing.T) {
	store := newStore(t)
	store.SetFault(func(string, string) operators.Fault { return operators.BadRequest })
	_, problem := newLedger(store, "a").Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: "p", Budget: 1000, MaxTokens: turnTokens})
	if problem == nil || problem.Execution != api.NotRun {
		t.Fatalf("got %v, want a rejection that says that the turn has not run", problem)
	}
	if calls := store.CallCount("/-/rows-tx"); calls != 1 {
		t.Errorf("a rejected write was sent %d times", calls)
	}
}

// TestTurnIsRecordedInAnotherPart checks that a turn is recorded, and found, while the
// part of its program's account fails.
func TestTurnIsRecordedInAnotherPart(t *testing.T) {
	store := newStore(t)
	l := newLedger(store, "a")
	recordTurn(t, l, "p", "t1", "")
	accountPart := store.Rows("program-turns")[0].Part
	store.SetFault(func(path, part string) operators.Fault {
		if path == "/-/rows-tx" && part == accountPart {
			return operators.Unavailable
		}
		return operators.Healthy
	})
	recordTurn(t, l, "p", "t2", "t1")
	run := recordTurn(t, newLedgerWithoutFaults(store), "p", "t3", "t2")
	if got, want := string(run.History), "in t1;out t1\nin t2;out t2\n"; got != want {
		t.Fatalf("history is %q, want %q", got, want)
	}
}

// TestBudgetHoldsWhateverIsLost runs turns of several programs at two nodes
// at once while the store loses responses and requests, and
// checks that no program uses more than its budget and one turn.
func TestBudgetHoldsWhateverIsLost(t *testing.T) {
	const programs, budget = 4, 1500
	store := newStore(t)
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(7, 7))
	store.SetFault(func(path, _ string) operators.Fault {
		mutex.Lock()
		defer mutex.Unlock()
		switch random.IntN(6) {
		case 0:
			return operators.LoseReply
		case 1:
			return operators.LoseRequest
		case 2:
			return operators.Unavailable
		}
		return operators.Healthy
	})
	used := make([]int64, programs)
	var group sync.WaitGroup
	for _, run := range []string{"a", "b"} {
		l := newLedger(store, run)
		for worker := range programs {
			group.Go(func() {
				for turn := range 40 {
					program := (worker + turn) % programs
					ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
					admitted, problem := l.Begin(ctx, ledger.TurnRequest{Program: fmt.Sprintf("p%d", program), Budget: budget, MaxTokens: turnTokens})
					cancel()
					if problem != nil {
						continue
					}
					mutex.Lock()
					tokens := random.Int64N(turnTokens + 1)
					used[program] += tokens
					mutex.Unlock()
					ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
					_ = admitted.Settle(ctx, tokens, nil)
					cancel()
				}
			})
		}
	}
	group.Wait()
	// A breaker may have been open during all attempts of a program, which then fail at once;
	// it allows a probe within probePeriod.
	last := newLedger(store, "c")
	for program := range used {
		deadline := time.Now().Add(5 * time.Second)
		for used[program] == 0 && time.Now().Before(deadline) {
			admitted, problem := last.Begin(within(t, time.Second), ledger.TurnRequest{Program: fmt.Sprintf("p%d", program), Budget: budget, MaxTokens: turnTokens})
			if problem == nil {
				used[program]++
				_ = admitted.Settle(within(t, time.Second), 1, nil)
			}
		}
	}
	for program, tokens := range used {
		if tokens > budget+turnTokens {
			t.Errorf("program %d used %d tokens, with budget %d and turn %d", program, tokens, budget, turnTokens)
		}
		if tokens == 0 {
			t.Errorf("program %d used no tokens", program)
		}
	}
}

// TestTurnsOnAnAllowanceNeedNoCall checks that a turn that is not recorded and fits
// the allowance costs no call to the store.
func TestTurnsOnAnAllowanceNeedNoCall(t *testing.T) {
	store := newStore(t)
	l := newLedger(store, "a")
	for range 4 {
		run, problem := l.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: "p", Budget: 10_000, MaxTokens: turnTokens})
		if problem != nil {
			t.Fatal(problem)
		}
		if err := run.Settle(within(t, 5*time.Second), turnTokens, nil); err != nil {
			t.Fatal(err)
		}
	}
	if calls := store.CallCount("/-/rows-tx"); calls != 1 {
		t.Fatalf("%d writes for four turns, want 1", calls)
	}
}

// TestPlannedStopReturnsAllowances checks that a planned stop leaves no allowance in the account.
func TestPlannedStopReturnsAllowances(t *testing.T) {
	store := newStore(t)
	l := newLedger(store, "a")
	const budget = 4 * turnTokens
	run, problem := l.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: "p", Budget: budget, MaxTokens: turnTokens})
	if problem != nil {
		t.Fatal(problem)
	}
	if err := run.Settle(within(t, 5*time.Second), 0, nil); err != nil {
		t.Fatal(err)
	}
	l.ReturnAllowances(within(t, 5*time.Second))
	next := newLedger(store, "b")
	for turn := range 4 {
		if _, problem := next.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: "p", Budget: budget, MaxTokens: turnTokens}); problem != nil {
			t.Fatalf("turn %d after the stop: %v", turn+1, problem)
		}
	}
}

// TestRejectionsDoNotWaitWhileTheStoreIsDown checks that the breaker opens.
func TestRejectionsDoNotWaitWhileTheStoreIsDown(t *testing.T) {
	store := newStore(t)
	store.SetFault(func(string, string) operators.Fault { return operators.Unavailable })
	l := newLedger(store, "a")
	for turn := range 20 {
		_, problem := l.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: "p", Budget: 1000, MaxTokens: turnTokens})
		if problem == nil || problem.Code != api.StoreDown {
			t.Fatalf("turn %d: got %v, want store_down", turn, problem)
		}
	}
	if calls := store.CallCount("/-/rows-tx"); calls > 10 {
		t.Fatalf("%d writes for 20 rejected turns", calls)
	}
}

// TestInputTooLargeToKeep checks that a turn whose input is too large is rejected before it runs.
func TestInputTooLargeToKeep(t *testing.T) {
	_, problem := newLedger(newStore(t), "a").Begin(within(t, 5*time.Second),
		ledger.TurnRequest{Program: "p", Budget: 1000, MaxTokens: turnTokens, InputBytes: ledger.MaxInputBytes + 1})
	if problem == nil || problem.Code != api.RequestTooLarge {
		t.Fatalf("got %v, want request_too_large", problem)
	}
}

// TestLostResponseCostsLittle loses every second response to a write. Turns are
// still recorded, with a short delay.
func TestLostResponseCostsLittle(t *testing.T) {
	store := newStore(t)
	var mutex sync.Mutex
	writes := 0
	store.SetFault(func(path, _ string) operators.Fault {
		mutex.Lock()
		defer mutex.Unlock()
		if path != "/-/rows-tx" {
			return operators.Healthy
		}
		writes++
		if writes%2 == 1 {
			return operators.ApplyThenHang
		}
		return operators.Healthy
	})
	l := newLedger(store, "a")
	start := time.Now()
	previous := ""
	for turn := range 6 {
		id := fmt.Sprintf("t%d", turn)
		recordTurn(t, l, "p", id, previous)
		previous = id
	}
	if took := time.Since(start); took > 3*time.Second {
		t.Errorf("six turns took %s", took)
	}
	if rows := len(store.Rows("turn-programs")); rows != 6 {
		t.Errorf("%d turns are recorded, want 6", rows)
	}
}

// TestRowsOfEndedProgramsAreRemoved advances the clock, and checks that rows are removed, except
// those that another node has written since.
func TestRowsOfEndedProgramsAreRemoved(t *testing.T) {
	store := newStore(t)
	var mutex sync.Mutex
	now := time.Now()
	clock := func() time.Time {
		mutex.Lock()
		defer mutex.Unlock()
		return now
	}
	advance := func(span time.Duration) {
		mutex.Lock()
		defer mutex.Unlock()
		now = now.Add(span)
	}
	l := ledger.New(ledger.Options{Table: platform.NewStore(store.Address(), nil), RunID: "a", Now: clock})
	recordTurn(t, l, "over", "t1", "")
	recordTurn(t, l, "over", "t2", "t1")
	recordTurn(t, l, "shared", "t3", "")
	l.Sweep(t.Context())
	if rows := len(store.Rows("program-turns")); rows != 5 {
		t.Fatalf("%d rows right after the last turn, want 5", rows)
	}
	recordTurn(t, newLedger(store, "b"), "shared", "t4", "t3")
	advance(10 * time.Minute)
	l.Sweep(t.Context())
	for _, table := range []string{"program-turns", "turn-programs"} {
		for _, row := range store.Rows(table) {
			if strings.Contains(row.Key, "over") || row.Key == "t1" || row.Key == "t2" {
				t.Errorf("row %s of %s is still there", row.Key, table)
			}
		}
	}
	if rows := len(store.Rows("program-turns")); rows != 3 {
		t.Errorf("%d rows, want the 3 of the program that another node continued", rows)
	}
}

// TestRecordedTurnIsRejectedBeforeItRuns checks that a turn that could not be recorded is
// rejected at once, with a retry time, although its allowance and its history are in memory:
// an engine would work for an answer that cannot be completed.
func TestRecordedTurnIsRejectedBeforeItRuns(t *testing.T) {
	store := newStore(t)
	l := newLedger(store, "a")
	recordTurn(t, l, "known", "t1", "")
	store.SetFault(func(string, string) operators.Fault { return operators.Unavailable })
	for other := range 12 { // programs in more parts than have to fail for the whole table to count as down
		_, problem := l.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: fmt.Sprintf("other-%d", other), Budget: 1000, MaxTokens: turnTokens})
		if problem == nil {
			t.Fatal("a program began while the store rejects every call")
		}
	}
	request := ledger.TurnRequest{Program: "known", Budget: 10_000, MaxTokens: turnTokens, Previous: "t1", InputBytes: 10}
	_, problem := l.Begin(within(t, 5*time.Second), request)
	if problem == nil || problem.Code != api.StoreDown || problem.Execution != api.NotRun || problem.RetryAfter <= 0 {
		t.Fatalf("got %+v, want a rejection with a retry time that says that the turn has not run", problem)
	}
	request.InputBytes = 0
	if _, problem := l.Begin(within(t, 5*time.Second), request); problem != nil {
		t.Fatalf("a turn that needs no record was rejected: %v", problem)
	}
	store.SetFault(nil)
	request.InputBytes = 10
	for deadline := time.Now().Add(5 * time.Second); ; {
		if _, problem = l.Begin(within(t, 5*time.Second), request); problem == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("still rejected after the store has recovered: %v", problem)
		}
	}
}
