package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestWritesOfTurnsByInput checks how many writes a turn takes: one more for the head of a long input, and one for each 672 KB of
// it. A turn that fits into one transaction takes none more than any.
func TestWritesOfTurnsByInput(t *testing.T) {
	for _, c := range []struct{ size, more int }{{400 << 10, 0}, {500 << 10, 0}, {500<<10 + 1, 2}, {672 << 10, 2}, {673 << 10, 3}, {bodyLimit, 8}} {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				table := newSharedTable(t)
				l := ledger.New(ledger.Options{Table: table, RunID: "a"})
				writesOf := func(program string, size int) int {
					writes, _, _ := costOf(table, func() {
						if err := (longTurn{program: program, id: "t-" + program, size: size, budget: 1_000_000, runs: time.Second}).record(l); err != nil {
							t.Error(err)
						}
					})
					return writes
				}
				if short, got := writesOf("p", 100), writesOf("q", c.size); got != short+c.more {
					t.Errorf("%d writes, want %d", got, short+c.more)
				}
			})
		})
	}
}

// TestLongInputsAreStoredWhileTheTurnRuns checks that the record of a turn with a long input takes as long, on a table whose
// writes take 0.9 s, as that of one with a short input.
func TestLongInputsAreStoredWhileTheTurnRuns(t *testing.T) {
	forBudgets(t, func(t *testing.T, budget int64) {
		virtualtime.Test(t, func(t *testing.T) {
			table := newSharedTable(t)
			table.fateOf = func(int) fate { return fate{before: 450 * time.Millisecond, after: 450 * time.Millisecond} }
			took := make(map[int]time.Duration)
			for _, size := range []int{100, bodyLimit} {
				name := fmt.Sprint("p", size)
				input := []byte(longTurn{id: name, size: size}.input())
				ctx := within(t, 20*time.Second)
				run, problem := ledger.New(ledger.Options{Table: table, RunID: name}).Begin(ctx,
					ledger.TurnRequest{Program: name, Budget: budget, MaxTokens: turnTokens, InputBytes: size, Turn: name, Input: input})
				if problem != nil {
					t.Fatal(problem)
				}
				time.Sleep(6 * time.Second)
				ended := time.Now()
				if err := run.Settle(ctx, 40, &ledger.Turn{ID: name, Input: input}); err != nil {
					t.Fatal(err)
				}
				took[size] = time.Since(ended)
			}
			if took[bodyLimit] > took[100] {
				t.Errorf("the record took %s, that of a short input %s", took[bodyLimit], took[100])
			}
		})
	})
}

// countingTable counts the bytes that are being written.
type countingTable struct {
	tablestore.Table
	mutex         sync.Mutex
	writing, most int
}

func (c *countingTable) add(bytes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writing += bytes
	c.most = max(c.most, c.writing)
}

func (c *countingTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	bytes := 0
	for _, write := range transaction.Writes {
		bytes += len(write.Value)
	}
	c.add(bytes)
	defer c.add(-bytes)
	return c.Table.Commit(ctx, transaction)
}

// TestManyLongInputsAtOnceTakeLittleMemory runs 64 turns at once. What is written at a time is limited, whatever their inputs
// have together, and all are kept.
func TestManyLongInputsAtOnceTakeLittleMemory(t *testing.T) {
	const turns, limit = 64, 8 << 20
	virtualtime.Test(t, func(t *testing.T) {
		shared := newSharedTable(t)
		shared.fateOf = func(int) fate { return fate{before: 5 * time.Millisecond, after: 5 * time.Millisecond} }
		table := &countingTable{Table: shared}
		l := ledger.New(ledger.Options{Table: table, RunID: "a"})
		var running sync.WaitGroup
		turnOf := func(number int) longTurn {
			return longTurn{program: fmt.Sprint("p", number%16), id: fmt.Sprint("t", number), size: bodyLimit, budget: 1_000_000, answer: "one\n"}
		}
		for number := range turns {
			running.Go(func() {
				if err := turnOf(number).record(l); err != nil {
					t.Error(err)
				}
			})
		}
		running.Wait()
		if table.most > limit {
			t.Errorf("%d bytes were written at once", table.most)
		}
		for number := range turns {
			if history, problem := turnOf(number).historyAt(t, shared, fmt.Sprint("p", number%16)); problem != nil || history != turnOf(number).input()+"one\n" {
				t.Errorf("turn %d: %d bytes of history, %v", number, len(history), problem)
			}
		}
	})
}
