package ingress

import (
	"fmt"
	"time"
)

// Limits of rejecting requests during an outage of the table.
const (
	// minOutage is how long an outage of the table must last before turns of running programs are
	// rejected with a Retry-After. A turn whose record cannot be written is waited for about that
	// long, so a turn that arrives later belongs to a client that was waiting during the outage
	// already. If the table recovers sooner, an optimistic run serves a turn sooner than a retry.
	minOutage = 1500 * time.Millisecond
	// minRetryAfter is the shortest useful wait before a retry.
	minRetryAfter = 300 * time.Millisecond
	// maxWaitDivisor divides a client's remaining time: it waits for at most that share before it retries.
	maxWaitDivisor = 3
)

// outage describes an outage of the table and a turn that arrives during it.
type outage struct {
	duration        time.Duration // since the first call that failed
	remaining       time.Duration // until the client's deadline
	clientTimeout   time.Duration // how long the client waits for an answer to start
	hasPreviousTurn bool          // the turn's program has completed turns
}

// retryAfter returns after what time the client should retry, instead of an optimistic run of its
// turn; zero if the turn is to run at once.
//
// A client sends a turn a few times. Each time it waits for an answer to start no longer than its
// timeout, however much time it has until its deadline. Time beyond that timeout is best spent before
// a retry, so that the retry still has the whole timeout. In this way three sends bridge the longest
// outage. A new program mostly misses its deadline if it loses that time; a running program has been
// waiting since the outage began.
func (o outage) retryAfter() time.Duration {
	spare := min(o.remaining-o.clientTimeout, o.remaining/maxWaitDivisor)
	if !o.hasPreviousTurn || o.duration < minOutage || spare < minRetryAfter {
		return 0
	}
	return spare
}

// reason explains the Retry-After to the client.
func (o outage) reason() string {
	return fmt.Sprintf("; the table has been away for %d ms, and the caller has %d ms beyond the %d ms that it waits for an answer to begin",
		o.duration.Milliseconds(), (o.remaining - o.clientTimeout).Milliseconds(), o.clientTimeout.Milliseconds())
}
