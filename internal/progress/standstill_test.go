package progress_test

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// noticedLate returns limits whose first deadline is noticed late, as in a process that stood still while it passed.
func noticedLate(overdue, standstill time.Duration) progress.Limits {
	return progress.Limits{First: -overdue, Idle: 100 * time.Millisecond, Total: 2 * time.Second, Standstill: standstill}
}

// TestStandstillOfThisProcessIsNoSilence has a process notice 300 ms late that nothing has arrived in time. A part may wait
// unread: a process without processor time gave up calls whose answers had arrived.
func TestStandstillOfThisProcessIsNoSilence(t *testing.T) {
	const standstill = 50 * time.Millisecond
	for _, c := range []struct {
		name       string
		overdue    time.Duration
		standstill time.Duration
		want       time.Duration // until the end of the call, if nothing arrives
	}{
		{"in time", 0, standstill, 0},
		{"a little late", standstill, standstill, 0},
		{"late", 300 * time.Millisecond, standstill, 100 * time.Millisecond},
		{"late, without a limit", 300 * time.Millisecond, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				started := time.Now()
				ctx, cancel := progress.WithLimits(t.Context(), noticedLate(c.overdue, c.standstill))
				defer cancel()
				<-ctx.Done()
				if took := time.Since(started); took != c.want {
					t.Errorf("the call ended after %s, want %s", took, c.want)
				}
			})
		})
	}
}

// TestPartReadAfterAStandstillCounts reports a part right after a standstill, which the call must survive; later silence ends it.
func TestPartReadAfterAStandstillCounts(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		limits := noticedLate(300*time.Millisecond, 50*time.Millisecond)
		started := time.Now()
		ctx, cancel := progress.WithLimits(t.Context(), limits)
		defer cancel()
		time.Sleep(limits.Idle / 2) // virtual time
		progress.Report(ctx)
		<-ctx.Done()
		if took := time.Since(started); took != limits.Idle/2+limits.Idle {
			t.Errorf("the call ended after %s, want %s", took, limits.Idle/2+limits.Idle)
		}
	})
}
