package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestRetentionTakesTheCheapest(t *testing.T) {
	usual := Pause{
		Expected: 10 * time.Second, ReturnChance: 0.9, CachedTokens: 10000, PrefillTokensPerSec: 1000,
		MemoryPressure: 1, Worth: 1, CanOffload: true, HoldCost: 0.05,
	}
	for _, test := range []struct {
		name   string
		change func(*Pause)
		want   RetentionAction
	}{
		{"memory is free", func(p *Pause) { p.MemoryPressure = 0.5; p.Expected = time.Hour }, Keep},
		{"short pause", func(p *Pause) { p.Expected = time.Second }, Keep},
		{"long pause", func(p *Pause) { p.Expected = 30 * time.Second }, Offload},
		{"long pause, no export", func(p *Pause) { p.Expected = 30 * time.Second; p.CanOffload = false }, Drop},
		{"will hardly return", func(p *Pause) { p.ReturnChance = 0.01 }, Drop},
		{"all of it is shared", func(p *Pause) { p.SharedTokens = p.CachedTokens; p.Expected = time.Hour }, Keep},
	} {
		pause := usual
		test.change(&pause)
		if got := DecideRetention(pause); got.Action != test.want || got.Reason == "" {
			t.Errorf("%s: %+v, want %s", test.name, got, test.want)
		}
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	properties := newProperties(100)
	properties.Property("retries stay within the share", prop.ForAll(func(fresh []bool, percent int) bool {
		share := float64(percent) / 100
		budget := NewRetryBudget(share)
		earned, spent := 0, 0
		for _, isFresh := range fresh {
			if isFresh {
				budget.Earn()
				earned++
			} else if budget.Spend() {
				spent++
			}
		}
		return float64(spent) <= 1+share*float64(earned)+1e-9
	}, gen.SliceOf(gen.Bool()), gen.IntRange(1, 100)))
	properties.Property("backoff has full jitter within its ceiling", prop.ForAll(func(attempt int, seed uint64) bool {
		delay := Backoff(attempt, 10*time.Millisecond, time.Second, rand.New(rand.NewPCG(seed, 1)))
		ceiling := min(time.Second, 10*time.Millisecond<<min(attempt, 10))
		return delay >= 0 && delay <= ceiling
	}, gen.IntRange(0, 1000), gen.UInt64()))
	properties.TestingRun(t)
	if NewRetryBudget(-1).Spend() {
		t.Fatal("a negative share must allow no retry")
	}
}
