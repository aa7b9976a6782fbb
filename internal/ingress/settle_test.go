package ingress

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// TestReadyAnswerWaitsToTheLastMoment has a caller whose patience or whose time ends first. What is left
// for the last bytes is less than a slow table may need for the record.
func TestReadyAnswerWaitsToTheLastMoment(t *testing.T) {
	now := time.Now()
	for _, test := range []struct{ left, want time.Duration }{
		{10 * time.Second, leastPatience - endLeftOver},
		{900 * time.Millisecond, 900*time.Millisecond - endLeftOver},
		{-time.Second, leastSettlePatience},
	} {
		r := &request{route: &routing.Route{}, until: now.Add(test.left)}
		if got := r.settlePatience(now); got != test.want {
			t.Errorf("with %s left the record is waited for %s, want %s", test.left, got, test.want)
		}
	}
}
