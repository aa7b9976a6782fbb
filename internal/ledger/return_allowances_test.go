package ledger_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// delayedTable is a table in memory that answers after a delay, in virtual time.
type delayedTable struct {
	mutex         sync.Mutex
	delay         time.Duration // of each call
	rows          map[string]tablestore.Row
	version       uint64
	writes        int
	concurrent    int // writes in flight
	maxConcurrent int // largest number of writes in flight at any time
}

func newDelayedTable() *delayedTable { return &delayedTable{rows: make(map[string]tablestore.Row)} }

func (d *delayedTable) set(delay time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.delay, d.writes, d.maxConcurrent = delay, 0, 0
}

// wait blocks for the delay of a call.
func (d *delayedTable) wait(ctx context.Context) error {
	d.mutex.Lock()
	delay := d.delay
	d.mutex.Unlock()
	return sleep(ctx, delay)
}

// count counts the start of a write or, if by is below 0, its end.
func (d *delayedTable) count(by int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.writes += max(0, by)
	d.concurrent += by
	d.maxConcurrent = max(d.maxConcurrent, d.concurrent)
}

func (d *delayedTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	d.count(1)
	defer d.count(-1)
	if d.wait(ctx) != nil {
		return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for i, condition := range transaction.Conditions {
		if row := d.rows[condition.Key]; row.Revision != condition.Revision {
			row.Key = condition.Key
			return tablestore.Receipt{}, &tablestore.ConflictError{Index: i, Current: row}
		}
	}
	d.version++
	receipt := tablestore.Receipt{Revisions: make(map[string]uint64)}
	for _, write := range transaction.Writes {
		d.rows[write.Key] = tablestore.Row{Key: write.Key, Value: write.Value, Revision: d.version}
		receipt.Revisions[write.Key] = d.version
	}
	return receipt, nil
}

func (d *delayedTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	if err := d.wait(ctx); err != nil {
		return tablestore.Row{}, err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	row := d.rows[key]
	row.Key = key
	return row, nil
}

// Range returns an account's row; these tests read no turns.
func (d *delayedTable) Range(ctx context.Context, start, _ string, _ int) (tablestore.Page, error) {
	row, err := d.Get(ctx, start)
	if err != nil || row.Revision == 0 {
		return tablestore.Page{}, err
	}
	return tablestore.Page{Rows: []tablestore.Row{row}}, nil
}

// heldTokens returns the sum of the allowances in all accounts.
func (d *delayedTable) heldTokens(t *testing.T) int64 {
	t.Helper()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var sum int64
	for key, row := range d.rows {
		if !strings.HasPrefix(key, "program-turns/") || !strings.HasSuffix(key, "/") {
			continue
		}
		var account ledger.Account
		if err := json.Unmarshal(row.Value, &account); err != nil {
			t.Error(err)
		}
		sum += account.Outstanding()
	}
	return sum
}

const (
	slowWrite    = 300 * time.Millisecond
	fastWrite    = 5 * time.Millisecond
	totalBudget  = 1000
	manyPrograms = 102
)

// measureWrites makes a ledger write until its smoothed response times match the table's current delay.
func measureWrites(t *testing.T, l *ledger.Ledger, runID string) {
	t.Helper()
	for range 12 {
		reserve(t, l, "another", totalBudget).Abandon()
		if _, err := l.ReturnUnused(t.Context(), "another", runID); err != nil {
			t.Error(err)
		}
	}
}

// reserve reserves the tokens of a turn of a program.
func reserve(t *testing.T, l *ledger.Ledger, program string, budget int64) *ledger.RunningTurn {
	t.Helper()
	run, err := l.ReserveForPeer(t.Context(), ledger.TurnRequest{Program: program, Budget: budget, MaxTokens: turnTokens}, func() {})
	if err != nil {
		t.Fatalf("program %s: %v", program, err)
	}
	return run
}

// reserveWhileSlow returns a ledger over a table that has become slow, and one running turn of each of many programs;
// the programs' allowances comprise their whole budgets.
func reserveWhileSlow(t *testing.T) (*ledger.Ledger, *delayedTable, []*ledger.RunningTurn) {
	t.Helper()
	table := newDelayedTable()
	l := ledger.New(ledger.Options{Table: table, RunID: "a"})
	l.SetOwners(noOwner{})
	table.set(fastWrite)
	measureWrites(t, l, "a")
	table.set(slowWrite)
	measureWrites(t, l, "a")
	runs := make([]*ledger.RunningTurn, manyPrograms)
	var group sync.WaitGroup
	for i := range runs {
		group.Go(func() { runs[i] = reserve(t, l, fmt.Sprintf("p%d", i), totalBudget) })
	}
	group.Wait()
	return l, table, runs
}

// settleAll ends turns that used half of their max tokens.
func settleAll(t *testing.T, runs []*ledger.RunningTurn) {
	t.Helper()
	for _, run := range runs {
		if err := run.Settle(t.Context(), turnTokens/2, nil); err != nil {
			t.Error(err)
		}
	}
}

// TestStopGivesBackBesideTurns stops a node while its table is slow. Half of the programs are idle, the
// turns of the others end one after another. After the last one has ended, all allowances have been returned.
func TestStopGivesBackBesideTurns(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l, table, runs := reserveWhileSlow(t)
		settleAll(t, runs[:manyPrograms/2])
		before := table.heldTokens(t)
		table.set(slowWrite)
		var drain sync.WaitGroup
		drain.Go(func() { l.Drain(t.Context()) })
		time.Sleep(1500 * time.Millisecond)
		for _, run := range runs[manyPrograms/2:] {
			settleAll(t, []*ledger.RunningTurn{run})
			time.Sleep(20 * time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		l.ReturnAllowances(ctx)
		t.Logf("%d of %d tokens are still held, after %d writes, at most %d concurrent", table.heldTokens(t), before, table.writes, table.maxConcurrent)
		if held := table.heldTokens(t); held > 0 {
			t.Errorf("%d of %d tokens are still held after a planned stop", held, before)
		}
		drain.Wait()
	})
}

// TestReturnToAnUnresponsiveTableEnds makes the table unresponsive while allowances are held. The stop must not
// take as long as its grace period because of that.
func TestReturnToAnUnresponsiveTableEnds(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l, table, runs := reserveWhileSlow(t)
		settleAll(t, runs)
		table.set(time.Hour)
		began := time.Now()
		l.ReturnAllowances(within(t, time.Minute))
		t.Logf("%s, %d writes", time.Since(began), table.writes)
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("returning allowances to an unresponsive table took %s", took)
		}
	})
}

