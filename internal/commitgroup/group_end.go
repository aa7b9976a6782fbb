package commitgroup

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// completeGroup handles the result of a group: it answers the members, or queues them again if the service
// has certainly applied nothing.
func (g *Group) completeGroup(f *inFlightGroup, receipt tablestore.Receipt, err error) {
	now := time.Now()
	var reducedTo float64
	var applied []*member
	g.mutex.Lock()
	g.stats.CallTime += now.Sub(f.sentAt)
	delete(g.inFlight, f)
	f.overdueTimer.Stop()
	if f.resent {
		applied = g.handleLateResult(f, now, receipt, err)
		g.cancelUnneeded()
		g.schedule(now)
		g.mutex.Unlock()
		g.reportCommitted(applied)
		return
	}
	g.queue.unlock(activeMembers(f.members))
	var conflict *tablestore.ConflictError
	switch {
	case errors.As(err, &conflict):
		g.stats.Conflicts++
		g.recordResponse(f, now)
		g.requeue(answerConflicting(f.members, conflict))
	case err == nil:
		g.recordResponse(f, now)
		applied = f.members
		answerAll(f.members, receipt, nil)
	case errors.Is(err, tablestore.ErrThrottled):
		g.stats.Throttled++
		if g.recordThrottled(f, now) && g.sendRate.throttled(now) {
			reducedTo = g.sendRate.rate
		}
		for _, m := range f.members {
			m.throttled = true
		}
		g.requeue(f.members)
	case f.failing && hasFailed(f, err):
		g.recordLost(f, err, now)
		answerAll(f.members, tablestore.Receipt{}, err)
	case shouldSplit(f.members, err):
		g.stats.Split++
		g.split(f, err, now)
	case g.mayResendLost(f, err, now):
		g.stats.Split++
		g.resendLost(f, now)
	default:
		g.recordLost(f, err, now)
		answerAll(f.members, tablestore.Receipt{}, err)
	}
	g.cancelUnneeded()
	g.schedule(now)
	g.mutex.Unlock()
	if reducedTo > 0 && g.onRateReduced != nil {
		g.onRateReduced(reducedTo)
	}
	g.reportCommitted(applied)
}

// reportCommitted calls onCommit for each of the transactions that took effect.
func (g *Group) reportCommitted(applied []*member) {
	if g.onCommit == nil {
		return
	}
	for _, m := range applied {
		g.onCommit(m.transaction)
	}
}

// shouldSplit reports whether the members of a group that was not applied are to be sent again in smaller
// groups, since one of them or its part may be the cause of the failure.
func shouldSplit(members []*member, err error) bool {
	switch {
	case errors.Is(err, tablestore.ErrUnknownOutcome), errors.Is(err, tablestore.ErrUnreachable):
		return false
	case errors.Is(err, tablestore.ErrRejected):
		return len(members) > 1
	}
	return errors.Is(err, tablestore.ErrUnavailable) && spansParts(members)
}

// split queues the members of a failed group again: each on its own if the group was rejected, otherwise by
// part. The mutex is held.
func (g *Group) split(f *inFlightGroup, err error, now time.Time) {
	if !errors.Is(err, tablestore.ErrRejected) {
		g.queue.isolate(g.separate(f, unanswered(f.members), now), now)
	}
	for _, m := range f.members {
		m.sendAlone = m.sendAlone || errors.Is(err, tablestore.ErrRejected)
	}
	g.requeue(f.members)
}

// recordResponse records that the service processed a group. The mutex is held.
func (g *Group) recordResponse(f *inFlightGroup, now time.Time) {
	g.sendRate.accepted()
	g.lastResponseAt, g.trialLosses = now, 0
	part := severalParts
	if f.failing {
		g.queue.recordFailingAnswered(f.members)
	}
	if !spansParts(f.members) {
		part = f.members[0].part
		g.queue.updateIsolation(part, f.overdue, now)
		g.recordAccepted(part, now)
	}
	// An overdue group of several parts may have waited for a part whose own groups are recorded.
	if part != severalParts || !f.overdue {
		g.recordTime(part, now.Sub(f.sentAt), now)
	}
	// An overdue response shows that the service is slow, not that another part is unresponsive.
	if g.lastAnsweredSentAt.Before(f.sentAt) && !f.overdue {
		g.lastAnsweredSentAt, g.lastAnsweredTook = f.sentAt, now.Sub(f.sentAt)
		g.resendOverdueSoon(now)
	}
}

// requeue queues those members again whose callers still wait for a result. The mutex is held.
func (g *Group) requeue(members []*member) {
	g.queue.requeue(unanswered(members))
}

// activeMembers returns the members whose callers have not cancelled.
func activeMembers(members []*member) []*member {
	waiting := make([]*member, 0, len(members))
	for _, m := range members {
		if !m.cancelled {
			waiting = append(waiting, m)
		}
	}
	return waiting
}

// answerConflicting answers the members whose conditions do not hold, and returns the others.
func answerConflicting(members []*member, conflict *tablestore.ConflictError) []*member {
	current := make(map[string]tablestore.Row, len(conflict.Rows))
	for _, row := range conflict.Rows {
		current[row.Key] = row
	}
	var rest []*member
	index := conflict.Index
	for _, m := range members {
		own := ownConflict(m.transaction, conflict, current)
		if index >= 0 && index < len(m.transaction.Conditions) {
			own = &tablestore.ConflictError{Index: index, Current: conflict.Current}
		}
		index -= len(m.transaction.Conditions)
		if own == nil {
			rest = append(rest, m)
			continue
		}
		m.answer(answer{err: own})
	}
	return rest
}

// ownConflict returns the first condition of a transaction that does not hold, according to the rows that the
// service returned; nil if there is none or it returned no rows.
func ownConflict(transaction tablestore.Transaction, conflict *tablestore.ConflictError, current map[string]tablestore.Row) *tablestore.ConflictError {
	if conflict.Rows == nil {
		return nil
	}
	for i, condition := range transaction.Conditions {
		row, present := current[condition.Key]
		if !present {
			row = tablestore.Row{Key: condition.Key}
		}
		if row.Revision != condition.Revision {
			return &tablestore.ConflictError{Index: i, Current: row}
		}
	}
	return nil
}

// answerAll gives all members the same result, each with the revisions of its own rows.
func answerAll(members []*member, receipt tablestore.Receipt, err error) {
	for _, m := range members {
		own := answer{err: err}
		if err == nil {
			own.receipt.Revisions = make(map[string]uint64, len(m.transaction.Writes))
			for _, write := range m.transaction.Writes {
				if !write.Delete {
					own.receipt.Revisions[write.Key] = receipt.Revisions[write.Key]
				}
			}
		}
		m.answer(own)
	}
}
