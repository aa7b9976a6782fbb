package relay

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestPeerIsNotLeftForAStandstillOfThisProcess has this process notice late that a peer was silent for peerTimeout. What the peer
// sent meanwhile may wait unread: processes without processor time for .3 s left their only peer, whose answers had arrived.
func TestPeerIsNotLeftForAStandstillOfThisProcess(t *testing.T) {
	testStandstill(t, peerLimits(0), peerTimeout)
}

// TestCallForAPeerSurvivesAStandstillOfThisProcess does so for the service: a peer that stood still for a second gave up a call
// whose answer had arrived.
func TestCallForAPeerSurvivesAStandstillOfThisProcess(t *testing.T) {
	testStandstill(t, serveLimits(0), serveTimeout)
}

// testStandstill has the first deadline of a call noticed late, and expects the call to get its idle time from then on.
func testStandstill(t *testing.T, limits progress.Limits, want time.Duration) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		limits.First = -300 * time.Millisecond // noticed so late
		started := time.Now()
		ctx, cancel := progress.WithLimits(t.Context(), limits)
		defer cancel()
		<-ctx.Done()
		if took := time.Since(started); took != want {
			t.Errorf("the call ended after %s, want %s for what arrived meanwhile", took, want)
		}
	})
}
