package tablestore

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Settings of the circuit breaker.
const (
	breakerThreshold  = 3 // failures in a row that open it
	breakerFirstDelay = 500 * time.Millisecond
	breakerMaxDelay   = 4 * time.Second
)

// breaker is a circuit breaker. It opens after breakerThreshold failures in a
// row and closes at the first success. While it is open a prober tries the
// service each time that retryAfter has passed. It is safe for concurrent use.
type breaker struct {
	mu       sync.Mutex
	failures int
	open     bool
	delay    time.Duration // upper end of the wait before the next probe
	probeAt  time.Time
}

// allow reports whether requests may be sent.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.open
}

// retryAfter returns the time until the next probe; 0 if the breaker is closed.
func (b *breaker) retryAfter(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return 0
	}
	return max(time.Millisecond, b.probeAt.Sub(now))
}

// success records that the service responded.
func (b *breaker) success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.open = false
}

// failure records that the service did not respond. It reports whether this
// opened the breaker.
func (b *breaker) failure(now time.Time) (opened bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.open || b.failures < breakerThreshold {
		return false
	}
	b.open = true
	b.delay = breakerFirstDelay
	b.scheduleProbe(now)
	return true
}

// probeFailed doubles the delay before the next probe, up to breakerMaxDelay.
func (b *breaker) probeFailed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = min(2*b.delay, breakerMaxDelay)
	b.scheduleProbe(now)
}

// scheduleProbe needs b.mu. The jitter spreads the probes of many nodes.
func (b *breaker) scheduleProbe(now time.Time) {
	b.probeAt = now.Add(b.delay/2 + rand.N(b.delay/2))
}
