package modelplan

import "time"

// pacer bounds what loads ask of the weight store: bytes by a token bucket
// that holds one load of the largest model. It begins empty, since a former
// planner may just have used the store.
type pacer struct {
	rate   float64 // bytes per second
	burst  float64
	tokens float64
	at     time.Time
}

// refill adds what has come in since the last time.
func (p *pacer) refill(rate, burst float64, now time.Time) {
	p.tokens = min(burst, p.tokens+rate*max(0, now.Sub(p.at)).Seconds())
	p.rate = rate
	p.burst = burst
	p.at = now
}

// allows says whether a load may start now.
func (p *pacer) allows(bytes int64) bool { return p.tokens >= min(float64(bytes), p.burst) }

// take counts a load.
func (p *pacer) take(bytes int64) { p.tokens -= float64(bytes) }

// duration is how long the store takes for a load beside others.
func (p *pacer) duration(bytes int64, beside int) time.Duration {
	seconds := float64(bytes) * float64(max(1, beside)) / p.rate
	return time.Duration(seconds * float64(time.Second))
}
