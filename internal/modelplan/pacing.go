package modelplan

import "time"

// pacer limits the rate of loads from the weight store: a token bucket of bytes
// that holds one load of the largest model. It starts empty, since a former
// planner may just have used the store.
type pacer struct {
	rate       float64 // bytes per second
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens that have accrued since the last call.
func (p *pacer) refill(rate, burst float64, now time.Time) {
	p.tokens = min(burst, p.tokens+rate*max(0, now.Sub(p.refilledAt)).Seconds())
	p.rate = rate
	p.burst = burst
	p.refilledAt = now
}

// allows reports whether a load may start now.
func (p *pacer) allows(bytes int64) bool { return p.tokens >= min(float64(bytes), p.burst) }

// take takes the tokens of a load.
func (p *pacer) take(bytes int64) { p.tokens -= float64(bytes) }

// duration returns how long a load takes while concurrentLoads loads, including
// this one, share the store.
func (p *pacer) duration(bytes int64, concurrentLoads int) time.Duration {
	seconds := float64(bytes) * float64(max(1, concurrentLoads)) / p.rate
	return time.Duration(seconds * float64(time.Second))
}
