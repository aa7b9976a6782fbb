package commitgroup

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// MaxGroupDelay is the longest time that a transaction waits for others to join its group while the service
// responds and does not throttle.
const MaxGroupDelay = max(minGroupInterval, minSendDelay)

// Settings of sending groups.
const (
	// minGroupInterval is the shortest time between two groups. A longer one saves calls and delays each
	// transaction by half of it on average.
	minGroupInterval = 10 * time.Millisecond
	// maxInFlight is how many groups may be in flight at once, so that a group whose response is lost does
	// not block the others.
	maxInFlight = 8
	// minSendDelay is the shortest time for which the next group waits for the response to the group in
	// flight. A response usually takes 8 ms.
	minSendDelay = 25 * time.Millisecond
	// sendDelayFactor is this wait as a multiple of the smoothed response time. A part commits its writes
	// one after another: sending more while responses take longer would make them take longer still.
	sendDelayFactor = 3
	// maxSendDelay bounds the wait, so that lost responses do not delay the next groups for long.
	maxSendDelay = 400 * time.Millisecond
	// responseTimeSmoothing is the weight of the newest sample in the smoothed response time.
	responseTimeSmoothing = 0.2
	// commitTimeout bounds one call. The callers of its members may time out before: they wait 2 s for the end of an
	// answer, and a response that arrives until then still counts.
	commitTimeout = 2 * time.Second
)

// Stats holds the counters of a group since its start.
type Stats struct {
	Groups    uint64        // calls that carried transactions
	Members   uint64        // transactions in them
	Throttled uint64        // calls that the service rejected by its rate limit
	Conflicts uint64        // calls in which the condition of a member did not hold
	Split     uint64        // calls that failed because of one member or part, and were split up
	Overdue   uint64        // calls without a response in time, whose transactions were sent again
	Refused   uint64        // transactions rejected at once because the queue was too long
	QueueTime time.Duration // total time of transactions in the queue
	CallTime  time.Duration // total time of calls
	Rate      float64       // current send rate, in groups per second
}

// Group commits transactions together with others. It is safe for concurrent use.
type Group struct {
	table         tablestore.Table
	onRateReduced func(rate float64) // called when the send rate is reduced, by several goroutines; must not block
	// onCommit, if not nil, is called for each transaction that took effect; it must not block.
	onCommit func(tablestore.Transaction)

	mutex        sync.Mutex
	queue        queue
	sendRate     sendRate
	inFlight     map[*inFlightGroup]bool
	times        partTimes     // of the newest responses
	responseTime time.Duration // smoothed
	// lastAnsweredSentAt is when the newest of the answered groups was sent, and lastAnsweredTook how long it took. lastProbeAt is when the service was last
	// probed for an overdue group while it answered no group.
	lastAnsweredSentAt time.Time
	lastAnsweredTook   time.Duration
	lastProbeAt        time.Time
	lastResponseAt     time.Time // of any group
	trialLosses        int       // groups of one part that were lost while nothing was answered, since the last trial began
	path               latePath
	reads              partReads
	readsMisleadUntil  time.Time
	throttledParts     map[string]throttledPart // parts that rejected their last groups while the service was slow
	wake               *time.Timer
	stats              Stats
}

// inFlightGroup is a group that was sent and has no response yet.
type inFlightGroup struct {
	members      []*member
	sentAt       time.Time
	cancel       context.CancelFunc
	overdueTimer *time.Timer
	overdue      bool // no response in time; it does not hold back other groups
	resent       bool // its members were queued again
	mayRejoin    bool // its members may share a group again once reads of their parts are answered
	failing      bool // all of its parts counted as failing when it was sent
}

// NewGroup returns a group over the service. multiPart allows one transaction to span several parts.
// onRateReduced, if not nil, is called with the reduced send rate, in groups per second.
func NewGroup(table tablestore.Table, multiPart bool, onRateReduced func(rate float64)) *Group {
	return &Group{
		table:          table,
		onRateReduced:  onRateReduced,
		queue:          newQueue(multiPart),
		sendRate:       newSendRate(minGroupInterval),
		inFlight:       make(map[*inFlightGroup]bool),
		throttledParts: make(map[string]throttledPart),
		reads:          make(partReads),
	}
}

