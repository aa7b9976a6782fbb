package commitgroup

import (
	"context"
	"slices"
	"time"
)

// Settings that distinguish a service whose responses are late on their way from one whose parts are slow.
const (
	// lateRead is the time from which a read shows that responses are late on their way. A slow service takes 230 ms
	// for a read, whatever its parts have to write.
	lateRead = 250 * time.Millisecond
	// pathReadInterval is the time between two reads of the path.
	pathReadInterval = 100 * time.Millisecond
	// pathReadTTL is how long the time of an answered read counts.
	pathReadTTL = 500 * time.Millisecond
	// lateGroupInterval is the shortest time between two groups of a part that are sent although others of it are in
	// flight. A part of a slow service takes as long for one write: it is not given more than it can take if the reads
	// are misleading.
	lateGroupInterval = 150 * time.Millisecond
	// maxInFlightLate is the number of groups of one part that may be in flight while responses are late.
	maxInFlightLate = 10
	// latenessMargin is how long before its caller leaves a member is sent at the latest, as a multiple of the current
	// lateness. A queue that grows by a second a second makes the response to the next call twice as late as the newest
	// one was.
	latenessMargin = 2
)

// latePath observes, by small reads, how late responses of the service are on their way. Responses leave a queue on the
// path in the order in which the service sent them, to reads and writes alike. A part that is slow to write answers
// reads at once. It has no clock and is not safe for concurrent use.
type latePath struct {
	unanswered map[uint64]time.Time // when the reads in flight were sent
	lastRead   uint64
	lastSentAt time.Time
	// answeredSentAt is when the newest of the answered reads was sent, took how long that read took, and answeredAt
	// when it was answered.
	answeredSentAt, answeredAt time.Time
	took                       time.Duration
}

// mayRead reports whether another read is due.
func (p *latePath) mayRead(now time.Time) bool { return now.Sub(p.lastSentAt) >= pathReadInterval }

// recordSent records that a read is sent, and returns its number.
func (p *latePath) recordSent(now time.Time) uint64 {
	if p.unanswered == nil {
		p.unanswered = make(map[uint64]time.Time)
	}
	p.lastRead++
	p.lastSentAt = now
	p.unanswered[p.lastRead] = now
	return p.lastRead
}

// recordEnd records the end of a read. One that failed shows nothing.
func (p *latePath) recordEnd(read uint64, answered bool, now time.Time) {
	sentAt := p.unanswered[read]
	delete(p.unanswered, read)
	if answered && !sentAt.Before(p.answeredSentAt) {
		p.answeredSentAt, p.answeredAt, p.took = sentAt, now, now.Sub(sentAt)
	}
}

// isMeasured reports whether a read was answered recently. If not, responses may be much later than lateness.
func (p *latePath) isMeasured(now time.Time) bool { return now.Sub(p.answeredAt) < pathReadTTL }

// lateness returns how late responses are: what the newest read took, or how long an older one has been in flight.
func (p *latePath) lateness(now time.Time) time.Duration {
	var late time.Duration
	if p.isMeasured(now) {
		late = p.took
	}
	for _, sentAt := range p.unanswered {
		late = max(late, now.Sub(sentAt))
	}
	return late
}

// sendBy returns when a member is to be sent at the latest, for its response to arrive by a deadline: at once if it is
// not known how late responses are. While a read is in flight, they are known to be later at each moment. The newest
// answered read shows how late they were when it was sent: the queue may have grown since, and until the member is sent.
func (p *latePath) sendBy(deadline, now time.Time) time.Time {
	if !p.isMeasured(now) {
		return now
	}
	limit := deadline.Add(-pathReadInterval - lateGroupInterval)
	latest := limit.Add(-latenessMargin * p.lateness(now))
	if sinceAnswered := p.answeredSentAt.Add((limit.Sub(p.answeredSentAt) - p.took) / latenessMargin); sinceAnswered.Before(latest) {
		latest = sinceAnswered
	}
	for _, sentAt := range p.unanswered {
		if whileUnanswered := sentAt.Add(limit.Sub(sentAt) / (1 + latenessMargin)); whileUnanswered.Before(latest) {
			latest = whileUnanswered
		}
	}
	return latest
}

