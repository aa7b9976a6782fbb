package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestWholeAnswerIsRecordedBehindAGrowingQueue guards against complete answers that are cut behind a queue that grows,
// or is there at once, for 3 s, until answers of the store are a second late: half of what callers wait.
func TestWholeAnswerIsRecordedBehindAGrowingQueue(t *testing.T) {
	playGrowingQueues(t, []time.Duration{700 * time.Millisecond, time.Second})
}

// TestWholeAnswerIsRecordedBehindALongQueue is the same until answers are later than that, but not as late as callers
// wait.
func TestWholeAnswerIsRecordedBehindALongQueue(t *testing.T) {
	playGrowingQueues(t, []time.Duration{1200 * time.Millisecond, 1400 * time.Millisecond, 1600 * time.Millisecond})
}

// playGrowingQueues has programs run turns while the answers of the store become later, up to a longest time.
func playGrowingQueues(t *testing.T, longest []time.Duration) {
	const atOnce = 1000
	for _, programs := range []int{8, 48, 96, 160} {
		for _, longest := range longest {
			for _, growth := range []float64{.25, .5, .8, atOnce} { // seconds per second
				t.Run(fmt.Sprintf("%d_programs/%s/%g", programs, longest, growth), func(t *testing.T) {
					virtualtime.Test(t, func(t *testing.T) {
						store := newLateStore(func(since time.Duration) time.Duration {
							if since < calmBefore || since >= calmBefore+3*time.Second {
								return 0
							}
							return min(longest, time.Duration(growth*float64(since-calmBefore)))
						})
						checkRecorded(t, store, playZone(t, store, programs))
					})
				})
			}
		}
	}
}
