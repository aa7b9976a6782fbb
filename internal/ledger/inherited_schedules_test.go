package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// largeChainTurns is how many turns of largeInput make a chain that takes several transactions.
const largeChainTurns = 47

// inheritingPrograms is program p, whose turns program q continues from, on a table in memory.
type inheritingPrograms struct {
	t       *testing.T
	table   *sharedTable
	elapsed atomic.Int64 // of the clock of p's ledger
	writer  *ledger.Ledger
	last    string // turn of p
	history string // of a turn that continues from it
	running func() // called while a turn that continues from it runs; nil: it takes a second
	output  int    // bytes that such a turn adds to its answer
}

// newInheritingPrograms records the turns of program p.
func newInheritingPrograms(t *testing.T, turns, size int) *inheritingPrograms {
	p := &inheritingPrograms{t: t, table: newSharedTable(t)}
	start := time.Now()
	p.writer = ledger.New(ledger.Options{Table: p.table, RunID: "writer", Now: func() time.Time { return start.Add(time.Duration(p.elapsed.Load())) }})
	for number := range turns {
		id := fmt.Sprintf("t%d", number)
		p.history += string(recordTurnOf(t, p.writer, size, "p", id, p.last))
		p.last = id
	}
	return p
}

// removeProgram expires program p at its ledger, which removes its rows.
func (p *inheritingPrograms) removeProgram() {
	p.elapsed.Add(int64(time.Hour))
	p.writer.Sweep(context.Background())
}

// continueAs runs a turn of another program that continues from the last turn of p. It returns an error if the turn was not
// answered.
func (p *inheritingPrograms) continueAs(l *ledger.Ledger, program, id string) error {
	request := ledger.TurnRequest{Program: program, Budget: 10_000, MaxTokens: turnTokens, Previous: p.last, InputBytes: 10, Retention: time.Minute}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	run, problem := l.Begin(ctx, request)
	if problem != nil {
		return problem
	}
	if p.running != nil {
		p.running()
	} else {
		time.Sleep(time.Second)
	}
	return run.Settle(ctx, 40, &ledger.Turn{ID: id, Parent: p.last, Input: []byte("in " + id), Output: []byte(p.answer(id))})
}

// answer returns the output of a turn that continues from p.
func (p *inheritingPrograms) answer(id string) string {
	return strings.Repeat("o", p.output) + "out " + id + "\n"
}

// checkContinued fails the test unless turns of a program and of other ones continue from one of its turns, with the whole chain.
func (p *inheritingPrograms) checkContinued(program, id string) {
	p.t.Helper()
	for _, next := range []string{program, "another"} {
		l := ledger.New(ledger.Options{Table: p.table, RunID: "reader-" + next})
		run, problem := l.Begin(within(p.t, 5*time.Second), ledger.TurnRequest{Program: next, Previous: id})
		if problem != nil {
			p.t.Errorf("turn %s of program %s, continued by %s: %v", id, program, next, problem)
			continue
		}
		if want := p.history + "in " + id + p.answer(id); string(run.History) != want {
			p.t.Errorf("turn %s of program %s, continued by %s: %d bytes of history, want %d", id, program, next, len(run.History), len(want))
		}
	}
}

// forChains runs a test with a short chain, which fits beside the record of a turn, and a long one.
func forChains(t *testing.T, test func(t *testing.T, turns, size int)) {
	t.Run("short", func(t *testing.T) { test(t, 3, 100) })
	t.Run("long", func(t *testing.T) { test(t, largeChainTurns, largeInput) })
}

// TestRemovalDuringAContinuation removes the rows of program p before each call that the first turn of program q makes. The
// turns of p are expired, so that turn may be refused; once it is answered, its chain is kept.
func TestRemovalDuringAContinuation(t *testing.T) {
	forChains(t, func(t *testing.T, turns, size int) {
		answered := 0
		for call := 0; ; call++ {
			calls := 0
			virtualtime.Test(t, func(t *testing.T) {
				p := newInheritingPrograms(t, turns, size)
				var number atomic.Int64
				p.table.before = func() {
					if number.Add(1) == int64(call+1) {
						p.removeProgram()
					}
				}
				err := p.continueAs(ledger.New(ledger.Options{Table: p.table, RunID: "b"}), "q", "u1")
				calls = int(number.Load())
				p.table.before = nil
				if err == nil {
					answered++
					p.checkContinued("q", "u1")
				}
			})
			if call >= calls {
				break
			}
		}
		if answered < 2 {
			t.Errorf("the turn was answered on %d schedules", answered)
		}
	})
}