// hasOvertaken reports whether a read that was sent after a group has been answered. The group is then not late on its
// way: it waits for its part.
func (p *latePath) hasOvertaken(groupSentAt time.Time) bool {
	return p.answeredSentAt.After(groupSentAt.Add(reorderTime))
}

// lateFrom returns when responses are known to be late, if nothing is answered until then; ok is false if no read is in
// flight that could show it.
func (p *latePath) lateFrom(now time.Time) (from time.Time, ok bool) {
	if p.lateness(now) >= lateRead {
		return now, true
	}
	for _, sentAt := range p.unanswered {
		if known := sentAt.Add(lateRead); !ok || known.Before(from) {
			from, ok = known, true
		}
	}
	return from, ok
}

// partInFlight describes the groups in flight of one part.
type partInFlight struct {
	groups         int
	oldest, newest time.Time // when they were sent
}

// inFlightOf returns the groups in flight of a part. The mutex is held.
func (g *Group) inFlightOf(part string) partInFlight {
	var p partInFlight
	for f := range g.inFlight {
		if f.resent || !slices.ContainsFunc(f.members, func(m *member) bool { return m.part == part }) {
			continue
		}
		p.groups++
		if p.oldest.IsZero() || f.sentAt.Before(p.oldest) {
			p.oldest = f.sentAt
		}
		if p.newest.Before(f.sentAt) {
			p.newest = f.sentAt
		}
	}
	return p
}

// readPath sends a small read, unless one was sent just before. The mutex is held.
func (g *Group) readPath(key string, now time.Time) {
	if !g.path.mayRead(now) {
		return
	}
	read := g.path.recordSent(now)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		_, err := g.table.Get(ctx, key)
		now := time.Now()
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.path.recordEnd(read, err == nil, now)
		g.schedule(now)
	}()
}

// readPathBeside sends a small read if a group is sent while another one of its part is in flight: the next one may have
// to wait, and it is known by then how late responses are. The mutex is held.
func (g *Group) readPathBeside(members []*member, now time.Time) {
	first := members[0]
	if !first.deadline.IsZero() && g.inFlightOf(first.part).groups > 0 {
		g.readPath(first.transaction.Conditions[0].Key, now)
	}
}

// lateDue returns when one more group of a part may be sent, so that a waiting member is answered before its caller
// leaves: responses are late on their way, the groups in flight wait for that and not for their part, and the member
// cannot wait for them. ok is false if none may be sent. Small reads are sent to tell. The mutex is held.
func (g *Group) lateDue(part string, now time.Time) (due time.Time, ok bool) {
	inFlight := g.inFlightOf(part)
	if inFlight.groups >= maxInFlightLate || g.path.hasOvertaken(inFlight.oldest) {
		return time.Time{}, false
	}
	for _, m := range g.queue.waiting {
		if m.part != part || m.deadline.IsZero() {
			continue
		}
		g.readPath(m.transaction.Conditions[0].Key, now)
		if now.Add(g.path.lateness(now)).After(m.deadline) {
			continue
		}
		if sendBy := g.path.sendBy(m.deadline, now); !ok || sendBy.Before(due) {
			due, ok = sendBy, true
		}
	}
	from, known := g.path.lateFrom(now)
	return laterOf(laterOf(due, from), inFlight.newest.Add(lateGroupInterval)), ok && known
}

// lateDueIfBlocked is lateDue for a part whose next group is due at partDue, if ok, and otherwise has to wait for a
// response. A part that throttles is never written to earlier. The mutex is held.
func (g *Group) lateDueIfBlocked(part string, partDue time.Time, ok bool, now time.Time) (due time.Time, isLate bool) {
	if (ok && !partDue.After(now)) || g.throttledParts[part].until.After(now) {
		return time.Time{}, false
	}
	due, isLate = g.lateDue(part, now)
	if ok && !due.Before(partDue) {
		return time.Time{}, false
	}
	return due, isLate
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
