package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// writeLosingTable is a table without rows that loses each write, and answers each read after readTime.
type writeLosingTable struct {
	delayedTable
	readTime time.Duration
}

// Commit implements tablestore.Table.
func (w *writeLosingTable) Commit(ctx context.Context, _ tablestore.Transaction) (tablestore.Receipt, error) {
	<-ctx.Done()
	return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
}

// Get implements tablestore.Table.
func (w *writeLosingTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	w.delay.Store(int64(w.readTime))
	return w.delayedTable.Get(ctx, key)
}

// TestLostWriteIsGivenUpInTime guards against lost writes that are waited for as if they were queued: what the reads
// beside a write show decides how long it is waited for, and whether it is given up at the time its caller asks for.
func TestLostWriteIsGivenUpInTime(t *testing.T) {
	const callerWait = 2 * time.Second
	for _, c := range []struct {
		name     string
		readTime time.Duration
		giveUpIn time.Duration // 0: the caller does not ask for it
		want     time.Duration
	}{
		{"fast reads of the unchanged row", 5 * time.Millisecond, 0, callTimeout},
		{"no read is answered", time.Hour, 0, silenceTimeout},
		{"a slow read of the unchanged row: the write is queued", 150 * time.Millisecond, 0, callerWait},
		{"given up, fast reads", 5 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond},
		{"given up, reads slow enough for one more write", 300 * time.Millisecond, callerWait / 2, callerWait / 2},
		{"not given up, as another write would take too long", 600 * time.Millisecond, callerWait / 2, callerWait},
		{"not given up, as nothing is answered", time.Hour, callerWait / 3, silenceTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := New(Options{Table: &writeLosingTable{readTime: c.readTime}, RunID: "a"})
				l.health.recordAnswer(reading, 5*time.Millisecond, time.Now()) // the table was fast before
				time.Sleep(time.Second)                                        // virtual
				ctx, cancel := context.WithTimeout(t.Context(), callerWait)
				defer cancel()
				start, giveUpAt := time.Now(), time.Time{}
				if c.giveUpIn > 0 {
					giveUpAt = start.Add(c.giveUpIn)
				}
				_, row, err := l.commitOrRead(ctx, tablestore.Transaction{Conditions: []tablestore.Condition{{Key: "k"}}}, giveUpAt)
				if row != nil || err == nil {
					t.Errorf("got row %v and error %v for a lost write", row, err)
				}
				if took := time.Since(start); took != c.want {
					t.Errorf("a lost write was given up after %s, want %s", took, c.want)
				}
			})
		})
	}
}
