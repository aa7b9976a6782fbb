package quota

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestRequestsThatDidNotRunCostNothing guards against tokens of rejected requests that stay counted. A tenant with a
// full account sends five times its rate to engines that reject every request after a moment. No request runs, so none
// may be refused. The failure: tokens that were issued up to 5 s after the account had been full were not reclaimed.
// It was seen with real processes that were slow enough for the account to fill up in between.
func TestRequestsThatDidNotRunCostNothing(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 5, Version: 1}
	refused := 0
	virtualtime.Test(t, func(*testing.T) {
		f := newFleet(DefaultTolerance, 1)
		defer f.shutdown()
		time.Sleep(settleTime)
		client := f.nodes[0].client
		for range 400 {
			decision := client.Admit(f.ctx, tenant, limit, false)
			time.Sleep(10 * time.Millisecond)
			if decision.Outcome != Granted {
				refused++
				continue
			}
			client.ReturnToken(tenant, decision)
		}
	})
	if refused > 0 {
		t.Errorf("%d of 400 requests were refused, though none ran", refused)
	}
}
