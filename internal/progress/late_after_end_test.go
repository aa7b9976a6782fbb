package progress_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestLateIsNotAskedAboutACallThatHasEnded ends a call while Late decides about it. Late acts on the world (the ledger
// counts a failure and sends small reads), so that it is not called for a call that is over.
func TestLateIsNotAskedAboutACallThatHasEnded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var asked atomic.Int64
		ends := make(chan func(), 1)
		late := limits
		late.Late = func(time.Duration) time.Duration {
			if asked.Add(1) == 1 {
				(<-ends)()
			}
			return 20 * time.Millisecond
		}
		_, end := progress.WithLimits(t.Context(), late)
		ends <- end
		time.Sleep(limits.Total) // virtual time
		if asked.Load() != 1 {
			t.Errorf("asked %d times, want once: the call ended then", asked.Load())
		}
	})
}
