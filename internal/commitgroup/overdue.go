package commitgroup

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Settings of groups without a response in time. Some parts of the service may not respond while the others
// do, and a group of several parts waits for all of them.
const (
	// minOverdue is the shortest time without a response after which a group is overdue. A response
	// usually takes 8 ms.
	minOverdue = 40 * time.Millisecond
	// overdueFactor is this time as a multiple of the smoothed response time.
	overdueFactor = 4
	// reorderTime is how much later than the response to a group that of a group sent before may arrive: they may be
	// on different connections, and leave a queue on the path together.
	reorderTime = 10 * time.Millisecond
	// probeInterval is the time between two overdue groups for which the service is probed while nothing is
	// answered: a service that has become slow for all parts must not get everything twice.
	probeInterval = 150 * time.Millisecond
	// probeReads is the number of parts of an overdue group that a probe reads. One of them may be the part that does
	// not respond.
	probeReads = 2
	// maxUnanswered bounds the groups in flight, including the overdue ones.
	maxUnanswered = 96
)

// overdueAfter returns the time without a response after which a group is overdue. The mutex is held.
func (g *Group) overdueAfter() time.Duration { return max(minOverdue, overdueFactor*g.responseTime) }

// markOverdue marks a group that got no response in time. It no longer holds back other groups. Its members are
// resent if the service has answered a later group, which means that one of its parts is unresponsive. While nothing
// sent later is answered, reads show whether the service responds. A result of the overdue group still counts.
func (g *Group) markOverdue(f *inFlightGroup) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.inFlight[f] {
		return
	}
	f.overdue = true
	switch {
	case f.sentAt.Before(g.lastAnsweredSentAt):
		g.resendOverdueSoon(now)
	case spansParts(f.members) && now.Sub(g.lastProbeAt) >= probeInterval:
		g.lastProbeAt = now
		go g.probe(f, g.overdueAfter())
	}
	g.schedule(now)
}

// probe reads a row of some parts of an overdue group, and resends its members if one of the reads is answered in
// time: the service responds, and the group waits for one of its parts. If none is, the service, or the path to it, has
// probably become slow for all, and everything that were resent would wait there as well.
func (g *Group) probe(f *inFlightGroup, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	keys := probeKeys(f.members)
	answered := make(chan bool, len(keys))
	for _, key := range keys {
		go func() {
			_, err := g.table.Get(ctx, key)
			answered <- err == nil
		}()
	}
	for range keys {
		if <-answered {
			g.resendProbed(f)
			return
		}
	}
}

// probeKeys returns a key of each of the first probeReads parts of a group.
func probeKeys(members []*member) []string {
	var keys []string
	for i, m := range members {
		isFirst := !slices.ContainsFunc(members[:i], func(other *member) bool { return other.part == m.part })
		if isFirst && len(keys) < probeReads {
			keys = append(keys, m.transaction.Conditions[0].Key)
		}
	}
	return keys
}

// resendProbed resends the members of an overdue group, unless it has ended or was resent.
func (g *Group) resendProbed(f *inFlightGroup) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.inFlight[f] || f.resent {
		return
	}
	g.resend(f, now)
	g.schedule(now)
}

// isUrgent reports whether the next group starts with a member of an overdue group, and the service is known to
// respond: one group is split into several, which need not wait for each other. The mutex is held.
func (g *Group) isUrgent(first *member) bool {
	return first != nil && first.urgent && !g.lastAnsweredSentAt.Before(g.lastProbeAt)
}

// resendOverdueSoon resends the members of overdue groups that were sent before the newest answered group: at once if that
// one was answered fast, and otherwise after reorderTime if they have no response by then, since their responses may be
// in the same queue on the path. The mutex is held.
func (g *Group) resendOverdueSoon(now time.Time) {
	passed := g.passedGroups(g.lastAnsweredSentAt)
	if g.lastAnsweredTook < minOverdue {
		g.resendAll(passed, now)
		return
	}
	if len(passed) == 0 {
		return
	}
	time.AfterFunc(reorderTime, func() {
		now := time.Now()
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.resendAll(passed, now)
		g.schedule(now)
	})
}

// passedGroups returns the overdue groups that were sent before an answered group, and were not resent. The mutex is held.
func (g *Group) passedGroups(answeredSentAt time.Time) []*inFlightGroup {
	var passed []*inFlightGroup
	for f := range g.inFlight {
		if f.overdue && !f.resent && f.sentAt.Before(answeredSentAt) {
			passed = append(passed, f)
		}
	}
	return passed
}

// resendAll resends those of the groups that are still in flight and were not resent. The mutex is held.
func (g *Group) resendAll(groups []*inFlightGroup, now time.Time) {
	for _, f := range groups {
		if g.inFlight[f] && !f.resent {
			g.resend(f, now)
		}
	}
}

// resend queues the members of an overdue group again, by part. Each is conditional on what it writes, so that
// it is applied at most once. The mutex is held.
func (g *Group) resend(f *inFlightGroup, now time.Time) {
	f.resent = true
	g.stats.Overdue++
	if spansParts(f.members) {
		g.queue.isolate(f.members, now)
	} else {
		g.queue.unresponsive.recordMissed(f.members[0].part, now)
	}
	pending := unanswered(f.members)
	for _, m := range pending {
		m.unconfirmed, m.urgent = true, true
	}
	g.queue.unlock(activeMembers(f.members))
	g.queue.requeue(pending)
}

// handleLateResult handles the result of a group whose members were resent. Only success decides the outcome of
// the members; in that case it returns them. The mutex is held.
func (g *Group) handleLateResult(f *inFlightGroup, now time.Time, receipt tablestore.Receipt, err error) []*member {
	var conflict *tablestore.ConflictError
	isConflict := errors.As(err, &conflict)
	if err != nil && !isConflict {
		return nil
	}
	g.recordResponse(f, now)
	if isConflict {
		return nil
	}
	for _, m := range unanswered(f.members) {
		if !m.dequeued {
			g.queue.remove(m)
		}
	}
	answerAll(f.members, receipt, nil)
	return f.members
}

// unanswered returns the members whose callers still wait and that have no result yet.
func unanswered(members []*member) []*member {
	return slices.DeleteFunc(activeMembers(members), func(m *member) bool { return m.answered })
}

// cancelUnneeded cancels the calls of groups that no caller waits for. A slow service completes such calls
// anyway, and their responses show how slow it is, so they are kept. The mutex is held.
func (g *Group) cancelUnneeded() {
	if g.isSlow() {
		return
	}
	for f := range g.inFlight {
		if len(unanswered(f.members)) == 0 {
			f.cancel()
		}
	}
}
