package originrecord

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestReadIsRepeatedWithinTheWait has the store refuse the first read at once, as it does while all processes of a fleet start. A stream
// may wait longer than that, and a second read would tell its origin.
func TestReadIsRepeatedWithinTheWait(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		first := startProcess(t, "a", store)
		name := first.begin("v1", 1)[0]
		time.Sleep(minWritePeriod)
		first.kill()
		p := startProcess(t, "b", store)
		store.set(func(s *table) { s.failure = tablestore.ErrThrottled })
		timer := time.AfterFunc(10*time.Millisecond, func() { store.set(func(s *table) { s.failure = nil }) })
		defer timer.Stop()
		p.origin(name)
		time.Sleep(findTimeout) // the caller is back
		if got := p.origin(name); got != "v1" {
			t.Errorf("%s after the store refused one read for 10 ms: got version %q, want v1", findTimeout, got)
		}
		p.kill()
	})
}
