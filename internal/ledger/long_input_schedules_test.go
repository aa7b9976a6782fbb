package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// bodyLimit is the size of the longest inputs of these tests.
const bodyLimit = 4 << 20

// longTurn is a turn with a long input, of a program that has a budget or none.
type longTurn struct {
	program, id, previous string
	size                  int
	budget                int64
	runs                  time.Duration // how long the engine takes
	answer                string
}

// input returns the input of the turn: each kilobyte of it differs from the others.
func (l longTurn) input() string {
	var content strings.Builder
	for number := 0; content.Len() < l.size; number++ {
		fmt.Fprintf(&content, "%s:%d,%s", l.id, number, strings.Repeat("#", 1<<10))
	}
	return content.String()[:l.size]
}

// record runs the turn. It returns an error if the turn was not answered.
func (l longTurn) record(at *ledger.Ledger) error {
	input := []byte(l.input())
	request := ledger.TurnRequest{Program: l.program, Budget: l.budget, MaxTokens: turnTokens, Previous: l.previous,
		InputBytes: len(input), Turn: l.id, Input: input, Retention: time.Minute}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	run, problem := at.Begin(ctx, request)
	if problem != nil {
		return problem
	}
	if l.runs > 0 {
		time.Sleep(l.runs)
	}
	return run.Settle(ctx, 40, &ledger.Turn{ID: l.id, Parent: l.previous, Input: input, Output: []byte(l.answer)})
}

// historyAt returns what a turn of a program that continues from the turn begins with, as a new process reads it.
func (l longTurn) historyAt(t *testing.T, table tablestore.Table, program string) (string, *api.Error) {
	t.Helper()
	reader := ledger.New(ledger.Options{Table: table, RunID: "reader-" + program})
	run, problem := reader.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: program, Previous: l.id})
	if problem != nil {
		return "", problem
	}
	return string(run.History), nil
}

// checkKept fails the test unless the turn is found whole, by its program and by another one, with one of the answers.
func (l longTurn) checkKept(t *testing.T, table tablestore.Table, before string, answers ...string) {
	t.Helper()
	for _, program := range []string{l.program, "another"} {
		history, problem := l.historyAt(t, table, program)
		if problem != nil {
			t.Errorf("turn %s, continued by %s: %v", l.id, program, problem)
			continue
		}
		found := false
		for _, answer := range answers {
			found = found || history == before+l.input()+answer
		}
		if !found {
			t.Errorf("turn %s, continued by %s: %d bytes of history, of an input of %d", l.id, program, len(history), l.size)
		}
	}
}

// forBudgets runs a test for a program that has a budget, and for one that has none.
func forBudgets(t *testing.T, test func(t *testing.T, budget int64)) {
	t.Run("budget", func(t *testing.T) { test(t, 1_000_000) })
	t.Run("no_budget", func(t *testing.T) { test(t, 0) })
}

// checkEmpty fails the test if rows are left.
func checkEmpty(t *testing.T, table *sharedTable) {
	t.Helper()
	if left := table.keys(""); len(left) > 0 {
		t.Errorf("%d rows are left, as %s", len(left), left[0])
	}
}

