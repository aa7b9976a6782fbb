package originrecord

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// interruptedTable has rows of several ended fleets, in pages of pageRows. One call fails, the others are answered at once. Methods that
// are not defined here must not be called.
type interruptedTable struct {
	tablestore.Table
	rows   []tablestore.Row
	calls  atomic.Int64
	failed int64 // number of the call that fails
}

// Range implements tablestore.Table.
func (s *interruptedTable) Range(_ context.Context, start, end string, limit int) (tablestore.Page, error) {
	time.Sleep(4 * time.Millisecond) // virtual time of an answer
	if s.calls.Add(1) == s.failed {
		return tablestore.Page{}, tablestore.ErrThrottled
	}
	var page tablestore.Page
	for _, row := range s.rows {
		switch {
		case row.Key < start || row.Key >= end:
		case len(page.Rows) == limit:
			page.More = true
			return page, nil
		default:
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// ignoredFailures is an Observer that ignores failures.
type ignoredFailures struct{}

func (ignoredFailures) OriginRecordFailed(error) {}

// TestOneFailedPageDoesNotRefuseStreamsForLong guards against streams that are refused until their clients have given up, though the store
// answers: after three failures of all processes within a minute the rows take several pages, and one call that the store throttles
// postponed the next read by the time that all calls of all processes may take.
func TestOneFailedPageDoesNotRefuseStreamsForLong(t *testing.T) {
	const (
		processes      = 420
		fleets         = 3 // that have ended, and whose rows are not removed yet
		clientDeadline = 4 * time.Second
		retryAfter     = 300 * time.Millisecond // of a refusal
	)
	virtualtime.Test(t, func(t *testing.T) {
		store := &interruptedTable{failed: fleets}
		for number := range fleets * processes {
			name := fmt.Sprintf("stream-%d", number)
			content, _ := newRow([]origins.Origin{{Stream: name, Service: "s", Version: "v1", Engine: "e", ExpiresAt: time.Now().Add(time.Minute)}}, time.Now())
			value, err := json.Marshal(content)
			if err != nil {
				t.Fatal(err)
			}
			store.rows = append(store.rows, tablestore.Row{Key: fmt.Sprintf("%srun-%04d", rowPrefix, number), Value: value, Revision: 1})
		}
		keeper := New(Options{Table: store, RunID: "own", Processes: func() int { return processes }, Observer: ignoredFailures{}})
		start := time.Now()
		for {
			origin, found, err := keeper.Find(t.Context(), "stream-7")
			if found && origin.Version == "v1" {
				break
			}
			if time.Since(start) > clientDeadline {
				t.Fatalf("refused for %s after one failed call of %d: %v", time.Since(start).Round(time.Millisecond), store.calls.Load(), err)
			}
			time.Sleep(retryAfter)
		}
	})
}
