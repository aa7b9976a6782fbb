package scheduler

import (
	"math/rand/v2"
	"time"
)

// maxRetryTokens bounds the retries that accumulate while no retry is needed.
const maxRetryTokens = 20.0

// RetryBudget limits retries to a fraction of fresh calls, so that retries
// cannot multiply the load of failing engines. Not safe for concurrent use.
type RetryBudget struct {
	share  float64
	tokens float64
}

// NewRetryBudget returns a budget that allows share retries per fresh call,
// DefaultRetryBudget if share is zero, and none if it is negative. A budget that
// allows retries starts with one.
func NewRetryBudget(share float64) *RetryBudget {
	budget := &RetryBudget{share: valueOr(share, DefaultRetryBudget)}
	if budget.share > 0 {
		budget.tokens = 1
	}
	return budget
}

// Earn counts one fresh call.
func (b *RetryBudget) Earn() { b.tokens = min(maxRetryTokens, b.tokens+b.share) }

// Spend consumes one retry and reports whether one was available.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns a delay with full jitter: uniform between zero and
// base * 2^attempt, bounded by limit. Attempts count from 0; base and limit
// must be positive.
func Backoff(attempt int, base, limit time.Duration, random *rand.Rand) time.Duration {
	ceiling := limit
	if shifted := base << min(max(0, attempt), 30); shifted > 0 {
		ceiling = min(limit, shifted)
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}
