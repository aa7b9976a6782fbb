package zonewatch

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// TestOwnPauseIsNoResponseTime pauses this process while a response is waiting to be read: its timers expire late. The zone is lost
// after that, and is to be suspected as soon as one whose responses take some ms.
func TestOwnPauseIsNoResponseTime(t *testing.T) {
	const pause = 500 * time.Millisecond
	for name, begins := range map[string]time.Duration{"before the timeout": 50 * time.Millisecond, "after the timeout": responseTimeout + 50*time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := newTestWatch(ctx)
				paused, resumed := time.Now().Add(begins), time.Now().Add(begins+pause)
				w.client = NewObservedClient(queuedLink{w.network, []string{"b"}, func() time.Duration { return time.Until(resumed) }}, w.Watch)
				w.client.afterFunc = lateTimers(paused, resumed)
				if _, err := w.client.Do(ctx, "b-0", &wirepb.Request{}, nil); err != nil {
					t.Fatal(err)
				}
				w.client = NewObservedClient(w.network, w.Watch)
				w.watchPeers()
				w.network.change(func() { w.network.unresponsive["b"] = true })
				lost := time.Now()
				for !w.ZoneSuspected("b") && time.Since(lost) < 2*time.Second {
					w.sendRound()
				}
				if took, bound := time.Since(lost), minSilence+2*requestPause; took > bound {
					t.Errorf("the zone is suspected %s after it was lost, want at most %s", took, bound)
				}
				cancel()
				time.Sleep(2 * time.Second) // virtual time, in which requests end
			})
		})
	}
}

// lateTimers returns time.AfterFunc of a process that is paused for some time: a timer that expires meanwhile does so just after
// what waits to be read.
func lateTimers(paused, resumed time.Time) func(time.Duration, func()) *time.Timer {
	const after = 10 * time.Millisecond
	return func(d time.Duration, f func()) *time.Timer {
		return time.AfterFunc(d, func() {
			if now := time.Now(); !now.Before(paused) && now.Before(resumed) {
				time.Sleep(resumed.Sub(now) + after) // virtual time
			}
			f()
		})
	}
}