// TestContinuationDuringARemoval runs the first turn of program q before each call that the removal of the rows of program p
// makes.
func TestContinuationDuringARemoval(t *testing.T) {
	forChains(t, func(t *testing.T, turns, size int) {
		for call := 0; ; call++ {
			calls := 0
			virtualtime.Test(t, func(t *testing.T) {
				p := newInheritingPrograms(t, turns, size)
				var number atomic.Int64
				var err error
				p.table.before = func() {
					if number.Add(1) == int64(call+1) {
						p.table.before = nil
						err = p.continueAs(ledger.New(ledger.Options{Table: p.table, RunID: "b"}), "q", "u1")
						p.table.before = func() { number.Add(1) }
					}
				}
				p.removeProgram()
				calls = int(number.Load())
				p.table.before = nil
				if err == nil && call < calls {
					p.checkContinued("q", "u1")
				}
			})
			if call >= calls {
				break
			}
		}
	})
}

// TestLostAnswersWhileAChainIsStored loses the answer to each write of the first turn of program q, which is applied, or not,
// or seconds later. The turn is answered all the same, with its chain kept.
func TestLostAnswersWhileAChainIsStored(t *testing.T) {
	fates := map[string]fate{"applied": {lost: true}, "never": {lost: true, never: true}, "late": {lost: true, late: 3 * time.Second}}
	for name, drawn := range fates {
		t.Run(name, func(t *testing.T) {
			forChains(t, func(t *testing.T, turns, size int) {
				for write, writes := 0, 1; write < writes; write++ {
					virtualtime.Test(t, func(t *testing.T) {
						p := newInheritingPrograms(t, turns, size)
						before, _, _ := p.table.counts()
						p.table.fateOf = func(number int) fate {
							if number == before+write {
								return drawn
							}
							return fate{}
						}
						if err := p.continueAs(ledger.New(ledger.Options{Table: p.table, RunID: "b"}), "q", "u1"); err != nil {
							t.Fatalf("write %d: %v", write, err)
						}
						after, _, _ := p.table.counts()
						writes = after - before
						p.table.fateOf = nil
						p.removeProgram()
						p.checkContinued("q", "u1")
						time.Sleep(10 * time.Second) // late writes are applied
						p.checkContinued("q", "u1")
					})
				}
			})
		})
	}
}

// TestRecordsThatComeBeforeTheirChain ends the answer of the first turn of program q while the chain that it inherits is still
// being stored, or could not be stored while the turn ran, or turns out not to fit beside the record, or while the program's part
// fails, so that another one has the chain. A second turn from the same one has its chain as well.
func TestRecordsThatComeBeforeTheirChain(t *testing.T) {
	ownPart := func(key string) bool { return strings.HasPrefix(key, strings.TrimSuffix(ledger.AccountKey("q"), "q/")) }
	cases := map[string]struct {
		turns, output int
		runs          time.Duration         // how long the turn runs
		fails         func(key string) bool // writes that the store refuses once the turn is admitted
		recovers      bool                  // as the turn ends
	}{
		"still being stored":      {turns: largeChainTurns},
		"not stored in time":      {turns: largeChainTurns, runs: time.Second, fails: func(string) bool { return true }, recovers: true},
		"part fails":              {turns: largeChainTurns, runs: time.Second, fails: ownPart},
		"part fails, short chain": {turns: 3, fails: ownPart},
		"large output":            {turns: 10, output: 500_000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				p := newInheritingPrograms(t, c.turns, largeInput)
				p.table.random = rand.New(rand.NewPCG(1, 1)) // calls take time
				p.output = c.output
				var recovered atomic.Bool
				p.table.unavailable = func(key string) bool {
					return c.fails != nil && !recovered.Load() && p.table.hasRow(ledger.AccountKey("q")) && c.fails(key)
				}
				p.running = func() {
					time.Sleep(c.runs)
					if c.recovers {
						recovered.Store(true)
					}
				}
				b := ledger.New(ledger.Options{Table: p.table, RunID: "b"})
				writes, _, _ := costOf(p.table, func() {
					if err := p.continueAs(b, "q", "u1"); err != nil {
						t.Fatal(err)
					}
				})
				if c.fails == nil && writes > 4 { // the account, two parts of the chain, the record
					t.Errorf("%d writes", writes)
				}
				recovered.Store(true)
				time.Sleep(30 * time.Second) // the breakers of the part close
				if err := p.continueAs(b, "q", "u2"); err != nil {
					t.Fatal(err)
				}
				p.removeProgram()
				p.checkContinued("q", "u1")
				p.checkContinued("q", "u2")
			})
		})
	}
}

