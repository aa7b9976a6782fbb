package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestReadsEndOnceTheTableCountsAsDown starts reads of several parts of a table that answers nothing. New reads are
// refused at once when the table counts as down; those that wait are not to wait on, but for the one
// that the breaker lets through as its probe.
func TestReadsEndOnceTheTableCountsAsDown(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const parts = 8
		table := &lossyTable{lost: 100, silent: true}
		l := New(Options{Table: table, RunID: "run"})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		start := time.Now()
		ended := make(chan time.Duration, parts)
		for part := range parts {
			go func() {
				_, _, _ = l.readProgram(ctx, part, "p")
				ended <- time.Since(start)
			}()
		}
		var down time.Duration
		for down == 0 {
			time.Sleep(time.Millisecond) // virtual time
			if l.health.allDown() {
				down = time.Since(start)
			}
		}
		late := 0
		for range parts {
			if took := <-ended; took > down+readCheckInterval {
				late++
				t.Logf("a read ended after %s; the table counts as down since %s", took, down)
			}
		}
		if late > 1 { // one may be made again, as the breaker's probe
			t.Errorf("%d of %d reads were waited for although the table counts as down, want one at most", late, parts)
		}
	})
}
