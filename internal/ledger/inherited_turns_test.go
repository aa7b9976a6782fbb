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
	"github.com/pewtermill/pewtermill/internal/standin/operators"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
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

// playedTurn is a turn that was answered whole.
type playedTurn struct {
	id, program string
	history     string // with its own input and output
	endedAt     time.Time
}

// keptFor is the retention of the turns of these tests.
const keptFor = time.Minute

// programsOverTime plays programs whose turns continue from each other's, at ledgers that share a table and sweep.
type programsOverTime struct {
	t       *testing.T
	table   *sharedTable
	seed    uint64
	oneEach bool // all turns of a program are served by the same ledger
	restart bool // ledgers are replaced by new runs at times, as when processes are killed

	mutex   sync.Mutex
	random  *rand.Rand
	ledgers []*ledger.Ledger
	runs    int
	turns   []*playedTurn
	refused int
}

func (p *programsOverTime) intN(n int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.random.IntN(n)
}

func (p *programsOverTime) newLedger() *ledger.Ledger {
	p.runs++
	return ledger.New(ledger.Options{Table: p.table, RunID: fmt.Sprintf("run%d", p.runs)})
}

// ledgerOf returns the ledger that serves the next turn of a program.
func (p *programsOverTime) ledgerOf(program string) *ledger.Ledger {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.oneEach {
		return p.ledgers[int(program[len(program)-1])%len(p.ledgers)]
	}
	return p.ledgers[p.random.IntN(len(p.ledgers))]
}

// anyTurn returns a turn that is kept, of the program or, mostly, of any; nil if there is none.
func (p *programsOverTime) anyTurn(program string) *playedTurn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	own := p.random.IntN(3) > 0
	var kept []*playedTurn
	for _, turn := range p.turns {
		if time.Since(turn.endedAt) < keptFor-5*time.Second && (!own || turn.program == program) {
			kept = append(kept, turn)
		}
	}
	if len(kept) == 0 {
		return nil
	}
	return kept[p.random.IntN(len(kept))]
}

// play runs one turn of a program.
func (p *programsOverTime) play(program, id string, size int) {
	previous := p.anyTurn(program)
	request := ledger.TurnRequest{Program: program, Budget: 1_000_000, MaxTokens: 100, InputBytes: size, Retention: keptFor}
	before := ""
	if previous != nil {
		request.Previous, before = previous.id, previous.history
	}
	l := p.ledgerOf(program)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	run, problem := l.Begin(ctx, request)
	if problem != nil {
		if problem.Code == api.CallNotFound && time.Since(previous.endedAt) < keptFor {
			p.t.Errorf("seed %d: turn %s of program %s, answered %s ago, was not found for program %s: %v",
				p.seed, previous.id, previous.program, time.Since(previous.endedAt), program, problem)
		}
		p.mutex.Lock()
		p.refused++
		p.mutex.Unlock()
		return
	}
	if string(run.History) != before {
		p.t.Errorf("seed %d: turn %s of program %s got %d bytes of history, want %d", p.seed, id, program, len(run.History), len(before))
	}
	time.Sleep(time.Duration(p.intN(3000)) * time.Millisecond)
	input := "in " + id + strings.Repeat("#", size)
	turn := &ledger.Turn{ID: id, Parent: request.Previous, Input: []byte(input), Output: []byte("out " + id + "\n")}
	record, cancelRecord := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancelRecord()
	if run.Settle(record, 40, turn) != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.turns = append(p.turns, &playedTurn{id: id, program: program, history: before + input + "out " + id + "\n", endedAt: time.Now()})
}

// sweepAll sweeps the ledgers every 30 s until done is closed.
func (p *programsOverTime) sweepAll(tasks *sync.WaitGroup, done chan struct{}) {
	for i := range p.ledgers {
		tasks.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(15+p.intN(30)) * time.Second):
				}
				p.mutex.Lock()
				if p.restart && p.random.IntN(6) == 0 {
					p.ledgers[i] = p.newLedger()
				}
				l := p.ledgers[i]
				p.mutex.Unlock()
				l.Sweep(context.Background())
			}
		})
	}
}

// TestContinuedTurnsKeepTheirChain plays programs that continue from each other's turns while their rows are removed, with
// pauses that let the rows of the earlier programs expire. No turn that is to be kept may be taken for missing, and each gets its
// whole chain. Where one ledger serves all turns of a program, and nothing fails, all rows are removed in the end.
func TestContinuedTurnsKeepTheirChain(t *testing.T) {
	for _, kind := range []string{"one_ledger_each", "any_ledger", "lossy", "restarts"} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprintf("%s/%d", kind, seed), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) { playPrograms(t, kind, seed) })
			})
		}
	}
}

func playPrograms(t *testing.T, kind string, seed uint64) {
	table := newSharedTable(t)
	calm := kind == "one_ledger_each" || kind == "any_ledger"
	table.random, table.lossy = rand.New(rand.NewPCG(seed, 1)), !calm
	p := &programsOverTime{t: t, table: table, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), oneEach: kind == "one_ledger_each", restart: kind == "restarts"}
	for range 3 {
		p.ledgers = append(p.ledgers, p.newLedger())
	}
	done := make(chan struct{})
	var sweeps, programs sync.WaitGroup
	p.sweepAll(&sweeps, done)
	size := []int{10, 10, 10, 60_000}[seed%4]
	for number := range 12 {
		programs.Go(func() {
			time.Sleep(time.Duration(number) * 35 * time.Second) // each starts as the rows of earlier ones may be removed
			for turn := range 6 {
				time.Sleep(time.Duration(p.intN(25)) * time.Second)
				p.play(fmt.Sprintf("p%d", number), fmt.Sprintf("t%d-%d", number, turn), size)
			}
		})
	}
	programs.Wait()
	time.Sleep(10 * time.Minute) // all programs expire, and are swept
	close(done)
	sweeps.Wait()
	if left := table.keys(""); p.oneEach && len(left) > 0 {
		t.Errorf("seed %d: %d rows are never removed, as %v", seed, len(left), left[0])
	}
	if calm && p.refused > 0 {
		t.Errorf("seed %d: %d turns were refused though the table answers", seed, p.refused)
	}
	if len(p.turns) < 20 {
		t.Errorf("seed %d: only %d turns were answered", seed, len(p.turns))
	}
}
