package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// lossyTable is a table that never answers the first lost reads of rows, nor, while silent is set, any small read.
// Other calls are answered after 4 ms.
type lossyTable struct {
	delayedTable
	lost   int64
	silent bool
	ranges atomic.Int64
	gets   atomic.Int64
}

// Range implements tablestore.Table.
func (t *lossyTable) Range(ctx context.Context, _, _ string, _ int) (tablestore.Page, error) {
	return tablestore.Page{}, t.answer(ctx, t.ranges.Add(1) <= t.lost)
}

// Get implements tablestore.Table.
func (t *lossyTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	t.gets.Add(1)
	return tablestore.Row{Key: key}, t.answer(ctx, t.silent)
}

func (t *lossyTable) answer(ctx context.Context, isLost bool) error {
	answer := time.NewTimer(4 * time.Millisecond)
	defer answer.Stop()
	if isLost {
		answer.Stop()
	}
	select {
	case <-answer.C:
		return nil
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), tablestore.ErrUnknownOutcome)
	}
}

// TestLostReadIsSentAgainSoon loses one read of a node that makes no other call. Nothing but the node's own small reads
// shows that the table answers.
func TestLostReadIsSentAgainSoon(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := &lossyTable{lost: 1}
		l := New(Options{Table: table, RunID: "run"})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		start := time.Now()
		if _, _, err := l.readProgram(ctx, 0, "p"); err != nil {
			t.Fatal(err)
		}
		if took, limit := time.Since(start), readTimeout+readTimeout/3; took > limit {
			t.Errorf("took %s, want at most %s", took, limit)
		}
		if ranges := table.ranges.Load(); ranges != 2 {
			t.Errorf("%d reads, want 2", ranges)
		}
	})
}

// TestReadOfASilentTableFailsInItsCallersTime has a table answer nothing. The caller is told while it has time for
// another node: no later than two reads would take, or half of its time, and with no read sent twice. The first timeout
// counts against the table at once.
func TestReadOfASilentTableFailsInItsCallersTime(t *testing.T) {
	for _, c := range []struct{ wait, want time.Duration }{
		{900 * time.Millisecond, maxUnansweredReads * readTimeout},
		{1500 * time.Millisecond, 750 * time.Millisecond},
		{2 * time.Second, silenceTimeout},
		{10 * time.Second, silenceTimeout},
	} {
		t.Run(c.wait.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				table := &lossyTable{lost: 100, silent: true}
				l := New(Options{Table: table, RunID: "run"})
				ctx, cancel := context.WithTimeout(t.Context(), c.wait)
				defer cancel()
				start := time.Now()
				time.AfterFunc(readTimeout+time.Millisecond, func() {
					if !l.health.isFailing(0) {
						t.Error("a read without an answer for the timeout of a read does not count against its part")
					}
				})
				if _, _, err := l.readProgram(ctx, 0, "p"); err == nil {
					t.Fatal("read from a silent table")
				}
				if took := time.Since(start); took != c.want {
					t.Errorf("took %s, want %s", took, c.want)
				}
				if ranges := table.ranges.Load(); ranges != 1 {
					t.Errorf("%d reads, want 1", ranges)
				}
				if gets, limit := table.gets.Load(), int64(2*c.want/readTimeout); gets > limit {
					t.Errorf("%d small reads, want at most %d", gets, limit)
				}
			})
		})
	}
}

// TestReadsOfOneNodeQueueBehindEachOther reads the histories of several programs of one node at once, over a link on
// which the last one begins to arrive after .77 s. None may be sent twice, and they share the small reads.
func TestReadsOfOneNodeQueueBehindEachOther(t *testing.T) {
	const programs, historyBytes, linkBytes = 30, 200_000, 60e6 / 8
	virtualtime.Test(t, func(t *testing.T) {
		link := &queuedLink{bytesPerSecond: linkBytes}
		l := New(Options{Table: &farTable{link: link, bytes: historyBytes}, RunID: "run"})
		var reads sync.WaitGroup
		for part := range programs {
			reads.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				if _, _, err := l.readProgram(ctx, part, "p"); err != nil {
					t.Errorf("part %d: %v", part, err)
				}
			})
		}
		reads.Wait()
		if sent := link.bytes / historyBytes; sent != programs {
			t.Errorf("the link carried %d histories, want %d", sent, programs)
		}
	})
}
