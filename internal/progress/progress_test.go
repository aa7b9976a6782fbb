package progress_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

var limits = progress.Limits{First: 400 * time.Millisecond, Idle: 100 * time.Millisecond, Total: 2 * time.Second}

// TestCallContinuesWhilePartsArrive lets parts arrive at drawn intervals. The context ends when, and only when, the
// first part is late, the time between two parts is too long, or the whole answer takes too long.
func TestCallContinuesWhilePartsArrive(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(39)
	properties := gopter.NewProperties(parameters)
	properties.Property("ends by its limits", prop.ForAll(func(gaps []int) bool {
		matches := true
		virtualtime.Test(t, func(t *testing.T) {
			ctx, cancel := progress.WithLimits(t.Context(), limits)
			defer cancel()
			started := time.Now()
			end := started.Add(limits.First)
			for _, gap := range gaps {
				time.Sleep(time.Duration(gap)*time.Millisecond + time.Microsecond)
				if expired := time.Now().After(end); expired != (ctx.Err() != nil) {
					matches = false
				}
				if ctx.Err() != nil {
					break
				}
				progress.Report(ctx)
				end = laterOf(end, time.Now().Add(limits.Idle))
				if latestEnd := started.Add(limits.Total); end.After(latestEnd) {
					end = latestEnd
				}
			}
		})
		return matches
	}, gen.SliceOf(gen.IntRange(0, 120))))
	properties.TestingRun(t)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestStalledContextEndsAsByDeadline lets a context end because no part arrives. It and its derived contexts must
// report an exceeded deadline, and the cause.
func TestStalledContextEndsAsByDeadline(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := progress.WithLimits(t.Context(), limits)
		defer cancel()
		child, cancelChild := context.WithCancel(ctx)
		defer cancelChild()
		<-child.Done()
		for name, ended := range map[string]context.Context{"own": ctx, "child's": child} {
			if !errors.Is(ended.Err(), context.DeadlineExceeded) || !errors.Is(context.Cause(ended), progress.ErrStalled) {
				t.Errorf("%s context ended with %v, cause %v", name, ended.Err(), context.Cause(ended))
			}
		}
	})
}

// TestOuterLimitsAreExtendedToo reports parts for a call inside two limits: both are extended, also with another
// context between them.
func TestOuterLimitsAreExtendedToo(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		outer, cancelOuter := progress.WithLimits(t.Context(), limits)
		defer cancelOuter()
		middle, cancelMiddle := context.WithCancel(outer)
		defer cancelMiddle()
		inner, cancelInner := progress.WithLimits(middle, limits)
		defer cancelInner()
		for range 12 {
			time.Sleep(90 * time.Millisecond)
			progress.Report(inner)
		}
		if !progress.Recent(inner) || outer.Err() != nil {
			t.Errorf("ended while parts arrived: %v", outer.Err())
		}
		if deadline, _ := outer.Deadline(); time.Until(deadline) != limits.Idle {
			t.Errorf("the outer context ends in %s, want %s", time.Until(deadline), limits.Idle)
		}
		cancelOuter()
		<-inner.Done()
		if !errors.Is(inner.Err(), context.Canceled) {
			t.Errorf("the inner context ended with %v after the outer one was cancelled", inner.Err())
		}
	})
}

// TestReportWithoutLimitsHasNoEffect reports a part for a context without limits.
func TestReportWithoutLimitsHasNoEffect(t *testing.T) {
	progress.Report(t.Context())
	if progress.Recent(t.Context()) {
		t.Error("Recent is true for a context without limits")
	}
}

// TestLateCallContinuesForAsLongAsItsCallerSays has no part arrive in time. The call continues for the times that Late
// returns, and ends when that is none, or at Limits.Total; a part begins a new silence.
func TestLateCallContinuesForAsLongAsItsCallerSays(t *testing.T) {
	for name, c := range map[string]struct {
		maxSilent, partAt, want time.Duration
	}{
		"none":               {0, 0, limits.First},
		"no part":            {700 * time.Millisecond, 0, 700 * time.Millisecond},
		"a part meanwhile":   {700 * time.Millisecond, 600 * time.Millisecond, 1300 * time.Millisecond},
		"longer than a call": {time.Minute, 0, limits.Total},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				late := limits
				late.Late = func(silent time.Duration) time.Duration { return min(50*time.Millisecond, c.maxSilent-silent) }
				started := time.Now()
				ctx, cancel := progress.WithLimits(t.Context(), late)
				defer cancel()
				if c.partAt > 0 {
					time.AfterFunc(c.partAt, func() { progress.Report(ctx) })
				}
				<-ctx.Done()
				if took := time.Since(started); took != c.want || !errors.Is(context.Cause(ctx), progress.ErrStalled) {
					t.Errorf("ended after %s with %v, want %s", took, context.Cause(ctx), c.want)
				}
			})
		})
	}
}
