package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/platform"
)

// flakyTable is a table whose calls take between 1 and 40 ms. Some responses are lost, before or after the write is
// applied.
type flakyTable struct {
	*delayedTable
	mutex  sync.Mutex
	random *rand.Rand
}

// draw returns how long a call takes before and after it is applied, and whether its response is lost.
func (u *flakyTable) draw() (before, after time.Duration, lost bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	span := func() time.Duration { return time.Duration(1+u.random.IntN(20)) * time.Millisecond }
	return span(), span(), u.random.IntN(8) == 0
}

func (u *flakyTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	before, after, lost := u.draw()
	done := make(chan struct{})
	var receipt tablestore.Receipt
	var err error
	go func() { // the write is applied whether its caller waits or not
		defer close(done)
		time.Sleep(before)
		receipt, err = u.delayedTable.Commit(context.Background(), transaction)
		time.Sleep(after)
	}()
	if lost {
		<-ctx.Done()
		return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
	}
	select {
	case <-done:
		return receipt, err
	case <-ctx.Done():
		return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
	}
}

func (u *flakyTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	before, after, _ := u.draw()
	if sleep(ctx, before+after) != nil {
		return tablestore.Row{}, ctx.Err()
	}
	return u.delayedTable.Get(ctx, key)
}

// TestTwoHoldersKeepTheBudget runs turns of one program at two nodes at once, one of which is stopping, with a table
// that loses responses.
func TestTwoHoldersKeepTheBudget(t *testing.T) {
	const budget, tokensPerTurn = 324, 36
	for seed := range uint64(400) {
		var used atomic.Int64
		virtualtime.Test(t, func(t *testing.T) {
			table := &flakyTable{delayedTable: newDelayedTable(), random: rand.New(rand.NewPCG(seed, 1))}
			nodes := []*ledger.Ledger{
				ledger.New(ledger.Options{Table: table, RunID: "a"}), ledger.New(ledger.Options{Table: table, RunID: "b"}),
			}
			ctx, stop := context.WithCancel(t.Context())
			var tasks sync.WaitGroup
			for i := range 6 {
				random := rand.New(rand.NewPCG(seed, uint64(2+i)))
				tasks.Go(func() {
					for turn := range 8 {
						time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
						used.Add(runTurn(nodes[i%2], random, fmt.Sprintf("t%d.%d", i, turn), tokensPerTurn, budget))
					}
				})
			}
			tasks.Go(func() {
				time.Sleep(time.Duration(100+seed%300) * time.Millisecond)
				nodes[1].Drain(ctx)
			})
			time.Sleep(20 * time.Second)
			stop()
			tasks.Wait()
		})
		if got := used.Load(); got > budget+tokensPerTurn {
			t.Errorf("seed %d: %d tokens were used of a budget of %d and turns of %d", seed, got, budget, tokensPerTurn)
		}
	}
}

// runTurn runs a turn if it is admitted, and returns the tokens that it used.
func runTurn(l *ledger.Ledger, random *rand.Rand, id string, maxTokens, budget int64) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request := ledger.TurnRequest{Program: "p", Budget: budget, MaxTokens: maxTokens}
	var run *ledger.RunningTurn
	if random.IntN(2) == 0 {
		reserved, err := l.ReserveForPeer(ctx, request, func() {})
		if err != nil {
			return 0
		}
		run = reserved
	} else {
		admitted, problem := l.Begin(ctx, request)
		if problem != nil {
			return 0
		}
		run = admitted
	}
	time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	var kept *ledger.Turn
	if random.IntN(2) == 0 {
		kept = &ledger.Turn{ID: id, Input: []byte("in")}
	}
	_ = run.Settle(ctx, maxTokens, kept) // the tokens are used even if the turn is not recorded
	return maxTokens
}

// gatedResponseTable is a table that applies writes at once, and delays their responses while a gate is set.
type gatedResponseTable struct {
	tablestore.Table
	gate    atomic.Pointer[chan struct{}]
	applied chan struct{} // receives one value for each write whose response is delayed
	rejects atomic.Bool
}

func (a *gatedResponseTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	if a.rejects.Load() {
		return tablestore.Receipt{}, tablestore.ErrUnavailable
	}
	receipt, err := a.Table.Commit(ctx, transaction)
	if gate := a.gate.Load(); gate != nil {
		a.applied <- struct{}{}
		<-*gate
	}
	return receipt, err
}

// TestARowReadDuringItsWriteCoversOneTurn starts a turn that requests the rest of a budget. Its write is applied, and
// before the response comes, another turn of the program reads its history, and the account with it. That turn must
// not take the tokens that the first turn requested: both turns ran, and a program used 396 tokens of a budget of
// 324 with turns of 36.
func TestARowReadDuringItsWriteCoversOneTurn(t *testing.T) {
	const spent, budget = 40, 40 + 2*turnTokens
	store := newStore(t)
	request := ledger.TurnRequest{Program: "p", Budget: budget, MaxTokens: turnTokens}
	other := newLedger(store, "b")
	run, problem := other.Begin(within(t, 5*time.Second), request)
	if problem != nil {
		t.Fatal(problem)
	}
	if err := run.Settle(within(t, 5*time.Second), spent, &ledger.Turn{ID: "t0", Input: []byte("in")}); err != nil {
		t.Fatal(err)
	}
	other.ReturnAllowances(within(t, 5*time.Second))
	table := &gatedResponseTable{Table: platform.NewStore(store.Address(), nil), applied: make(chan struct{}, 8)}
	l := ledger.New(ledger.Options{Table: table, RunID: "a"})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	l.Drain(ended) // nothing is reserved ahead
	first, problem := l.Begin(within(t, 5*time.Second), request)
	if problem != nil {
		t.Fatal(problem)
	}
	table.rejects.Store(true)
	_ = first.Settle(within(t, 10*time.Millisecond), turnTokens, nil) // its tokens are charged by the next write
	table.rejects.Store(false)
	gate := make(chan struct{})
	table.gate.Store(&gate)
	problems := make(chan *api.Error, 2)
	begin := func(previous string) {
		turnRequest := request
		turnRequest.Previous = previous
		_, problem := l.Begin(within(t, 5*time.Second), turnRequest)
		problems <- problem
	}
	go begin("")
	select {
	case <-table.applied:
	case problem := <-problems:
		t.Fatalf("no write was applied: %v", problem)
	}
	go begin("t0")
	var outcomes []*api.Error
	select {
	case problem := <-problems: // it did not wait for the write
		outcomes = append(outcomes, problem)
	case <-time.After(300 * time.Millisecond):
	}
	table.gate.Store(nil)
	close(gate)
	for len(outcomes) < 2 {
		outcomes = append(outcomes, <-problems)
	}
	granted := 1
	for _, problem := range outcomes {
		if problem == nil {
			granted++
		}
	}
	if spent+int64(granted)*turnTokens > budget {
		t.Errorf("%d turns of %d tokens run, with %d tokens spent, on a budget of %d that no other node uses", granted, turnTokens, spent, budget)
	}
}
