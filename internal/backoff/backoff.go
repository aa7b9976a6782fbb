// Package backoff has the delays of loops and retries: a wait that ends with
// its context, and jittered delays that keep nodes from acting at the same time.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxShift bounds the doubling, so that the shift does not overflow.
const maxShift = 30

// Wait waits for the delay. It returns false if the context ended first.
func Wait(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// FullJitter returns a random delay above 0 and at most the exponential backoff of
// the given retry (0 is the first), which doubles from base up to limit.
func FullJitter(base, limit time.Duration, retry int) time.Duration {
	ceiling := limit
	if retry < maxShift && base<<retry < limit {
		ceiling = base << retry
	}
	return rand.N(ceiling) + 1
}

// Jitter returns a random delay between 0.75 and 1.25 times the
// period, so that nodes with the same period do not act at the same time.
func Jitter(period time.Duration) time.Duration {
	return period*3/4 + rand.N(period/2+1)
}
