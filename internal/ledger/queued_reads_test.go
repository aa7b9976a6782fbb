package ledger

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// queuedLink is a link between two regions on which answers wait in one queue, in the order in which the service sent them.
type queuedLink struct {
	bytesPerSecond float64

	mutex  sync.Mutex
	freeAt time.Time
	bytes  int
}

// send puts an answer into the queue and returns when its first and its last byte arrive.
func (q *queuedLink) send(bytes int) (first, last time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if now := time.Now(); q.freeAt.Before(now) {
		q.freeAt = now
	}
	first = q.freeAt
	q.freeAt = first.Add(time.Duration(float64(bytes) / q.bytesPerSecond * float64(time.Second)))
	q.bytes += bytes
	return first, q.freeAt
}

// farTable is a table service behind a link, in which a program has a long history.
type farTable struct {
	delayedTable
	link  *queuedLink
	bytes int // of one program's rows
}

// Range implements tablestore.Table.
func (t *farTable) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	first, last := t.link.send(t.bytes)
	for _, part := range []time.Time{first, last} {
		arrival := time.NewTimer(time.Until(part))
		select {
		case <-arrival.C:
			progress.Report(ctx)
		case <-ctx.Done():
			arrival.Stop()
			return tablestore.Page{}, errors.Mark(ctx.Err(), tablestore.ErrUnknownOutcome)
		}
	}
	return tablestore.Page{}, nil
}

// Get implements tablestore.Table. The answer, of a few bytes that are not counted, waits in the link's queue like others.
func (t *farTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	_, last := t.link.send(0)
	arrival := time.NewTimer(time.Until(last))
	defer arrival.Stop()
	select {
	case <-arrival.C:
		return tablestore.Row{Key: key}, nil
	case <-ctx.Done():
		return tablestore.Row{}, errors.Mark(ctx.Err(), tablestore.ErrUnknownOutcome)
	}
}

// TestHistoriesReadTogetherAreSentOnce has the processes of a region read one program's rows each at the same moment, as
// for the requests after a start of all. Nothing is lost, but the last answer waits for the others in the link's queue. A
// read that is given up while its answer is in the queue, and made again, only makes the queue longer.
func TestHistoriesReadTogetherAreSentOnce(t *testing.T) {
	const (
		processes    = 32
		historyBytes = 200_000
		linkBytes    = 60e6 / 8 // per second
	)
	virtualtime.Test(t, func(t *testing.T) {
		link := &queuedLink{bytesPerSecond: linkBytes}
		var reads sync.WaitGroup
		var mutex sync.Mutex
		failed := 0
		for range processes {
			l := New(Options{Table: &farTable{link: link, bytes: historyBytes}, RunID: "run"})
			reads.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second) // the callers' time
				defer cancel()
				if _, _, err := l.readProgram(ctx, 0, "p"); err != nil {
					mutex.Lock()
					failed++
					mutex.Unlock()
				}
			})
		}
		reads.Wait()
		if failed > 0 {
			t.Errorf("%d of %d histories were not read in their callers' time, of which the link needs %.2f s", failed, processes, processes*historyBytes/linkBytes)
		}
		if sent := float64(link.bytes) / historyBytes; sent > processes {
			t.Errorf("the link carried %.0f histories, want %d", sent, processes)
		}
	})
}