// TestHeldTokensShrinkOnceTheTableIsQuick makes the table fast again while programs are idle, at a node that
// measures it by other turns and at one that makes no calls.
func TestHeldTokensShrinkOnceTheTableIsQuick(t *testing.T) {
	const (
		normalShare = 2 * turnTokens // a quarter of the unspent budget
		seconds     = 30
		aSecond     = 10 // writes
	)
	for name, others := range map[string]bool{"busy": true, "idle": false} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				l, table, runs := reserveWhileSlow(t)
				settleAll(t, runs[1:])
				l.ShrinkAllowances(t.Context())
				before := table.heldTokens(t)
				table.set(fastWrite)
				if others {
					measureWrites(t, l, "a")
				}
				table.set(fastWrite)
				for range seconds {
					l.ShrinkAllowances(t.Context())
					time.Sleep(time.Second)
				}
				held, writes := table.heldTokens(t), table.writes
				t.Logf("%d of %d tokens are held after %d writes", held, before, writes)
				if want := int64(normalShare*(manyPrograms-1) + 9*turnTokens); held > want {
					t.Errorf("%d of %d tokens are held, want at most %d", held, before, want)
				}
				if writes > manyPrograms || table.maxConcurrent > 1 {
					t.Errorf("%d writes, at most %d concurrent, for %d programs", writes, table.maxConcurrent, manyPrograms-1)
				}
				settleAll(t, runs[:1])
				table.set(fastWrite)
				l.ShrinkAllowances(t.Context())
				l.ShrinkAllowances(t.Context())
				if table.writes != 1 {
					t.Errorf("%d writes for a program whose turn has ended, want 1", table.writes)
				}
			})
		})
	}
}

