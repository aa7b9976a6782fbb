package ledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// delayedTable is a table without rows that answers calls after a delay, and stores nothing.
type delayedTable struct {
	delay  atomic.Int64
	writes atomic.Int64
}

// wait blocks for the delay of a call.
func (l *delayedTable) wait(ctx context.Context) error {
	timer := time.NewTimer(time.Duration(l.delay.Load()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), tablestore.ErrUnknownOutcome)
	}
}

// Commit implements tablestore.Table.
func (l *delayedTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	receipt := tablestore.Receipt{Revisions: make(map[string]uint64)}
	for _, write := range transaction.Writes {
		receipt.Revisions[write.Key] = uint64(l.writes.Add(1))
	}
	return receipt, l.wait(ctx)
}

// Get implements tablestore.Table.
func (l *delayedTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	return tablestore.Row{Key: key}, l.wait(ctx)
}

// Range implements tablestore.Table.
func (l *delayedTable) Range(ctx context.Context, _, _ string, _ int) (tablestore.Page, error) {
	return tablestore.Page{}, l.wait(ctx)
}

// TestSlowTableIsReadByNodesThatWriteNothing delays each answer by more than the timeout of a read of a fast table,
// at a node whose calls are all reads. The node detects that the table is slow,
// and does not treat it as down for as long as it is slow.
func TestSlowTableIsReadByNodesThatWriteNothing(t *testing.T) {
	for _, delay := range []time.Duration{350 * time.Millisecond, 600 * time.Millisecond} {
		virtualtime.Test(t, func(t *testing.T) {
			const programs = 20
			table := &delayedTable{}
			l := New(Options{Table: table, RunID: "a"})
			table.delay.Store(int64(8 * time.Millisecond))
			for i := range programs {
				if err := readOnce(t, l, i); err != nil {
					t.Fatal(err)
				}
			}
			table.delay.Store(int64(delay))
			const detectionTime = 2 * time.Second
			began := time.Now()
			var callers sync.WaitGroup
			var failed atomic.Int64
			for i := range programs {
				callers.Go(func() {
					time.Sleep(time.Duration(i) * 10 * time.Millisecond) // virtual
					for time.Since(began) < 2*detectionTime {
						start := time.Now()
						if err := readOnce(t, l, i); err != nil && start.Sub(began) > detectionTime {
							failed.Add(1)
						}
						time.Sleep(100 * time.Millisecond) // virtual
					}
				})
			}
			callers.Wait()
			if failed.Load() > 0 {
				t.Errorf("answers after %s: %d reads failed after the table had been slow for %s", delay, failed.Load(), detectionTime)
			}
		})
	}
}

// readOnce reads the account of one of several programs in different parts, as a starting turn does.
func readOnce(t *testing.T, l *Ledger, number int) error {
	ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
	defer cancel()
	e := l.entryOf(fmt.Sprint("p", number))
	return l.readAccount(ctx, e, number%Parts)
}

// TestTableThatBecomesSlowHasNoUnresponsiveParts starts programs while the table becomes slow as a whole.
// One late answer does not show that the parts of the calls still in flight are unresponsive:
// no call is abandoned or sent again.
func TestTableThatBecomesSlowHasNoUnresponsiveParts(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := &delayedTable{}
		l := New(Options{Table: table, RunID: "a"})
		begin := func(program string) *api.Error {
			ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
			defer cancel()
			_, problem := l.Begin(ctx, TurnRequest{Program: program, Budget: 10_000, MaxTokens: 100, InputBytes: 1})
			return problem
		}
		table.delay.Store(int64(8 * time.Millisecond))
		if problem := begin("first"); problem != nil {
			t.Fatal(problem)
		}
		table.delay.Store(int64(400 * time.Millisecond))
		const programs = 30
		table.writes.Store(0)
		var callers sync.WaitGroup
		for i := range programs {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond) // virtual
				if problem := begin(fmt.Sprint("p", i)); problem != nil {
					t.Errorf("program %d: %v", i, problem)
				}
			})
		}
		callers.Wait()
		if writes := table.writes.Load(); writes != programs {
			t.Errorf("%d writes for %d programs", writes, programs)
		}
	})
}
