package ledger

import (
	"sync/atomic"
	"time"
)

// answersPerWrite is how many answers a write may have to wait for, one after another: its own, and before that one to
// an earlier write of its part, as writers keep few writes of a part in flight.
const answersPerWrite = 2

// pendingWrite holds what is known of a write in flight, and decides when to abandon it. Safe for concurrent use.
//
// A write whose row is read as unchanged by a read as slow as those of a slow table is queued, and is waited for. Any
// other is abandoned after the timeout of a call, or after silenceTimeout if nothing else was answered either.
type pendingWrite struct {
	health  *health
	began   time.Time // by the ledger's clock
	sentAt  time.Time
	abandon func()

	queued           atomic.Bool
	timedOut         atomic.Bool
	partUnresponsive atomic.Bool
	readTime         atomic.Int64 // response time of the last read that was answered, in ns; 0 before the first
}

// limit abandons the write once it is due, until the returned function is called. timeout is the timeout of a call.
// callerDeadline is when the caller stops waiting; giveUpAt, if not zero, is when it would rather do without the write.
func (p *pendingWrite) limit(timeout time.Duration, giveUpAt, callerDeadline time.Time) (stop func()) {
	timers := []*time.Timer{
		time.AfterFunc(timeout, func() {
			if p.isOnlyOneUnanswered() && !p.queued.Load() {
				p.timeOut()
			}
		}),
		time.AfterFunc(max(timeout, silenceTimeout), func() {
			if !p.queued.Load() {
				p.timeOut()
			}
		}),
	}
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

// timeOut abandons the write for lack of a response.
func (p *pendingWrite) timeOut() {
	p.timedOut.Store(true)
	p.abandon()
}

// recordRead records that a read of the row was answered.
func (p *pendingWrite) recordRead(took time.Duration) { p.readTime.Store(max(1, int64(took))) }

// isOnlyOneUnanswered reports whether another call was answered: a read of the row, or any call fast. If not, the table
// may have become slow as a whole, as behind a queue on the link to it.
func (p *pendingWrite) isOnlyOneUnanswered() bool {
	return p.readTime.Load() > 0 || p.health.answeredFastSince(p.began)
}

// isPartUnresponsive reports whether calls to other parts are answered fast, and no read of the row was.
func (p *pendingWrite) isPartUnresponsive() bool {
	return p.readTime.Load() == 0 && p.health.answeredFastSince(p.began)
}

// mayBeRepeatedBy reports whether another write, sent now, may be answered by a deadline, judging by the reads beside
// this one. If not, it would only wait in the same queue as this one does.
func (p *pendingWrite) mayBeRepeatedBy(deadline time.Time) bool {
	if !p.isOnlyOneUnanswered() {
		return false
	}
	return answersPerWrite*time.Duration(p.readTime.Load()) < time.Until(deadline)
}
