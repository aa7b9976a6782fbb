package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// readCheckInterval is the time between two decisions whether to give up a read of which nothing has arrived.
const readCheckInterval = 20 * time.Millisecond

// pendingRead decides how long to wait for a read of which nothing arrives. Safe for concurrent use.
//
// Such a read is lost, or its answer waits in a queue on the link to the table, behind the answers to other calls of
// this node or of others; given up and sent again, it would only make that queue longer. Answers leave the queue in the
// order in which the table sent them. So the read is given up once a call that was sent later is answered first, and
// small reads are sent for that. While nothing else is answered either, the read is waited for, until the table counts as
// down without an answer to any call since: new reads are refused from then on, and callers that wait are held no longer.
type pendingRead struct {
	ledger   *Ledger
	ctx      context.Context // the caller's
	probing  context.Context // of the probes that this read sends
	end      func()          // ends them
	part     int
	key      string // the first one that is read
	began    time.Time
	sentAt   time.Time
	maxQuiet time.Duration // how long to wait while nothing else is answered
	isFirst  bool          // it is the first attempt
	counted  atomic.Bool   // it counts as a failed call of its part, since it exceeded the timeout of a read
	// waitedInstead is set if the read was waited for although it had exceeded the timeout of a read. The time for
	// another attempt has passed then.
	waitedInstead atomic.Bool
}

// newPendingRead returns the state of a read that is sent now, until end is called. timeout is that of one read,
// attempts how many were made before it.
func (l *Ledger) newPendingRead(ctx context.Context, part int, key string, attempts int, timeout time.Duration) *pendingRead {
	p := &pendingRead{ledger: l, ctx: ctx, part: part, key: key, began: l.options.Now(), sentAt: time.Now(),
		maxQuiet: maxQuietRead(ctx, timeout), isFirst: attempts == 0}
	p.probing, p.end = context.WithCancel(ctx)
	return p
}

// maxQuietRead returns how long a read is waited for while the table answers nothing: half of what its caller waits, but
// at most silenceTimeout, and no less than the attempts that it replaces would take.
func maxQuietRead(ctx context.Context, timeout time.Duration) time.Duration {
	quiet := silenceTimeout
	if deadline, bounded := ctx.Deadline(); bounded {
		quiet = min(quiet, time.Until(deadline)/2)
	}
	return max(quiet, maxUnansweredReads*timeout)
}

// waitLonger returns how much longer to wait for a read of which nothing has arrived for the given time; see
// progress.Limits.Late. The timeout of the read has passed, which counts against its part as ever.
func (p *pendingRead) waitLonger(silent time.Duration) time.Duration {
	l := p.ledger
	isLost := l.health.answeredFastSince(p.began) || l.probes.answeredSince(p.sentAt)
	isDown := l.health.allDown() && !l.health.answeredSince(p.began)
	if !p.isFirst || isLost || isDown {
		p.waitedInstead.Store(false)
		return 0
	}
	if silent >= p.maxQuiet {
		return 0
	}
	p.waitedInstead.Store(true)
	if p.counted.CompareAndSwap(false, true) {
		l.callEnded(p.ctx, reading, p.part, errSilence, p.began)
	}
	l.probes.send(p.probing, l.options.Table, p.key, accountKey((p.part+1)%Parts, ""))
	return min(readCheckInterval, p.maxQuiet-silent)
}

// isCounted reports whether the outcome of the read already counts: it was given up because a probe was answered. A read
// that was waited for instead of another attempt counts as that one too.
func (p *pendingRead) isCounted(err error) bool {
	return err != nil && p.counted.Load() && !p.waitedInstead.Load() && !errors.Is(err, errNoAnswer)
}

// readProbes are small reads that show whether the table answers, while other reads wait for their answers. All reads of
// a node share them. Safe for concurrent use.
type readProbes struct {
	mutex    sync.Mutex
	inFlight int
	// answeredSentAt is when the newest of the answered probes was sent.
	answeredSentAt time.Time
}

// answeredSince reports whether a probe that was sent after the given time was answered.
func (p *readProbes) answeredSince(sentAt time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.answeredSentAt.After(sentAt)
}

// send reads one row for each of the keys, unless earlier probes are still in flight. The keys are of different parts,
// of which one may not respond.
func (p *readProbes) send(ctx context.Context, table tablestore.Table, keys ...string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.inFlight > 0 {
		return
	}
	p.inFlight = len(keys)
	for _, key := range keys {
		go p.read(ctx, table, key, time.Now())
	}
}

// read reads one row. A failed read shows nothing: the table may be away, or its answer be as late as others.
func (p *readProbes) read(ctx context.Context, table tablestore.Table, key string, sentAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err := table.Get(ctx, key)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.inFlight--
	if err == nil && p.answeredSentAt.Before(sentAt) {
		p.answeredSentAt = sentAt
	}
}
