package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// costOf returns how many writing and reading calls, and bytes of values, a step costs.
func costOf(table *sharedTable, step func()) (writes, reads, stored int) {
	writes, reads, stored = table.counts()
	step()
	writesAfter, readsAfter, storedAfter := table.counts()
	return writesAfter - writes, readsAfter - reads, storedAfter - stored
}

// TestCallsOfTurnsThatContinue checks what the turns of a program cost that continue its own turns, at the node that
// served them and at another one, and what the first turn costs that continues another program's: no write more than any
// first turn where the chain fits beside its record, else one for each transaction that the chain takes.
func TestCallsOfTurnsThatContinue(t *testing.T) {
	cases := map[string]struct{ turns, size, moreWrites int }{
		"short chain":             {3, 100, 0},
		"chain beside the record": {30, 10_000, 0},
		"chain of one more write": {24, largeInput, 1},
		"chain of two":            {largeChainTurns, largeInput, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				p := newInheritingPrograms(t, c.turns, c.size)
				b := ledger.New(ledger.Options{Table: p.table, RunID: "b"})
				firstWrites, _, _ := costOf(p.table, func() { recordTurnOf(t, b, 100, "fresh", "f1", "") })
				writes, _, _ := costOf(p.table, func() {
					if err := p.continueAs(b, "q", "u1"); err != nil {
						t.Error(err)
					}
				})
				if writes > firstWrites+c.moreWrites {
					t.Errorf("the first turn of a program that continues another one: %d writes, want %d", writes, firstWrites+c.moreWrites)
				}
				ownWrites, ownReads, ownBytes := costOf(p.table, func() { recordTurnOf(t, b, 100, "fresh", "f2", "f1") })
				writes, reads, stored := costOf(p.table, func() { recordTurnOf(t, b, 100, "q", "u2", "u1") })
				if writes != ownWrites || reads != ownReads || stored > ownBytes+50 {
					t.Errorf("the second turn: %d writes, %d reads, %d bytes; a program that continues none: %d, %d, %d", writes, reads, stored, ownWrites, ownReads, ownBytes)
				}
				other := ledger.New(ledger.Options{Table: p.table, RunID: "other"})
				ownWrites, ownReads, ownBytes = costOf(p.table, func() { recordTurnOf(t, other, 100, "fresh", "f3", "f2") })
				writes, reads, stored = costOf(p.table, func() { recordTurnOf(t, other, 100, "q", "u3", "u2") })
				if pages := 1 + p.historyPages(); writes != ownWrites || reads > ownReads-1+pages || stored > ownBytes+150 {
					t.Errorf("a turn at another node: %d writes, %d reads, %d bytes; a program that continues none: %d, %d, %d", writes, reads, stored, ownWrites, ownReads, ownBytes)
				}
			})
		})
	}
}

// historyPages returns how many full pages the history of p takes.
func (p *inheritingPrograms) historyPages() int { return len(p.history) * 4 / 3 / storePageBytes }

// TestFirstTurnsInParallel runs several first turns of a program at once that continue from turns of another one. What is
// recorded together fits a transaction, and all chains are kept.
func TestFirstTurnsInParallel(t *testing.T) {
	for _, size := range []int{1000, 9000, 25_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				p := newInheritingPrograms(t, 30, size)
				p.table.random = rand.New(rand.NewPCG(1, 2)) // records wait for each other, and go together
				b := ledger.New(ledger.Options{Table: p.table, RunID: "b"})
				var turns sync.WaitGroup
				previous := make([]string, 12)
				for number := range previous {
					previous[number] = fmt.Sprintf("t%d", 29-number/2) // two continue from each
					turns.Go(func() {
						time.Sleep(time.Duration(number) * time.Millisecond)
						ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
						defer cancel()
						run, problem := b.Begin(ctx, ledger.TurnRequest{Program: "q", Budget: 10_000, MaxTokens: turnTokens, Previous: previous[number], InputBytes: 30_000})
						if problem != nil {
							t.Error(problem)
							return
						}
						time.Sleep(time.Second)
						turn := &ledger.Turn{ID: fmt.Sprintf("u%d", number), Parent: previous[number], Input: []byte(strings.Repeat("i", 30_000))}
						if err := run.Settle(ctx, 40, turn); err != nil {
							t.Error(err)
						}
					})
				}
				turns.Wait()
				p.removeProgram()
				reader := ledger.New(ledger.Options{Table: p.table, RunID: "reader"})
				for number := range previous {
					run, problem := reader.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: "r", Previous: fmt.Sprintf("u%d", number)})
					if problem != nil {
						t.Fatalf("turn u%d: %v", number, problem)
					}
					if !strings.HasPrefix(string(run.History), p.history[:size]) || len(run.History) < (29-number/2)*size {
						t.Errorf("turn u%d: %d bytes of history", number, len(run.History))
					}
				}
			})
		})
	}
}

