package commitgroup

import "time"

// Settings of the send rate. All writers together are to stay below the rate limit of the service without
// knowing the limit or each other.
const (
	// minRate is the lowest send rate, in groups per second.
	minRate = 4.0
	// rateIncrease is added to the rate for each group that the service accepts.
	rateIncrease = 0.5
	// rateDecrease is the factor applied to the rate when the service throttles a group.
	rateDecrease = 0.5
	// decreaseInterval is the shortest time between two decreases: throttled groups close together count once.
	decreaseInterval = 100 * time.Millisecond
	// throttlePause is how long nothing is sent after a throttled group.
	throttlePause = 20 * time.Millisecond
)

// sendRate determines when the next group may be sent: additive increase, multiplicative decrease (AIMD).
// It is not safe for concurrent use.
type sendRate struct {
	maxRate     float64 // groups per second
	rate        float64
	sentAt      time.Time
	notBefore   time.Time
	decreasedAt time.Time
}

// newSendRate returns the send rate of a writer whose groups are at least interval apart.
func newSendRate(interval time.Duration) sendRate {
	maxRate := float64(time.Second) / float64(interval)
	return sendRate{maxRate: maxRate, rate: maxRate}
}

// due returns when the next group may be sent.
func (r *sendRate) due() time.Time {
	due := r.sentAt.Add(time.Duration(float64(time.Second) / r.rate))
	if due.Before(r.notBefore) {
		return r.notBefore
	}
	return due
}

// sent records that a group was sent.
func (r *sendRate) sent(now time.Time) { r.sentAt = now }

// accepted records that the service accepted a group.
func (r *sendRate) accepted() { r.rate = min(r.maxRate, r.rate+rateIncrease) }

// throttled records that the service throttled a group. It reports whether the rate was decreased.
func (r *sendRate) throttled(now time.Time) bool {
	r.notBefore = now.Add(throttlePause)
	if now.Sub(r.decreasedAt) < decreaseInterval {
		return false
	}
	r.decreasedAt = now
	r.rate = max(minRate, r.rate*rateDecrease)
	return true
}

// isReduced reports whether the rate is below its maximum because the service throttled recent groups.
func (r *sendRate) isReduced() bool { return r.rate < r.maxRate }

// wait returns how long it takes to send the given number of groups at the current rate.
func (r *sendRate) wait(groups int) time.Duration {
	return time.Duration(float64(groups) / r.rate * float64(time.Second))
}
