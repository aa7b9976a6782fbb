package ledger_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
	"github.com/pewtermill/pewtermill/platform"
)

// largeInput is the size of the inputs of the programs here: 47 turns of them take more than one answer of the store.
const largeInput = 26_000

// recordTurnOf records one turn with an input of a size and returns what it adds to the history.
func recordTurnOf(t *testing.T, l *ledger.Ledger, size int, program, id, previous string) []byte {
	t.Helper()
	run, problem := l.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: program, Budget: 1_000_000, MaxTokens: turnTokens, Previous: previous})
	if problem != nil {
		t.Fatalf("turn %s: %v", id, problem)
	}
	input := []byte(id + strings.Repeat("#", size-len(id)))
	output := []byte("out " + id + "\n")
	if err := run.Settle(within(t, 5*time.Second), 40, &ledger.Turn{ID: id, Parent: previous, Input: input, Output: output}); err != nil {
		t.Fatalf("turn %s: %v", id, err)
	}
	return append(input, output...)
}

// recordLargeProgram records a conversation of 8 turns, and as many single turns as make the program's rows take
// several answers of the store. It returns the history of the conversation, whose last turn is named "main-7". The
// conversation's turns lie on different pages.
func recordLargeProgram(t *testing.T, l *ledger.Ledger, program string, others int) []byte {
	t.Helper()
	var history []byte
	previous := ""
	for number := range 8 {
		id := fmt.Sprintf("%s-%d", []string{"a", "main"}[number%2], number)
		history = append(history, recordTurnOf(t, l, largeInput, program, id, previous)...)
		previous = id
	}
	for number := range others {
		recordTurnOf(t, l, largeInput, program, fmt.Sprintf("b-%02d", number), "")
	}
	return history
}

// TestProgramOfSeveralPagesIsContinuedAtAnotherNode guards against answering that a turn does not exist when the store
// ended its answer at 1 MB before the turn's row: a page of fewer rows than the limit was taken for the last one.
func TestProgramOfSeveralPagesIsContinuedAtAnotherNode(t *testing.T) {
	for _, others := range []int{39, 120} { // 1.2 and 3.3 MB: two and five pages
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			store := newStore(t)
			want := recordLargeProgram(t, newLedger(store, "a"), "p", others)
			for _, program := range []string{"p", "q"} { // another program may continue the turn as well
				run, problem := newLedger(store, "b").Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: program, Budget: 1_000_000, MaxTokens: turnTokens, Previous: "main-7"})
				if problem != nil {
					t.Fatalf("program %s: %v", program, problem)
				}
				if !bytes.Equal(run.History, want) {
					t.Errorf("program %s: history of %d bytes, want %d", program, len(run.History), len(want))
				}
				run.Abandon()
			}
		})
	}
}

// TestProgramOfOnePageIsReadWithOneCall checks that a program that fits one answer of the store costs one read.
func TestProgramOfOnePageIsReadWithOneCall(t *testing.T) {
	store := newStore(t)
	recordLargeProgram(t, newLedger(store, "a"), "p", 0)
	before := store.CallCount("/-/rows-get")
	if problem := continueTurn(t, store, "b", "p", "main-7"); problem != nil {
		t.Fatal(problem)
	}
	if reads := store.CallCount("/-/rows-get") - before; reads != 1 {
		t.Errorf("%d reads, want 1", reads)
	}
}

// TestPartlyReadProgramIsNotMissing fails the read of every page but the first. A turn on a later page may exist, so the
// refusal must not say that it does not.
func TestPartlyReadProgramIsNotMissing(t *testing.T) {
	for name, fault := range map[string]operators.Fault{"unavailable": operators.Unavailable, "throttled": operators.Throttle, "lost": operators.LoseRequest} {
		t.Run(name, func(t *testing.T) {
			store := newStore(t)
			recordLargeProgram(t, newLedger(store, "a"), "p", 39)
			pages := 0
			store.SetFault(func(path, _ string) operators.Fault {
				if path != "/-/rows-get" {
					return operators.Healthy
				}
				if pages++; pages == 1 {
					return operators.Healthy
				}
				return fault
			})
			problem := continueTurn(t, store, "b", "p", "main-7")
			if problem == nil || problem.Code.String() == "call_not_found" {
				t.Errorf("got %v, want a refusal that may be repeated", problem)
			}
		})
	}
}

// TestIndexedTurnWithoutRowsIsNotMissing removes the rows of a turn that the index names.
func TestIndexedTurnWithoutRowsIsNotMissing(t *testing.T) {
	store := newStore(t)
	recordTurn(t, newLedger(store, "a"), "p", "t1", "")
	for _, row := range store.Rows("program-turns") {
		if strings.HasSuffix(row.Key, "t1.00") {
			store.Remove(row.Table, row.Part, row.Key)
		}
	}
	if problem := continueTurn(t, store, "b", "p", "t1"); problem == nil || problem.Code.String() == "call_not_found" {
		t.Errorf("got %v, want a refusal that may be repeated", problem)
	}
}

// TestProgramOfSeveralPagesIsRemovedWhole checks that no row stays behind on the pages after the first when an expired
// program is removed.
func TestProgramOfSeveralPagesIsRemovedWhole(t *testing.T) {
	for name, others := range map[string]int{"bytes": 39, "rows": 510} {
		t.Run(name, func(t *testing.T) {
			store := newStore(t)
			now := time.Now()
			l := ledger.New(ledger.Options{Table: platform.NewStore(store.Address(), nil), RunID: "a", Now: func() time.Time { return now }})
			if name == "rows" {
				for number := range others {
					recordTurnOf(t, l, 100, "p", fmt.Sprintf("t%03d", number), "")
				}
			} else {
				recordLargeProgram(t, l, "p", others)
			}
			now = now.Add(time.Hour)
			l.Sweep(within(t, 30*time.Second))
			for _, table := range []string{"program-turns", "turn-programs"} {
				if left := store.Rows(table); len(left) > 0 {
					t.Errorf("%d rows of %s were not removed", len(left), table)
				}
			}
		})
	}
}
