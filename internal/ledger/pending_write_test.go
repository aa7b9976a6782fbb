package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
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
			virtualtime.Test(t, func(t *testing.T) {
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

// TestLateAnswersAreNoSilence guards against writes that are given up because nothing else is answered, although
// answers to earlier calls still arrive late: those to this write and to the reads beside it are not due yet.
func TestLateAnswersAreNoSilence(t *testing.T) {
	const callerWait = 2 * time.Second
	for _, c := range []struct {
		name   string
		answer func(h *health) // 900 ms after the write was sent
		want   time.Duration
	}{
		{"nothing is answered", func(*health) {}, silenceTimeout},
		{"a call that was sent before is answered late", func(h *health) { h.recordAnswer(writing, 950*time.Millisecond, time.Now()) }, callerWait},
		{"a later call is answered fast", func(h *health) { h.recordAnswer(writing, 5*time.Millisecond, time.Now()) }, 900*time.Millisecond + readTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				l := New(Options{Table: &writeLosingTable{readTime: time.Hour}, RunID: "a"})
				l.health.recordAnswer(reading, 5*time.Millisecond, time.Now()) // the table was fast before
				time.Sleep(time.Second)                                        // virtual
				ctx, cancel := context.WithTimeout(t.Context(), callerWait)
				defer cancel()
				start := time.Now()
				time.AfterFunc(900*time.Millisecond, func() { c.answer(l.health) })
				_, row, err := l.commitOrRead(ctx, tablestore.Transaction{Conditions: []tablestore.Condition{{Key: "k"}}}, time.Time{})
				if row != nil || err == nil {
					t.Errorf("got row %v and error %v for a lost write", row, err)
				}
				if took := time.Since(start); took > c.want || took < c.want-readTimeout {
					t.Errorf("a lost write was given up after %s, want %s", took, c.want)
				}
			})
		})
	}
}

// TestAnswerToAnEarlierCallIsNoEvidence guards against parts that count as unresponsive because an answer to a call
// that was sent before the table became late arrives while a write is in flight.
func TestAnswerToAnEarlierCallIsNoEvidence(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := New(Options{Table: &writeLosingTable{readTime: time.Hour}, RunID: "a"})
		l.health.recordAnswer(reading, 5*time.Millisecond, time.Now())
		time.Sleep(time.Second) // virtual
		start := time.Now()
		time.AfterFunc(3*time.Millisecond, func() { l.health.recordAnswer(reading, 5*time.Millisecond, time.Now()) })
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, _, err := l.commitOrRead(ctx, tablestore.Transaction{Conditions: []tablestore.Condition{{Key: "k"}}}, time.Time{})
		if took := time.Since(start); errors.Is(err, errNoAnswer) || took != silenceTimeout {
			t.Errorf("given up after %s: %v", took, err)
		}
	})
}