// Commit commits a transaction as tablestore.Table does. A transaction that cannot be sent before ctx ends is
// rejected at once with ErrThrottled. If ctx ends and the error is ErrThrottled or ErrUnavailable, the
// transaction was not applied and never will be. A transaction whose group got no response is sent again; a
// *tablestore.ConflictError for it is marked ErrUnknownOutcome, since the conflict may be with the
// transaction itself.
func (g *Group) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	m := newMember(transaction)
	if m == nil {
		return g.table.Commit(ctx, transaction)
	}
	if err := g.enqueue(ctx, m); err != nil {
		return tablestore.Receipt{}, err
	}
	select {
	case result := <-m.answers:
		return result.receipt, result.err
	case <-m.sentLate:
		tablestore.ReportSent(ctx)
	case <-ctx.Done():
		return g.handleCancelled(ctx, m)
	}
	select {
	case result := <-m.answers:
		return result.receipt, result.err
	case <-ctx.Done():
		return g.handleCancelled(ctx, m)
	}
}

// enqueue adds a member to the queue, unless it could not be sent before its deadline.
func (g *Group) enqueue(ctx context.Context, m *member) error {
	if ctx.Err() != nil {
		return errors.Mark(ctx.Err(), tablestore.ErrUnavailable)
	}
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wait := g.sendRate.wait(g.queue.groupsAhead(m.transaction.Deferrable))
	deadline, bounded := ctx.Deadline()
	if len(g.queue.waiting) >= maxWaiting || (bounded && now.Add(wait).After(deadline)) {
		g.stats.Refused++
		return errors.Mark(errors.Newf("%d transactions wait, which takes %s", len(g.queue.waiting), wait), tablestore.ErrThrottled)
	}
	m.queuedAt, m.deadline = now, deadline
	g.queue.push(m)
	g.schedule(now)
	return nil
}

// handleCancelled returns the result for a caller whose ctx has ended.
func (g *Group) handleCancelled(ctx context.Context, m *member) (tablestore.Receipt, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	select {
	case result := <-m.answers:
		return result.receipt, result.err
	default:
	}
	if !m.dequeued {
		g.queue.remove(m)
		m.throttled = m.throttled || g.sendRate.isReduced()
		if m.unconfirmed {
			m.cancelled = true
			g.cancelUnneeded()
			return tablestore.Receipt{}, m.markUnconfirmed(errors.Wrap(ctx.Err(), "still waiting for a group"))
		}
		kind := tablestore.ErrUnavailable
		if m.throttled {
			kind = tablestore.ErrThrottled
		}
		return tablestore.Receipt{}, errors.Mark(errors.Wrap(ctx.Err(), "still waiting for a group"), kind)
	}
	g.releaseCancelled(m)
	g.schedule(time.Now())
	return tablestore.Receipt{}, m.markThrottled(errors.Mark(errors.Wrap(ctx.Err(), "under way"), tablestore.ErrUnknownOutcome))
}

// releaseCancelled unlocks the keys of a member whose caller has cancelled, and cancels calls that no caller
// waits for. The caller may send its transaction again: both are conditional on what they write, so at most
// one of the two is applied. The mutex is held.
func (g *Group) releaseCancelled(m *member) {
	m.cancelled = true
	g.queue.unlock([]*member{m})
	g.cancelUnneeded()
}

// schedule sends the groups that are due, and sets the timer for the next one. The mutex is held.
func (g *Group) schedule(now time.Time) {
	for len(g.queue.waiting) > 0 && g.maySend() {
		due := g.due(now)
		if now.Before(due) {
			g.wakeAt(due, now)
			return
		}
		members, due := g.next(now)
		if len(members) == 0 {
			g.wakeForProbe(due, now)
			return
		}
		g.send(members, now)
	}
}

