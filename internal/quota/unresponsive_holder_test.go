package quota

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestAHolderThatStandsStillForAMomentCostsNoRefusal pauses the holder of a tenant's shard for up to
// .28 s, as on a machine that has used up its CPU quota, while another node sends it a request for a
// tenant far within its limit. That node's last request was 3 s earlier, so it holds no tokens. The
// failure: after one request that took .15 s the node switched to local mode, which begins without
// tokens. The logs of two runs of the fault soak have such a refusal, "ground":"alone", with 127
// requests left by the holder's last answer, and the holder's answers to all others before and after.
func TestAHolderThatStandsStillForAMomentCostsNoRefusal(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 100, Version: 1}
	for _, pause := range []time.Duration{100, 160, 200, 280} {
		pause *= time.Millisecond
		t.Run(pause.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(DefaultTolerance, 12)
				defer f.shutdown()
				time.Sleep(settleTime)
				f.request(f.nodes[0], tenant, limit) // makes a node take the shard
				holder := f.holder(tenant)
				requester := f.nodes[0]
				if requester == holder {
					requester = f.nodes[1]
				}
				f.request(requester, tenant, limit)
				time.Sleep(3 * time.Second)
				f.update(func() { holder.pausedUntil = time.Now().Add(pause) })
				f.request(requester, tenant, limit)
				if len(f.ran) != 3 || f.refused != 0 {
					t.Errorf("%d requests ran and %d were refused, want 3 and none", len(f.ran), f.refused)
				}
			})
		})
	}
}

// TestASilentHolderIsWaitedForOnce bounds the cost of the second request to a holder that has ended
// for good: it is incurred once, and not with each request.
func TestASilentHolderIsWaitedForOnce(t *testing.T) {
	limit := Limit{Rate: 200, Burst: 2000, Version: 1}
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(DefaultTolerance, 12)
		defer f.shutdown()
		time.Sleep(settleTime)
		f.request(f.nodes[0], tenant, limit)
		holder := f.holder(tenant)
		requester := f.nodes[0]
		if requester == holder {
			requester = f.nodes[1]
		}
		f.request(requester, tenant, limit)
		time.Sleep(3 * time.Second)
		f.update(func() { holder.unreachable = true })
		first := time.Now()
		f.request(requester, tenant, limit)
		if waited := time.Since(first); waited > 4*requestTimeout {
			t.Errorf("the first request waited for %s, want at most %s", waited, 4*requestTimeout)
		}
		time.Sleep(localPeriod)
		second := time.Now()
		f.request(requester, tenant, limit)
		if waited := time.Since(second); waited > 2*requestTimeout {
			t.Errorf("the next request waited for %s, want one request to the holder of %s and a probe of peers", waited, requestTimeout)
		}
	})
}
