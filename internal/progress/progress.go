// Package progress bounds how long a call may take by the time since the last part of its answer arrived.
//
// A fixed timeout for a whole answer does not suit a large answer on a slow or shared link: it aborts the call while
// bytes arrive, discards what has arrived, and the next attempt begins at the first byte. If many calls do so at once,
// the link is full of answers that nobody receives completely. A call with Limits continues for as long as bytes arrive.
package progress

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStalled is the cause of a context that ended because nothing of its call's answer arrived in time.
var ErrStalled = errors.New("no part of the answer arrived in time")

// Limits bound one call.
type Limits struct {
	First time.Duration // until the first part of the answer
	Idle  time.Duration // between two parts
	Total time.Duration // for the whole call, even if parts arrive
	// Late, if not nil, is called when no part has arrived within First or Idle, and returns how much longer to wait;
	// 0 ends the call. silent is the time since the last part, or since the call began. Total holds all the same.
	Late func(silent time.Duration) time.Duration
	// Standstill, if not 0, is how late this process may run its checks of the call, which are as far apart. If one is
	// later, the process stood still and may not have read what has arrived, whether or not First or Idle passed meanwhile:
	// the call gets Idle from then on. Total holds all the same.
	Standstill time.Duration
}

// bounded is a context that ends with its parent, or when its call exceeds its limits.
type bounded struct {
	context.Context // ends with the parent, or when cancel is called
	cancel          context.CancelCauseFunc
	parent          *bounded // nearest bounded context among its ancestors; nil if there is none
	limits          Limits
	began           time.Time
	latestEnd       time.Time // by Limits.Total
	done            chan struct{}

	mutex        sync.Mutex
	deadline     time.Time
	lastReceived time.Time // when the last part arrived; zero before the first
	timer        *time.Timer
	checkAt      time.Time // when the timer is due
}

// boundedKey is the context key of the nearest bounded context.
type boundedKey struct{}

// WithLimits returns a context that ends, with context.DeadlineExceeded and the cause ErrStalled, when a call
// exceeds the limits. The reader of the answer calls Report for each part.
func WithLimits(parent context.Context, limits Limits) (context.Context, context.CancelFunc) {
	now := time.Now()
	b := &bounded{limits: limits, began: now, latestEnd: now.Add(limits.Total), deadline: now.Add(min(limits.First, limits.Total)), done: make(chan struct{})}
	b.parent, _ = parent.Value(boundedKey{}).(*bounded)
	b.Context, b.cancel = context.WithCancelCause(parent)
	context.AfterFunc(b.Context, func() { close(b.done) })
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.checkAt = b.nextCheck(now)
	b.timer = time.AfterFunc(time.Until(b.checkAt), b.checkDeadline)
	return b, func() {
		b.timer.Stop()
		b.cancel(context.Canceled)
	}
}

// Report records that a part of an answer has arrived, for all limits that apply to its call.
func Report(ctx context.Context) {
	b, _ := ctx.Value(boundedKey{}).(*bounded)
	for ; b != nil; b = b.parent {
		b.recordPart(time.Now())
	}
}

// Recent reports whether a part of the call's answer has arrived recently: no longer ago than Limits.Idle of the
// nearest limits. It returns false without limits.
func Recent(ctx context.Context) bool {
	b, _ := ctx.Value(boundedKey{}).(*bounded)
	if b == nil {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !b.lastReceived.IsZero() && time.Since(b.lastReceived) <= b.limits.Idle
}

// Begun reports whether a part of the call's answer has arrived, under the nearest limits. It returns false without limits.
func Begun(ctx context.Context) bool {
	b, _ := ctx.Value(boundedKey{}).(*bounded)
	if b == nil {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !b.lastReceived.IsZero()
}

// recordPart extends the deadline after a part has arrived.
func (b *bounded) recordPart(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lastReceived = now
	if next := now.Add(b.limits.Idle); next.After(b.deadline) {
		b.deadline = next
	}
	if b.deadline.After(b.latestEnd) {
		b.deadline = b.latestEnd
	}
}

// checkDeadline ends the context if its deadline has passed and Limits.Late does not extend it, and otherwise checks
// again at the deadline.
func (b *bounded) checkDeadline() {
	if b.Context.Err() != nil {
		return // the call has ended, and Late has nothing to decide
	}
	if b.stoodStill(time.Now()) {
		b.extend(b.limits.Idle)
	} else if silent, overdue := b.silence(); overdue >= 0 && b.limits.Late != nil {
		b.extend(b.limits.Late(silent))
	}
	if !b.checkAgain(time.Now()) {
		b.cancel(ErrStalled)
	}
}

// stoodStill reports whether this process runs the check that is due later than Limits.Standstill.
func (b *bounded) stoodStill(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.limits.Standstill > 0 && now.Sub(b.checkAt) > b.limits.Standstill
}

// checkAgain sets the timer for the next check. It returns false if the deadline has passed.
func (b *bounded) checkAgain(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.deadline.After(now) {
		return false
	}
	b.checkAt = b.nextCheck(now)
	b.timer.Reset(b.checkAt.Sub(now))
	return true
}

// nextCheck returns when the next check is due: at the deadline, or earlier to notice that this process stands still. The
// mutex is held.
func (b *bounded) nextCheck(now time.Time) time.Time {
	next := now.Add(b.limits.Standstill)
	if b.limits.Standstill == 0 || next.After(b.deadline) {
		return b.deadline
	}
	return next
}

// silence returns for how long no part has arrived, and for how long the deadline has passed; negative if it has not.
func (b *bounded) silence() (silent, overdue time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	last := b.began
	if !b.lastReceived.IsZero() {
		last = b.lastReceived
	}
	return time.Since(last), time.Since(b.deadline)
}

// extend moves the deadline to the given time from now, unless a part has moved it further.
func (b *bounded) extend(longer time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if next := time.Now().Add(longer); longer > 0 && next.After(b.deadline) {
		b.deadline = next
	}
	if b.deadline.After(b.latestEnd) {
		b.deadline = b.latestEnd
	}
}

// Deadline implements context.Context. It returns the current deadline, which Report and
// Limits.Late may extend.
func (b *bounded) Deadline() (time.Time, bool) {
	b.mutex.Lock()
	own := b.deadline
	b.mutex.Unlock()
	if inherited, hasDeadline := b.Context.Deadline(); hasDeadline && inherited.Before(own) {
		return inherited, true
	}
	return own, true
}

// Done implements context.Context. Its channel differs from that of the embedded context, since contexts
// derived from this one would otherwise take that context's error for their own.
func (b *bounded) Done() <-chan struct{} { return b.done }

// Err implements context.Context.
func (b *bounded) Err() error {
	err := b.Context.Err()
	if err != nil && errors.Is(context.Cause(b.Context), ErrStalled) {
		return context.DeadlineExceeded
	}
	return err
}

// Value implements context.Context.
func (b *bounded) Value(key any) any {
	if key == (boundedKey{}) {
		return b
	}
	return b.Context.Value(key)
}

// AfterFunc lets derived contexts end without a goroutine each; see context.AfterFunc.
func (b *bounded) AfterFunc(f func()) (stop func() bool) { return context.AfterFunc(b.Context, f) }
