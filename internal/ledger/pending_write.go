package ledger

import (
	"sync/atomic"
	"time"
)

// answersPerWrite is how many answers a write may have to wait for, one after another: its own, and before that one to
// an earlier write of its part, as writers keep few writes of a part in flight.
const answersPerWrite = 2

// lateCheckInterval is the time between two decisions whether to abandon a write while the table's answers are late.
const lateCheckInterval = 100 * time.Millisecond

// pendingWrite holds what is known of a write in flight, and decides when to abandon it. Safe for concurrent use.
//
// A write whose row is read as unchanged by a read as slow as those of a slow table is queued, and is waited for. Any
// other is abandoned after the timeout of a call, or after silenceTimeout if nothing else was answered either. While
// answers to calls that were sent earlier still arrive late, its own is not due yet.
type pendingWrite struct {
	health  *health
	now     func() time.Time // the ledger's clock
	began   time.Time        // by the ledger's clock
	sentAt  time.Time
	abandon func()
	// onSilence, if not nil, is called instead of abandoning the write after silenceLimit: its caller then sends
	// another one in its place, and the answer to this one still counts.
	onSilence func()

	queued           atomic.Bool
	timedOut         atomic.Bool
	partUnresponsive atomic.Bool
	readTime         atomic.Int64 // response time of the last read that was answered, in ns; 0 before the first
	// readSentAt is when the row was first read, by the ledger's clock; nil before.
	readSentAt atomic.Pointer[time.Time]
	silence    *time.Timer // abandons the write after silenceLimit
	// silenceLimit is how long the write waits while nothing else is answered.
	silenceLimit time.Duration
}

// limit abandons the write once it is due, until the returned function is called. timeout is the timeout of a call.
// callerDeadline is when the caller stops waiting; giveUpAt, if not zero, is when it would rather do without the write.
func (p *pendingWrite) limit(timeout time.Duration, giveUpAt, callerDeadline time.Time) (stop func()) {
	p.silenceLimit = max(timeout, silenceTimeout)
	p.silence = time.AfterFunc(queuedTimeout, p.checkSilence)
	p.silence.Reset(p.silenceLimit)
	timers := []*time.Timer{p.silence, time.AfterFunc(timeout, func() {
		if p.isOnlyOneUnanswered() && !p.queued.Load() {
			p.timeOut()
		}
	})}
	if !giveUpAt.IsZero() {
		timers = append(timers, time.AfterFunc(time.Until(giveUpAt), func() {
			if p.mayBeRepeatedBy(callerDeadline) {
				p.timeOut()
			}
		}))
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
	}
}

// checkSilence abandons a write that is not known to be queued, or calls onSilence, unless the table's answers are late. The context of
// the write bounds for how long it is checked again.
func (p *pendingWrite) checkSilence() {
	switch {
	case p.queued.Load():
	case !p.isOnlyOneUnanswered() && p.health.answersLate(p.began):
		p.silence.Reset(lateCheckInterval)
	case p.onSilence != nil:
		p.onSilence()
	default:
		p.timeOut()
	}
}

// recordSent records that the write is sent to the table only now: it was queued at its writer, and no answer to it was
// due. The table's silence counts from here on.
func (p *pendingWrite) recordSent() { p.silence.Reset(p.silenceLimit) }

// timeOut abandons the write for lack of a response.
func (p *pendingWrite) timeOut() {
	p.timedOut.Store(true)
	p.abandon()
}

// recordReadSent records that a read of the row is sent.
func (p *pendingWrite) recordReadSent() {
	now := p.now()
	p.readSentAt.CompareAndSwap(nil, &now)
}

// recordRead records that a read of the row was answered.
func (p *pendingWrite) recordRead(took time.Duration) { p.readTime.Store(max(1, int64(took))) }

// isOnlyOneUnanswered reports whether another call was answered: a read of the row, or any later call fast. If not, the
// table may have become slow as a whole, as behind a queue on the link to it.
func (p *pendingWrite) isOnlyOneUnanswered() bool {
	return p.readTime.Load() > 0 || p.laterCallAnsweredFast()
}

// isPartUnresponsive reports whether calls to other parts are answered fast, and no read of the row was.
func (p *pendingWrite) isPartUnresponsive() bool {
	return p.readTime.Load() == 0 && p.laterCallAnsweredFast()
}

// laterCallAnsweredFast reports whether a call that was sent after the first read of the row was answered fast. The
// write itself may still have been at its writer when it was sent.
func (p *pendingWrite) laterCallAnsweredFast() bool {
	sentAt := p.began
	if read := p.readSentAt.Load(); read != nil {
		sentAt = *read
	}
	return p.health.answeredFastSince(sentAt)
}

// mayBeRepeatedBy reports whether another write, sent now, may be answered by a deadline, judging by the reads beside
// this one. If not, it would only wait in the same queue as this one does.
func (p *pendingWrite) mayBeRepeatedBy(deadline time.Time) bool {
	if !p.isOnlyOneUnanswered() {
		return false
	}
	return answersPerWrite*time.Duration(p.readTime.Load()) < time.Until(deadline)
}
