package originrecord

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestRowsAreRemovedAfterAKillBehindARelease kills all processes once one version is left, while rows of the release are still in the
// store. The processes that start then remove them.
func TestRowsAreRemovedAfterAKillBehindARelease(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		first := startProcess(t, "a", store)
		first.begin("v1", 1)
		time.Sleep(2 * minWritePeriod)
		first.kill()
		second := startProcess(t, "b", store)
		second.set(false, 1)
		time.Sleep(2 * time.Hour)
		if keys := store.keys(); len(keys) > 0 {
			t.Errorf("rows %v are left two hours later", keys)
		}
		second.kill()
	})
}