// TestLongInputsAreKeptAndRemoved records turns with long inputs, continues them in the same program and in another one, also
// after the rows of the first program were removed, and removes all rows in the end.
func TestLongInputsAreKeptAndRemoved(t *testing.T) {
	for _, size := range []int{500<<10 + 1, 1100 << 10, bodyLimit} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			forBudgets(t, func(t *testing.T, budget int64) {
				virtualtime.Test(t, func(t *testing.T) {
					table := newSharedTable(t)
					a, b := ledger.New(ledger.Options{Table: table, RunID: "a"}), ledger.New(ledger.Options{Table: table, RunID: "b"})
					first := longTurn{program: "p", id: "t1", size: size, budget: budget, runs: time.Second, answer: "one\n"}
					second := longTurn{program: "p", id: "t2", previous: "t1", size: size, budget: budget, runs: time.Second, answer: "two\n"}
					for _, turn := range []longTurn{first, second} {
						if err := turn.record(a); err != nil {
							t.Fatal(err)
						}
					}
					history := first.input() + "one\n"
					first.checkKept(t, table, "", "one\n")
					second.checkKept(t, table, history, "two\n")
					time.Sleep(100 * time.Second)
					third := longTurn{program: "q", id: "u1", previous: "t2", size: size, budget: budget, runs: time.Second, answer: "three\n"}
					if err := third.record(b); err != nil {
						t.Fatal(err)
					}
					time.Sleep(30 * time.Second)
					a.Sweep(context.Background())
					third.checkKept(t, table, history+second.input()+"two\n", "three\n")
					time.Sleep(3 * time.Minute)
					b.Sweep(context.Background())
					checkEmpty(t, table)
				})
			})
		})
	}
}

// TestAbandonedLongInputsAreRemoved ends turns without a record, whose inputs were stored while they ran.
func TestAbandonedLongInputsAreRemoved(t *testing.T) {
	forBudgets(t, func(t *testing.T, budget int64) {
		virtualtime.Test(t, func(t *testing.T) {
			table := newSharedTable(t)
			l := ledger.New(ledger.Options{Table: table, RunID: "a"})
			turn := longTurn{program: "p", id: "t1", size: bodyLimit}
			run, problem := l.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: "p", Budget: budget, MaxTokens: turnTokens,
				InputBytes: turn.size, Turn: "t1", Input: []byte(turn.input())})
			if problem != nil {
				t.Fatal(problem)
			}
			time.Sleep(time.Second)
			if stored := len(table.keys("")); stored < 80 {
				t.Errorf("%d rows are stored while the turn runs", stored)
			}
			run.Abandon()
			if _, problem := turn.historyAt(t, table, "p"); problem == nil || problem.Code != api.CallNotFound {
				t.Errorf("a turn that was not recorded: %v, want call_not_found", problem)
			}
			time.Sleep(3 * time.Minute)
			l.Sweep(context.Background())
			checkEmpty(t, table)
		})
	})
}

// TestLostAnswersWhileALongInputIsStored loses the answer to each write of a turn with a long input, which is applied, or not, or
// seconds later. The turn is answered all the same, and kept.
func TestLostAnswersWhileALongInputIsStored(t *testing.T) {
	fates := map[string]fate{"applied": {lost: true}, "never": {lost: true, never: true}, "late": {lost: true, late: 3 * time.Second}}
	for name, drawn := range fates {
		for _, runs := range []time.Duration{0, 8 * time.Second} { // the record comes before the input is stored, or after
			t.Run(fmt.Sprint(name, "/", runs), func(t *testing.T) {
				forBudgets(t, func(t *testing.T, budget int64) {
					for write, writes := 0, 1; write < writes; write++ {
						virtualtime.Test(t, func(t *testing.T) {
							table := newSharedTable(t)
							table.fateOf = func(number int) fate {
								if number == write {
									return drawn
								}
								return fate{}
							}
							turn := longTurn{program: "p", id: "t1", size: bodyLimit, budget: budget, runs: runs, answer: "one\n"}
							l := ledger.New(ledger.Options{Table: table, RunID: "a"})
							if err := turn.record(l); err != nil {
								t.Fatalf("write %d: %v", write, err)
							}
							writes, _, _ = table.counts()
							table.fateOf = nil
							turn.checkKept(t, table, "", "one\n")
							time.Sleep(10 * time.Second) // late writes are applied
							turn.checkKept(t, table, "", "one\n")
						})
					}
				})
			})
		}
	}
}

// killedTable is the path to a table of a process that is killed as it makes a call.
type killedTable struct {
	tablestore.Table
	left    atomic.Int64 // calls until then
	applied bool         // whether the last one is applied
}

