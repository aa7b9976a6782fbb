package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// chunkedTable is a table whose reads arrive in ten chunks, each after chunkDelay.
type chunkedTable struct {
	delayedTable
	chunkDelay time.Duration
}

// Range implements tablestore.Table.
func (t *chunkedTable) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	for range 10 {
		timer := time.NewTimer(t.chunkDelay)
		select {
		case <-timer.C:
			progress.Report(ctx)
		case <-ctx.Done():
			timer.Stop()
			return tablestore.Page{}, ctx.Err()
		}
	}
	return t.delayedTable.Range(ctx, start, end, limit)
}

// TestLongHistoryIsReadWhileItArrives sends the rows of a program over a whole second, as over a busy link. A
// read times out after 0.3 s without a chunk, and not 0.3 s after its start: a retry would start over, and get no
// further. A timeout from the start kept a configuration from reaching a region.
func TestLongHistoryIsReadWhileItArrives(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := New(Options{Table: &chunkedTable{chunkDelay: 100 * time.Millisecond}, RunID: "run"})
		// 33 reads of one second, eight in parallel, take 5 s.
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		start := time.Now()
		run, problem := l.Begin(ctx, TurnRequest{Program: "p", Budget: 10_000, MaxTokens: 100, Previous: "t0"})
		if problem != nil && problem.Code.String() != "call_not_found" { // the table has no rows
			t.Errorf("after %s: %v", time.Since(start), problem)
		}
		if run != nil {
			t.Error("found a turn that has no rows")
		}
	})
}
