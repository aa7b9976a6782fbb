package progress

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// standstillLimits are those of a call through a peer that sends a part each 100 ms.
var standstillLimits = Limits{First: 250 * time.Millisecond, Idle: 250 * time.Millisecond, Total: 10 * time.Second, Standstill: 50 * time.Millisecond}

// standStill has the process run none of the timers of a call for a while.
func standStill(ctx context.Context, duration time.Duration) {
	b := ctx.(*bounded)
	b.timer.Stop()
	time.Sleep(duration) // virtual
	b.checkDeadline()
}

// TestWhatArrivesDuringAStandstillIsRead has a process stand still from some moment until shortly before or after the deadline of
// a call. A part that arrived meanwhile is read once the process runs again. If only the time by which the deadline has passed
// shows the standstill, the process ends the call before it reads: processes left peers whose parts had arrived.
func TestWhatArrivesDuringAStandstillIsRead(t *testing.T) {
	const readAfter = 3 * time.Millisecond // that the process runs again
	for _, began := range []time.Duration{0, 60, 99, 130} {
		for _, ended := range []time.Duration{240, 251, 262, 299, 320, 700} {
			began, ended := began*time.Millisecond, ended*time.Millisecond
			t.Run(fmt.Sprintf("from %s to %s", began, ended), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					ctx, cancel := WithLimits(t.Context(), standstillLimits)
					defer cancel()
					time.Sleep(began) // virtual
					standStill(ctx, ended-began)
					time.Sleep(readAfter) // virtual
					Report(ctx)
					time.Sleep(standstillLimits.Idle - time.Millisecond) // virtual
					if ctx.Err() != nil {
						t.Errorf("the call ended, though a part was read %s after the standstill", readAfter)
					}
				})
			})
		}
	}
}

// TestSilenceAfterAStandstillEndsTheCall has nothing arrive while the process stands still, nor later.
func TestSilenceAfterAStandstillEndsTheCall(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const duration = 240 * time.Millisecond
		started := time.Now()
		ctx, cancel := WithLimits(t.Context(), standstillLimits)
		defer cancel()
		standStill(ctx, duration)
		<-ctx.Done()
		if took, want := time.Since(started), duration+standstillLimits.Idle; took != want {
			t.Errorf("the call ended after %s, want %s", took, want)
		}
	})
}

// TestStandstillsDoNotOutlastACall has a process stand still again and again, and nothing arrive.
func TestStandstillsDoNotOutlastACall(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		started := time.Now()
		ctx, cancel := WithLimits(t.Context(), standstillLimits)
		defer cancel()
		const duration = 200 * time.Millisecond
		for ctx.Err() == nil {
			standStill(ctx, duration)
		}
		if took := time.Since(started); took != standstillLimits.Total {
			t.Errorf("the call ended after %s, want %s", took, standstillLimits.Total)
		}
	})
}

// TestSilenceOfAProcessThatRunsEndsTheCallInTime runs the checks of a call on time, or late by less than a standstill.
func TestSilenceOfAProcessThatRunsEndsTheCallInTime(t *testing.T) {
	for _, late := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				started := time.Now()
				ctx, cancel := WithLimits(t.Context(), standstillLimits)
				defer cancel()
				for ctx.Err() == nil {
					if b := ctx.(*bounded); late > 0 {
						b.mutex.Lock()
						due := b.checkAt
						b.mutex.Unlock()
						standStill(ctx, time.Until(due)+late)
					} else {
						<-ctx.Done()
					}
				}
				if took := time.Since(started); took < standstillLimits.First || took > standstillLimits.First+late {
					t.Errorf("the call ended after %s, want %s and at most %s more", took, standstillLimits.First, late)
				}
			})
		})
	}
}
