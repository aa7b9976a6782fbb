package ledger_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// slowTableWithLateRead is a table that takes 1.1 s for a write and 150 ms for a read, but late for the first read
// after set.
type slowTableWithLateRead struct {
	*delayedTable
	slow  atomic.Bool
	reads atomic.Int64
	late  time.Duration
}

func (s *slowTableWithLateRead) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	if s.slow.Load() {
		if sleep(ctx, 1100*time.Millisecond) != nil {
			s.count(1)
			s.count(-1)
			return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
		}
	}
	return s.delayedTable.Commit(ctx, transaction)
}

func (s *slowTableWithLateRead) Get(ctx context.Context, key string) (tablestore.Row, error) {
	if s.slow.Load() {
		delay := 150 * time.Millisecond
		if s.reads.Add(1) == 1 {
			delay = s.late
		}
		if err := sleep(ctx, delay); err != nil {
			return tablestore.Row{}, err
		}
	}
	return s.delayedTable.Get(ctx, key)
}

// TestLateReadIsNoGroundToSendAQueuedWriteAgain guards against queued writes that are sent again, to the end of the
// same queue, because the one read that would have shown the queue was late: for a moment of the node's own, or lost.
func TestLateReadIsNoGroundToSendAQueuedWriteAgain(t *testing.T) {
	for _, late := range []time.Duration{290 * time.Millisecond, 310 * time.Millisecond, 600 * time.Millisecond, time.Hour} {
		t.Run(late.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				table := &slowTableWithLateRead{delayedTable: newDelayedTable(), late: late}
				table.set(fastWrite)
				l := ledger.New(ledger.Options{Table: table, RunID: "a"})
				recordTurn(t, l, "quick", "t0", "")
				table.set(fastWrite)
				table.slow.Store(true)
				recordTurn(t, l, "p", "t1", "")
				if table.writes != 2 {
					t.Errorf("%d writes for reservation and record of one turn, want 2", table.writes)
				}
			})
		})
	}
}
