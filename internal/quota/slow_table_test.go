package quota

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// slowTableLatency is the latency of a call to a slow table: 50 times that of a healthy one.
const slowTableLatency = 200 * time.Millisecond

// TestShardsAreTakenTogether guards against shards without a holder after a restart of all nodes while the table is slow: each
// node wrote one row after the other, and meanwhile the leases of the first ones expired. A node reads the rows, leaves
// free shards to others for yieldPause, reads again and writes: 1.5 s are enough for that.
func TestShardsAreTakenTogether(t *testing.T) {
	const takenWithin, observedFor, step = 1500 * time.Millisecond, 3 * time.Second, 50 * time.Millisecond
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(DefaultTolerance, 2)
		defer f.shutdown()
		time.Sleep(settleTime)
		f.update(func() { f.tableLatency = slowTableLatency })
		f.restart(1100 * time.Millisecond)
		time.Sleep(takenWithin)
		for range observedFor / step {
			if held := len(f.heldShards()); held != Shards {
				t.Fatalf("%d of %d shards have a holder", held, Shards)
			}
			time.Sleep(step)
		}
	})
}