// isKilled counts a call, and reports whether the process does not live to see its end, and whether it is sent.
func (k *killedTable) isKilled() (killed, sent bool) {
	left := k.left.Add(-1)
	return left < 0, left == -1 && k.applied
}

func (k *killedTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	killed, sent := k.isKilled()
	if !killed {
		return k.Table.Commit(ctx, transaction)
	}
	if sent {
		_, _ = k.Table.Commit(ctx, transaction)
	}
	return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
}

func (k *killedTable) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	if killed, _ := k.isKilled(); killed {
		return tablestore.Page{}, tablestore.ErrUnavailable
	}
	return k.Table.Range(ctx, start, end, limit)
}

func (k *killedTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	page, err := k.Range(ctx, key, key+"\x00", 1)
	return page.RowAt(key), err
}

// TestProcessIsKilledWhileALongInputIsStored kills a process at each of its calls. Its turn is found whole, or not at all. Another
// process is asked for the same turn, and answers otherwise: the turn is then kept whole with one of the answers, which stays.
// The rows of both are removed.
func TestProcessIsKilledWhileALongInputIsStored(t *testing.T) {
	for _, applied := range []bool{false, true} {
		t.Run(fmt.Sprint("applied=", applied), func(t *testing.T) {
			forBudgets(t, func(t *testing.T, budget int64) {
				for calls, ended := int64(0), false; !ended; calls++ {
					virtualtime.Test(t, func(t *testing.T) {
						table := newSharedTable(t)
						killed := &killedTable{Table: table, applied: applied}
						killed.left.Store(calls)
						turn := longTurn{program: "p", id: "t1", size: bodyLimit, budget: budget, runs: time.Second, answer: "one\n"}
						err := turn.record(ledger.New(ledger.Options{Table: killed, RunID: "killed"}))
						ended = killed.left.Load() >= 0
						if ended && err != nil {
							t.Error(err)
						}
						history, problem := turn.historyAt(t, table, "p")
						recorded := problem == nil
						if recorded && history != turn.input()+"one\n" || !recorded && problem.Code != api.CallNotFound {
							t.Errorf("killed at call %d: %d bytes, %v", calls, len(history), problem)
						}
						if err == nil && !recorded {
							t.Errorf("killed at call %d: the turn was answered, and is not recorded", calls)
						}
						again := turn
						again.answer = "again\n"
						other := ledger.New(ledger.Options{Table: table, RunID: "other"})
						if err := again.record(other); err != nil {
							t.Errorf("killed at call %d: the turn at another process: %v", calls, err)
						}
						turn.checkKept(t, table, "", "one\n", "again\n")
						if budget > 0 {
							return // the killed process has tokens, and keeps them
						}
						time.Sleep(3 * time.Minute)
						other.Sweep(context.Background())
						checkEmpty(t, table)
					})
				}
			})
		})
	}
}

// TestReadsWhileALongInputIsStored reads a turn before each call that records it. It is not found, or found whole, and never
// malformed.
func TestReadsWhileALongInputIsStored(t *testing.T) {
	forBudgets(t, func(t *testing.T, budget int64) {
		virtualtime.Test(t, func(t *testing.T) {
			table := newSharedTable(t)
			turn := longTurn{program: "p", id: "t1", size: bodyLimit, budget: budget, runs: time.Second, answer: "one\n"}
			var reading atomic.Bool
			table.before = func() {
				if !reading.CompareAndSwap(false, true) {
					return
				}
				defer reading.Store(false)
				history, problem := turn.historyAt(t, table, "p")
				if problem == nil && history != turn.input()+"one\n" || problem != nil && problem.Code != api.CallNotFound {
					t.Errorf("%d bytes, %v", len(history), problem)
				}
			}
			if err := turn.record(ledger.New(ledger.Options{Table: table, RunID: "a"})); err != nil {
				t.Fatal(err)
			}
			table.before = nil
		})
	})
}