// TestHeldTokensStayWhileTheTableIsSlow counts the writes that ShrinkAllowances costs a slow table.
func TestHeldTokensStayWhileTheTableIsSlow(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l, table, runs := reserveWhileSlow(t)
		settleAll(t, runs)
		table.set(slowWrite)
		const seconds, writes = 20, 4
		for range seconds {
			l.ShrinkAllowances(t.Context())
			time.Sleep(time.Second)
		}
		if table.writes > writes {
			t.Errorf("%d writes in %d s while the table is slow", table.writes, seconds)
		}
	})
}

// slowHolder is a node that answers recalls, over a slow table.
type slowHolder struct {
	noOwner
	holder *ledger.Ledger
}

// Recall implements ledger.Owners. A write of the program is in flight at the holder, and is applied first.
// As at a real node, the holder completes the return even if the requester disconnects.
func (h slowHolder) Recall(ctx context.Context, _, runID, program string) (bool, error) {
	results := make(chan error, 1)
	go func() {
		time.Sleep(slowWrite)
		_, err := h.holder.ReturnUnused(context.WithoutCancel(ctx), program, runID)
		results <- err
	}()
	select {
	case err := <-results:
		return false, err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// TestRecallWaitsForSlowWrites starts a turn that needs tokens that another node has reserved ahead, while a write
// takes longer than the timeout of a recall with a fast table.
func TestRecallWaitsForSlowWrites(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newDelayedTable()
		nodes := make(map[string]*ledger.Ledger)
		for _, name := range []string{"a", "b"} {
			nodes[name] = ledger.New(ledger.Options{Table: table, RunID: name, Address: func() string { return name }})
			nodes[name].SetOwners(noOwner{})
			table.set(fastWrite)
			measureWrites(t, nodes[name], name)
			table.set(slowWrite)
			measureWrites(t, nodes[name], name)
		}
		nodes["b"].SetOwners(slowHolder{holder: nodes["a"]})
		reserve(t, nodes["a"], "p", totalBudget).Abandon()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		began := time.Now()
		_, err := nodes["b"].ReserveForPeer(ctx, ledger.TurnRequest{Program: "p", Budget: totalBudget, MaxTokens: 3 * turnTokens}, func() {})
		t.Logf("%s: %v", time.Since(began), err)
		if err != nil {
			t.Errorf("a turn that fits without the unused tokens of another node was rejected: %v", err)
		}
		time.Sleep(time.Minute) // virtual: no call is in flight after it
	})
}

// TestRecallOfAnUnresponsiveHolderEnds recalls an allowance from a holder that does not respond.
func TestRecallOfAnUnresponsiveHolderEnds(t *testing.T) {
	for _, trial := range []struct{ write, limit time.Duration }{
		{fastWrite, 300 * time.Millisecond},
		{slowWrite, 1600 * time.Millisecond},
		{2 * slowWrite, 2300 * time.Millisecond},
	} {
		virtualtime.Test(t, func(t *testing.T) {
			table := newDelayedTable()
			a := ledger.New(ledger.Options{Table: table, RunID: "a", Address: func() string { return "a" }})
			b := ledger.New(ledger.Options{Table: table, RunID: "b"})
			b.SetOwners(unresponsiveHolder{})
			for _, delay := range []time.Duration{fastWrite, (fastWrite + trial.write) / 2, trial.write} {
				table.set(delay)
				measureWrites(t, b, "b")
			}
			reserve(t, a, "p", 2*turnTokens).Abandon()
			began := time.Now()
			_, err := b.ReserveForPeer(t.Context(), ledger.TurnRequest{Program: "p", Budget: 2 * turnTokens, MaxTokens: 2 * turnTokens}, func() {})
			took := time.Since(began)
			t.Logf("writes of %s: %s, %v", trial.write, took, err)
			if !errors.Is(err, ledger.ErrBudgetUnsettled) || took > trial.limit {
				t.Errorf("writes of %s: got %v after %s, want ErrBudgetUnsettled within %s", trial.write, err, took, trial.limit)
			}
		})
	}
}

// unresponsiveHolder is a node that does not respond to recalls.
type unresponsiveHolder struct{ noOwner }

// Recall implements ledger.Owners.
func (unresponsiveHolder) Recall(ctx context.Context, _, _, _ string) (bool, error) {
	<-ctx.Done()
	return false, ctx.Err()
}
