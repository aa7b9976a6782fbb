package originrecord

import (
	"slices"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestSweepGoesOnBesideNewStreams kills a process beside one that begins streams all the time, as during a long release. The row of the
// killed one is removed nevertheless.
func TestSweepGoesOnBesideNewStreams(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		killed, running := startProcess(t, "a", store), startProcess(t, "b", store)
		killed.begin("v1", 1)
		time.Sleep(minWritePeriod)
		killed.kill()
		for end := time.Now().Add(10 * time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			running.begin("v2", 1)
		}
		if keys := store.keys(); slices.Contains(keys, rowPrefix+"a") {
			_, reads := store.counts()
			t.Errorf("rows %v are left ten minutes after the process ended, after %d reads; its streams could be resumed for %s", keys, reads, streamTime)
		}
		running.kill()
	})
}