// next removes the members of the next group from the queue. If there are none, it returns when a part that
// is not ready may be written to; zero if no such time is known. The mutex is held.
func (g *Group) next(now time.Time) (members []*member, due time.Time) {
	if g.isSlow() {
		return g.nextSlow(now)
	}
	return g.queue.next(now), time.Time{}
}

// maySend reports whether one more group may be in flight. The mutex is held.
func (g *Group) maySend() bool {
	if g.isSlow() {
		return len(g.inFlight) < maxUnanswered
	}
	onTime := 0
	for f := range g.inFlight {
		if !f.overdue {
			onTime++
		}
	}
	return onTime < maxInFlight && len(g.inFlight) < maxUnanswered
}

// wakeForProbe sets the timer to the next probe of an unresponsive part, or to due if that is earlier and not
// zero. The mutex is held.
func (g *Group) wakeForProbe(due, now time.Time) {
	if probe, found := g.queue.nextProbe(); found && probe.After(now) && (due.IsZero() || probe.Before(due)) {
		due = probe
	}
	if !due.IsZero() {
		g.wakeAt(due, now)
	}
}

// due returns when the next group may be sent: as the send rate allows, and once the newest group in flight
// is answered or overdue. An urgent group waits only if the service has throttled, for the send rate. The
// members of a failed group do not wait for each other's responses, only for the send rate. The mutex is held.
func (g *Group) due(now time.Time) time.Time {
	due := g.sendRate.due()
	first := g.queue.first(now)
	if g.isUrgent(first) {
		if g.sendRate.isReduced() {
			return due
		}
		return now
	}
	if first != nil && first.failedIn != nil {
		return due
	}
	if g.isSlow() {
		return due // each part waits for its own groups only
	}
	for f := range g.inFlight {
		if f.overdue || g.queue.unresponsive.hasMissed(f.members[0].part) {
			continue
		}
		if waitEnd := f.sentAt.Add(g.sendDelay()); due.Before(waitEnd) {
			due = waitEnd
		}
	}
	return due
}

// sendDelay returns how long the next group waits for the response to the group in flight. The mutex is held.
func (g *Group) sendDelay() time.Duration {
	return min(maxSendDelay, max(minSendDelay, sendDelayFactor*g.responseTime))
}

// wakeAt sets the timer. The mutex is held.
func (g *Group) wakeAt(due, now time.Time) {
	if g.wake == nil {
		g.wake = time.AfterFunc(due.Sub(now), g.onTimer)
		return
	}
	g.wake.Reset(due.Sub(now))
}

func (g *Group) onTimer() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.schedule(time.Now())
}

// send sends a group. The mutex is held.
func (g *Group) send(members []*member, now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	f := &inFlightGroup{members: members, sentAt: now, cancel: cancel, failing: g.queue.allFailing(members, now)}
	g.inFlight[f] = true
	f.overdueTimer = time.AfterFunc(g.overdueAfter(), func() { g.markOverdue(f) })
	g.sendRate.sent(now)
	g.stats.Groups++
	g.stats.Members += uint64(len(members))
	for _, m := range members {
		g.stats.QueueTime += now.Sub(m.queuedAt)
		m.recordSent(now)
	}
	go func() {
		defer cancel()
		receipt, err := g.table.Commit(ctx, joined(members))
		g.completeGroup(f, receipt, err)
	}()
}

// joined returns the members' transactions as one.
func joined(members []*member) tablestore.Transaction {
	if len(members) == 1 {
		return members[0].transaction
	}
	transaction := tablestore.Transaction{WriteID: members[0].transaction.WriteID, Across: spansParts(members)}
	for _, m := range members {
		transaction.Conditions = append(transaction.Conditions, m.transaction.Conditions...)
		transaction.Writes = append(transaction.Writes, m.transaction.Writes...)
	}
	return transaction
}

// Stats returns the current counters.
func (g *Group) Stats() Stats {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	stats := g.stats
	stats.Rate = g.sendRate.rate
	return stats
}