// ledgerThatRead returns a ledger that has read the rows of program p.
func (p *inheritingPrograms) ledgerThatRead(program string) *ledger.Ledger {
	p.t.Helper()
	l := ledger.New(ledger.Options{Table: p.table, RunID: "b"})
	run, problem := l.Begin(within(p.t, 5*time.Second), ledger.TurnRequest{Program: program, Previous: p.last})
	if problem != nil {
		p.t.Fatal(problem)
	}
	run.Abandon()
	return l
}

// TestRemovalWhileALongInputIsStored has another process remove the rows of the program before each call that stores a turn, and
// runs the whole turn before each call of the removal.
func TestRemovalWhileALongInputIsStored(t *testing.T) {
	for _, order := range []string{"removal_inside", "turn_inside"} {
		t.Run(order, func(t *testing.T) {
			forBudgets(t, func(t *testing.T, budget int64) {
				for call, ended := 0, false; !ended; call++ {
					virtualtime.Test(t, func(t *testing.T) {
						p := newInheritingPrograms(t, 3, largeInput)
						turn := longTurn{program: "p", id: "u1", size: bodyLimit, budget: budget, runs: time.Second, answer: "one\n"}
						var err error
						b := p.ledgerThatRead("p")
						record := func() { err = turn.record(b) }
						inside, outside := p.removeProgram, record
						if order == "turn_inside" {
							inside, outside = record, p.removeProgram
						}
						var number atomic.Int64
						p.table.before = func() {
							if number.Add(1) == int64(call+1) {
								inside()
							}
						}
						outside()
						p.table.before = nil
						if ended = number.Load() <= int64(call); ended {
							return
						}
						if err != nil {
							t.Fatalf("call %d: %v", call, err)
						}
						turn.checkKept(t, p.table, "", "one\n")
					})
				}
			})
		})
	}
}

// TestRemovalAndReadsBesideLongInputs has calls take time: a process removes a program's rows as another one records turns with
// long inputs in it, some of whose answers are lost, while a third one reads. What was answered is kept whole, and what is
// found is whole.
func TestRemovalAndReadsBesideLongInputs(t *testing.T) {
	answered := 0
	for seed := range uint64(120) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				p := newInheritingPrograms(t, 20, largeInput)
				p.table.random, p.table.lossy = rand.New(rand.NewPCG(seed, 1)), seed%3 == 2
				delays := rand.New(rand.NewPCG(seed, 2))
				turn := longTurn{program: "p", id: "t99", size: bodyLimit, budget: int64(seed%2) * 1_000_000, runs: time.Duration(delays.IntN(300)) * time.Millisecond, answer: "one\n"}
				removalAt, pause := time.Duration(delays.IntN(300))*time.Millisecond, time.Duration(1+delays.IntN(100))*time.Millisecond
				var tasks sync.WaitGroup
				var err error
				done := make(chan struct{})
				b := ledger.New(ledger.Options{Table: p.table, RunID: "b"})
				if seed%4 < 2 {
					b = p.ledgerThatRead("p")
				}
				tasks.Go(func() {
					time.Sleep(removalAt)
					p.removeProgram()
				})
				tasks.Go(func() {
					defer close(done)
					err = turn.record(b)
				})
				tasks.Go(func() {
					for {
						select {
						case <-done:
							return
						case <-time.After(pause):
						}
						if history, problem := turn.historyAt(t, p.table, "p"); problem == nil && history != turn.input()+"one\n" {
							t.Errorf("seed %d: %d bytes of history", seed, len(history))
						}
					}
				})
				tasks.Wait()
				p.table.random, p.table.lossy = nil, false
				if err == nil {
					answered++
					turn.checkKept(t, p.table, "", "one\n")
				}
			})
		})
	}
	if answered < 100 {
		t.Errorf("%d turns were answered", answered)
	}
}
