package quota

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// detectionTime is the time within which a node detects that its zone is isolated.
const detectionTime = time.Second

// runIsolation has five nodes send five times a tenant's limit, and cuts the holder and one other node off from the
// table and from the rest for 8 s, during which these two reach each other.
func runIsolation(t *testing.T, limit Limit, detection time.Duration) *fleet {
	var f *fleet
	virtualtime.Test(t, func(*testing.T) {
		f = newFleet(DefaultTolerance, 5)
		defer f.shutdown()
		time.Sleep(settleTime)
		for _, n := range f.nodes {
			f.send(n, tenant, limit, limit.Rate, 12*time.Second)
		}
		time.Sleep(2 * time.Second)
		holder := f.holder(tenant)
		f.update(func() {
			now := time.Now()
			zonePeer := f.nodes[0]
			if zonePeer == holder {
				zonePeer = f.nodes[1]
			}
			for _, n := range []*fleetNode{holder, zonePeer} {
				n.isolatedUntil, n.isolationDetectedAt = now.Add(8*time.Second), now.Add(detection)
			}
		})
		time.Sleep(14 * time.Second)
	})
	return f
}

// TestZoneThatIsCutOffCountsForNobody isolates the holder's zone. Another node takes the shard, and the holder has
// stopped answering by then, although a peer of its zone responds to it. A holder that does not detect its isolation
// exceeds the limit.
func TestZoneThatIsCutOffCountsForNobody(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 40, Version: 1}
	maxCount := allowed(DefaultTolerance, limit)
	if got := runIsolation(t, limit, detectionTime).ran.maxInWindow(DefaultTolerance.Window); float64(got) > maxCount {
		t.Errorf("%d requests in a window, allowed: %v", got, maxCount)
	}
	if got := runIsolation(t, limit, time.Hour).ran.maxInWindow(DefaultTolerance.Window); float64(got) <= maxCount {
		t.Errorf("a holder that does not detect its isolation does not exceed the limit: %d requests in a window, allowed: %v", got, maxCount)
	}
}

// TestHolderWhoseZoneMayBeLateCountsWhileItsRowIsValid has a holder decide on requests of a tenant within its limit while
// the responses of the other zones may be late or lost. As long as it renews its row it refuses none. Once it does not,
// it stops when its row is no longer valid, before another node may take the shard.
func TestHolderWhoseZoneMayBeLateCountsWhileItsRowIsValid(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100, Version: 1}
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(DefaultTolerance, 5)
		defer f.shutdown()
		time.Sleep(settleTime)
		f.request(f.nodes[0], tenant, limit) // makes a node take the shard
		holder := f.holder(tenant)
		f.update(func() { holder.mayBeIsolatedUntil = time.Now().Add(time.Minute) })
		for range 20 {
			f.request(holder, tenant, limit)
			time.Sleep(200 * time.Millisecond)
		}
		if f.refused > 0 {
			t.Errorf("%d of 20 requests of a tenant within its limit were refused", f.refused)
		}
		f.update(func() { holder.tableCutUntil = time.Now().Add(time.Minute) })
		time.Sleep(leaseDuration + renewPeriod)
		if holder.client.mayUseOwnAccount(tenant) {
			t.Error("a node that may be isolated decides by an account whose row is no longer valid")
		}
	})
}
