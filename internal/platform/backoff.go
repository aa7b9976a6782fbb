package platform

import (
	"context"
	"math/rand/v2"
	"time"
)

// fullJitter returns a random delay between 0 and the exponential backoff of
// the given retry (0 is the first), which doubles from base up to limit.
func fullJitter(base, limit time.Duration, retry int) time.Duration {
	backoff := limit
	if retry < 30 && base<<retry < limit {
		backoff = base << retry
	}
	return rand.N(backoff) + 1
}

// pause waits for the delay. It returns false if the context ended first.
func pause(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
