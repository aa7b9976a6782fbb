package commitgroup

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Settings of groups that are not answered in time. Parts of the service may give no answer
// while the others do, and a group of several parts waits for all of them.
const (
	// leastOverdue is how long a group may go unanswered before it is late. An answer takes
	// 8 ms as a rule.
	leastOverdue = 40 * time.Millisecond
	// overdueTimes is how many times the usual time of an answer that is.
	overdueTimes = 4
	// trialPause is between two late groups that are sent again while nothing else is
	// answered: a service that has become slow for all must not get everything twice.
	trialPause = 150 * time.Millisecond
	// maxUnanswered bounds the groups under way together with the late ones.
	maxUnanswered = 96
)

// overdueAfter returns how long a group may go unanswered. The mutex is held.
func (g *Group) overdueAfter() time.Duration { return max(leastOverdue, overdueTimes*g.usual) }

// isLate notes that a group is not answered in time. It keeps no other from being sent. Its
// members are sent again if the service answers others, for then a part of it is silent, or
// as a trial. What comes of the late group is taken all the same.
func (g *Group) isLate(f *flight) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.underWay[f] {
		return
	}
	f.late = true
	switch {
	case f.sentAt.Before(g.answeredSent):
		g.sendAgain(f, now)
	case spans(f.members) && now.Sub(g.triedAt) >= trialPause:
		g.triedAt = now
		g.sendAgain(f, now)
	}
	g.schedule(now)
}

// isUrgent reports whether the next group begins with a member that was sent before, and the service
// is known to answer: one group becomes several, which need not wait for each other. The mutex is
// held.
func (g *Group) isUrgent(now time.Time) bool {
	return !g.answeredSent.Before(g.triedAt) && g.queue.beginsInDoubt(now)
}

// sendLateAgain sends the members of all late groups again that were sent before the newest one
// that the service has answered. The mutex is held.
func (g *Group) sendLateAgain(now time.Time) {
	for f := range g.underWay {
		if f.late && !f.givenUp && f.sentAt.Before(g.answeredSent) {
			g.sendAgain(f, now)
		}
	}
}

// sendAgain queues the members of a late group once more, by part. Each is conditional on what
// it writes, so that it is applied once at most. The mutex is held.
func (g *Group) sendAgain(f *flight, now time.Time) {
	f.givenUp = true
	g.stats.Overdue++
	if spans(f.members) {
		g.queue.setApart(f.members, now)
	} else {
		g.queue.silent.missed(f.members[0].part, now)
	}
	open := unanswered(f.members)
	for _, m := range open {
		m.inDoubt = true
	}
	g.queue.release(waitedFor(f.members))
	g.queue.putBack(open)
}

// landLate takes the outcome of a group whose members were sent again. Only that all were applied
// decides anything about them; it returns those. The mutex is held.
func (g *Group) landLate(f *flight, now time.Time, receipt tablestore.Receipt, err error) []*member {
	var conflict *tablestore.ConflictError
	isConflict := errors.As(err, &conflict)
	if err != nil && !isConflict {
		return nil
	}
	g.answered(f, now)
	if isConflict {
		return nil
	}
	for _, m := range unanswered(f.members) {
		if !m.taken {
			g.queue.remove(m)
		}
	}
	answerAll(f.members, receipt, nil)
	return f.members
}

// unanswered returns the members whose callers still wait, and have no answer.
func unanswered(members []*member) []*member {
	return slices.DeleteFunc(waitedFor(members), func(m *member) bool { return m.answered })
}

// cancelUnneeded ends the calls of groups for which nobody waits any more. A slow service does the
// work of those all the same, and their answers tell how slow it is. The mutex is held.
func (g *Group) cancelUnneeded() {
	if g.isSlow() {
		return
	}
	for f := range g.underWay {
		if len(unanswered(f.members)) == 0 {
			f.cancel()
		}
	}
}
