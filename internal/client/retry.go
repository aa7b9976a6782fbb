package client

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
)

// RetryPolicy configures how often and when an operation is repeated; zero values mean the defaults.
type RetryPolicy struct {
	MaxAttempts int           // including the first; default 8
	BaseDelay   time.Duration // maximum of the first delay, doubled each time; default 100 ms
	MaxDelay    time.Duration // maximum of later delays; default 10 s
	// Idempotent means that repeating the operation has no further effect, as
	// with a call under its sequence. Without it, an attempt is repeated only
	// if it certainly did not run.
	Idempotent bool
}

const (
	defaultMaxAttempts = 8
	defaultBaseDelay   = 100 * time.Millisecond
	defaultMaxDelay    = 10 * time.Second
)

func (p RetryPolicy) withDefaults() RetryPolicy {
	if p.MaxAttempts == 0 {
		p.MaxAttempts = defaultMaxAttempts
	}
	if p.BaseDelay == 0 {
		p.BaseDelay = defaultBaseDelay
	}
	if p.MaxDelay == 0 {
		p.MaxDelay = defaultMaxDelay
	}
	return p
}

// Retry runs the operation until it succeeds, fails finally, or the policy or ctx allow no further attempt, and
// returns the last error. Delays have full jitter in addition to the delay that the node requests; a delay that
// would exceed ctx's deadline ends the retries immediately. Once an attempt may have run, no later rejection is
// returned as not run.
func Retry(ctx context.Context, policy RetryPolicy, operation func(context.Context) error) error {
	policy = policy.withDefaults()
	var tracker executionTracker
	for attempt := 1; ; attempt++ {
		err := operation(context.WithValue(ctx, attemptKey{}, attempt))
		if err == nil {
			return nil
		}
		repeatable := mayRepeat(err, policy.Idempotent)
		err = tracker.record(err)
		if !repeatable || ctx.Err() != nil || attempt >= policy.MaxAttempts {
			return err
		}
		if !pause(ctx, policy.delay(attempt, err)) {
			return err
		}
	}
}

// attemptKey is the context key of the attempt's number within Retry.
type attemptKey struct{}

// isFirstAttempt reports whether Retry runs its operation for the first time. Outside Retry it returns false,
// because earlier attempts are unknown.
func isFirstAttempt(ctx context.Context) bool {
	attempt, known := ctx.Value(attemptKey{}).(int)
	return known && attempt == 1
}

// mayRepeat reports whether a repetition is safe and may succeed.
func mayRepeat(err error, idempotent bool) bool {
	var transport *TransportError
	if errors.As(err, &transport) {
		return !transport.MaybeSent || idempotent
	}
	var problem *api.Error
	if !errors.As(err, &problem) || !problem.Code.Info().Retry {
		return false
	}
	return problem.Execution == api.NotRun || idempotent
}

// delay returns the delay that the node requests plus a random part of the backoff.
func (p RetryPolicy) delay(attempt int, err error) time.Duration {
	ceiling := p.BaseDelay
	for range attempt - 1 {
		ceiling = min(2*ceiling, p.MaxDelay)
	}
	jitter := time.Duration(rand.Int64N(int64(min(ceiling, p.MaxDelay)) + 1))
	var problem *api.Error
	if errors.As(err, &problem) {
		return problem.RetryAfter + jitter
	}
	return jitter
}

// pause waits and returns true, or returns false if ctx does not leave enough time.
func pause(ctx context.Context, delay time.Duration) bool {
	deadline, bounded := ctx.Deadline()
	if bounded && time.Until(deadline) <= delay {
		return false
	}
	return backoff.Wait(ctx, delay)
}