// TestRowsOfInheritedTurnsAreRemoved checks that the rows of three programs, each of which continues from the one
// before, are all removed by the ledgers that wrote them, and that each program's turns are kept until then.
func TestRowsOfInheritedTurnsAreRemoved(t *testing.T) {
	forChains(t, func(t *testing.T, turns, size int) {
		virtualtime.Test(t, func(t *testing.T) {
			p := newInheritingPrograms(t, turns, size)
			ledgers := []*ledger.Ledger{p.writer}
			for _, program := range []string{"q", "r"} {
				l := ledger.New(ledger.Options{Table: p.table, RunID: program})
				ledgers = append(ledgers, l)
				id := "first-" + program
				if err := p.continueAs(l, program, id); err != nil {
					t.Fatal(err)
				}
				p.checkContinued(program, id)
				p.last, p.history = id, p.history+"in "+id+"out "+id+"\n"
			}
			p.removeProgram()
			p.history = strings.TrimSuffix(p.history, "in first-rout first-r\n")
			p.checkContinued("r", "first-r")
			time.Sleep(3 * time.Minute)
			for _, l := range ledgers {
				l.Sweep(context.Background())
			}
			if left := p.table.keys(""); len(left) > 0 {
				t.Errorf("%d rows are left, as %s", len(left), left[0])
			}
		})
	})
}

// TestRemovalKeepsTheTurnsThatWereInherited removes the rows of a program whose part is that of the program that it
// continues from, whose turns are still kept.
func TestRemovalKeepsTheTurnsThatWereInherited(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newInheritingPrograms(t, 3, 100)
		samePart := ""
		for number := 0; samePart == ""; number++ {
			if name := fmt.Sprintf("q%d", number); strings.TrimSuffix(ledger.AccountKey(name), name+"/") == strings.TrimSuffix(ledger.AccountKey("p"), "p/") {
				samePart = name
			}
		}
		l := ledger.New(ledger.Options{Table: p.table, RunID: "b"})
		if err := p.continueAs(l, samePart, "u1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Minute) // the time of p's own ledger is another one
		l.Sweep(context.Background())
		reader := ledger.New(ledger.Options{Table: p.table, RunID: "reader"})
		run, problem := reader.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: "another", Previous: p.last})
		if problem != nil {
			t.Fatalf("a turn of p after the removal of %s: %v", samePart, problem)
		}
		if string(run.History) != p.history {
			t.Errorf("%d bytes of history, want %d", len(run.History), len(p.history))
		}
	})
}

// TestUnknownPreviousTurnIsStillMissing checks that a turn of a program that was removed is answered as missing where no
// program has inherited it.
func TestUnknownPreviousTurnIsStillMissing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newInheritingPrograms(t, 3, 100)
		p.removeProgram()
		reader := ledger.New(ledger.Options{Table: p.table, RunID: "reader"})
		_, problem := reader.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: "q", Previous: p.last})
		if problem == nil || problem.Code != api.CallNotFound {
			t.Errorf("got %v, want call_not_found", problem)
		}
	})
}
