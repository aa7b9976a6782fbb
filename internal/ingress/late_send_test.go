package ingress

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestSilenceBeginsWithTheSend guards against examining an engine that was given up while it may still end: a request waits for reports
// before it is sent to the last engine that it may end, and its silence must not count from before the send.
func TestSilenceBeginsWithTheSend(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := &request{handler: &Handler{}}
		current := &attempt{request: r, startedAt: time.Now()}
		current.watch(t.Context())
		current.watchdog.Stop()
		time.Sleep(maxReportWait) // virtual
		sentAt := time.Now()
		current.markSent()
		time.Sleep(time.Millisecond) // virtual
		if got := current.lastActivity(); !got.Equal(sentAt) {
			t.Errorf("the engine counts as silent since %s before the send", sentAt.Sub(got))
		}
		current.recordActivity()
		current.watchdog.Stop()
		if got := current.lastActivity(); !got.Equal(time.Now()) {
			t.Errorf("the engine counts as silent for %s after an event", time.Since(got))
		}
	})
}