// turnsOfPeers is a source that knows the turns of other ledgers.
type turnsOfPeers map[string]*ledger.Turn

// TurnsUpTo implements ledger.TurnSource.
func (s turnsOfPeers) TurnsUpTo(_ context.Context, _, turn string) []*ledger.Turn {
	var chain []*ledger.Turn
	for next := s[turn]; next != nil; next = s[next.Parent] {
		chain = append(chain, next)
	}
	return chain
}

// TestTurnsOfASourceAreInherited continues turns that the source returns: those of another program are stored with the first
// turn, and those of the program itself cost nothing more. A source of an earlier build names no programs.
func TestTurnsOfASourceAreInherited(t *testing.T) {
	for _, named := range []string{"p", "q", ""} {
		t.Run(named, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				p := newInheritingPrograms(t, 3, 10_000)
				source := turnsOfPeers{}
				for number := range 3 {
					id, parent := fmt.Sprintf("t%d", number), fmt.Sprintf("t%d", number-1)
					if number == 0 {
						parent = ""
					}
					source[id] = &ledger.Turn{ID: id, Parent: parent, Program: named, Input: []byte(id + strings.Repeat("#", 10_000-len(id))), Output: []byte("out " + id + "\n")}
				}
				b := ledger.New(ledger.Options{Table: p.table, RunID: "b"})
				b.SetTurnSource(source)
				_, reads, stored := costOf(p.table, func() {
					if err := p.continueAs(b, "q", "u1"); err != nil {
						t.Error(err)
					}
				})
				if reads > 0 {
					t.Errorf("%d reads of turns that the source has", reads)
				}
				if stores := stored > 30_000; stores != (named == "p") {
					t.Errorf("turns of program %q: %d bytes were written by the first turn of q", named, stored)
				}
				if named == "p" {
					p.removeProgram()
					p.checkContinued("q", "u1")
				}
			})
		})
	}
}

// TestRecordsWaitNoLongerOnASlowTable checks that the record of the first turn of a program that continues another one's takes as
// long, on a table whose writes take 0.9 s, as that of a program that continues none. A long chain is stored meanwhile.
func TestRecordsWaitNoLongerOnASlowTable(t *testing.T) {
	for name, c := range map[string]struct{ turns, size int }{"short chain": {3, 100}, "chain beside the record": {10, largeInput}, "long chain": {largeChainTurns, largeInput}} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				p := newInheritingPrograms(t, c.turns, c.size)
				p.table.fateOf = func(int) fate { return fate{before: 450 * time.Millisecond, after: 450 * time.Millisecond} }
				took := make(map[string]time.Duration)
				last := p.last
				for _, previous := range []string{"", last} {
					p.last = previous
					var ended time.Time
					p.running = func() {
						time.Sleep(3 * time.Second)
						ended = time.Now()
					}
					if err := p.continueAs(ledger.New(ledger.Options{Table: p.table, RunID: "b" + previous}), "q"+previous, "u"+previous); err != nil {
						t.Fatal(err)
					}
					took[previous] = time.Since(ended)
				}
				if took[last] > took[""] {
					t.Errorf("the record took %s, that of a program that continues none %s", took[last], took[""])
				}
			})
		})
	}
}
