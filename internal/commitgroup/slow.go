package commitgroup

import (
	"slices"
	"time"
)

// Settings of a service that is slow for all parts. Its parts commit writes one after another, so that a group
// for several parts occupies all of them, and a group sent in parallel with others of its part only lengthens
// the queue there.
const (
	// slowResponse is the smoothed response time from which the service counts as slow. A response usually
	// takes 10 ms, and four times that on a busy machine.
	slowResponse = 100 * time.Millisecond
	// slowCommit is the time from which a transaction counts as slow, including its wait for a group and the
	// path to another zone. It is above what transactions take at a normal service at its rate limit, 70 to
	// 100 ms on average: writers elsewhere would not help then, and would send more calls. A slow service
	// takes 300 ms for a write.
	slowCommit = 250 * time.Millisecond
	// maxInFlightPerPart is the number of groups of one part that may be in flight.
	maxInFlightPerPart = 2
	// silenceThreshold is the time without any response after which one more group of a part may be in flight. A part
	// of a slow service takes less for maxInFlightPerPart groups. A service that is silent for longer has either
	// stopped, or its responses are late for all: the queue at the part is not what the next group would wait in.
	silenceThreshold = 450 * time.Millisecond
	// throttledPartPause is how long a part is not written to after it throttled a group of its own: more
	// than a second's worth of writes are queued there.
	throttledPartPause = 300 * time.Millisecond
	// throttledPartTTL is how long after its pause a part still counts as throttled. A part that still throttles
	// is tried again soon after the pause; a group of several parts that is accepted in between proves nothing
	// about the part.
	throttledPartTTL = 2 * time.Second
	// throttleWindow is the time within which two parts start to throttle groups if the overall rate limit is
	// exceeded: during the pause of the first. Parts that are overloaded on their own rarely start that close to
	// each other.
	throttleWindow = 300 * time.Millisecond
	// slowAckTimeout replaces ackTimeout while the service is slow. The writer may be in another region, and may be
	// contacted there for the first time, and a transaction sent twice occupies its part twice.
	slowAckTimeout = 300 * time.Millisecond
)

// isSlow reports whether the service is slow: its smoothed response time is long, or an overdue group was sent no
// earlier than the newest answered group. Then each group is of one part, and waits only for groups of that part.
// The mutex is held.
func (g *Group) isSlow() bool {
	if g.responseTime >= slowResponse {
		return true
	}
	for f := range g.inFlight {
		if f.overdue && !f.sentAt.Before(g.lastAnsweredSentAt) {
			return true
		}
	}
	return false
}

// recordTime records the response time of a group of a part. A single slow part does not make the service slow, nor
// do other parts wait for it; once the service is slow, all times count. The mutex is held.
func (g *Group) recordTime(part string, took time.Duration, now time.Time) {
	g.times = g.times.with(part, took, now)
	if g.responseTime < slowResponse {
		took = g.times.secondLongest()
	}
	g.responseTime += time.Duration(responseTimeSmoothing * float64(took-g.responseTime))
}

// partDue returns when the next group of a part may be sent to a slow service. A second group may be in flight, but
// is sent no earlier than half a response time after the first: half of that time is the path and the call, the
// other half is the part's own work. A third one may be, silenceThreshold after the first, if no group at all was
// answered since. ok is false if no group may be sent. The mutex is held.
func (g *Group) partDue(part string) (due time.Time, ok bool) {
	due = g.throttledParts[part].until
	unanswered, oldest := 0, time.Time{}
	for f := range g.inFlight {
		if f.resent || !slices.ContainsFunc(f.members, func(m *member) bool { return m.part == part }) {
			continue
		}
		unanswered++
		if oldest.IsZero() || f.sentAt.Before(oldest) {
			oldest = f.sentAt
		}
		if next := f.sentAt.Add(max(slowResponse, g.responseTime) / maxInFlightPerPart); due.Before(next) {
			due = next
		}
	}
	if unanswered != maxInFlightPerPart || !g.lastResponseAt.Before(oldest) {
		return due, unanswered < maxInFlightPerPart
	}
	if next := oldest.Add(silenceThreshold); due.Before(next) {
		due = next
	}
	return due, true
}

// throttledPart is a part of a slow service that throttled its last group.
type throttledPart struct {
	since time.Time // it has accepted no group since
	until time.Time // it is not written to until then
}

// recordThrottled records that the service throttled a group. serviceWide reports whether this counts as the rate limit
// of all calls. While the service is slow, one part that throttles a group of its own does not show that the limit is
// exceeded, nor does a part that throttles all its groups. If two parts that accepted their previous groups start to
// throttle within throttleWindow, the limit is exceeded. The mutex is held.
func (g *Group) recordThrottled(f *inFlightGroup, now time.Time) (serviceWide bool) {
	if !g.isSlow() || spansParts(f.members) {
		return true
	}
	part := f.members[0].part
	state, wasThrottled := g.throttledParts[part]
	wasThrottled = wasThrottled && now.Sub(state.until) < throttledPartTTL
	if !wasThrottled {
		state.since = now
	}
	state.until = now.Add(throttledPartPause)
	g.throttledParts[part] = state
	return !wasThrottled && g.otherPartThrottles(part, now)
}

// otherPartThrottles reports whether another part has started to throttle within throttleWindow. The mutex is held.
func (g *Group) otherPartThrottles(part string, now time.Time) bool {
	for other, state := range g.throttledParts {
		if other != part && now.Sub(state.since) < throttleWindow {
			return true
		}
	}
	return false
}

// recordAccepted records that a part accepted a group of its own. A group that was sent before the part throttled
// another one does not end the pause. The mutex is held.
func (g *Group) recordAccepted(part string, now time.Time) {
	if !now.Before(g.throttledParts[part].until) {
		delete(g.throttledParts, part)
	}
}

// nextSlow removes the members of the next group for a slow service, or returns when one is due. due is zero if no
// waiting member may be sent. The mutex is held.
func (g *Group) nextSlow(now time.Time) (members []*member, due time.Time) {
	parts := make(map[string]time.Time)
	for _, m := range g.queue.waiting {
		if _, visited := parts[m.part]; visited {
			continue
		}
		partDue, ok := g.partDue(m.part)
		if lateDue, isLate := g.lateDueIfBlocked(m.part, partDue, ok, now); isLate {
			partDue, ok = lateDue, true
		}
		parts[m.part] = partDue
		if !ok {
			continue
		}
		if partDue.After(now) {
			if due.IsZero() || partDue.Before(due) {
				due = partDue
			}
			continue
		}
		if members := g.queue.nextOf(m.part, now); len(members) > 0 {
			g.readPathBeside(members, now)
			return members, time.Time{}
		}
	}
	return nil, due
}

// isSlow reports whether recent transactions of this node were slow, on at least two parts.
func (t *Table) isSlow() bool { return t.times.Load().slow }

// measureTime starts measuring how long a transaction of a part takes; the returned function ends the measurement. A
// slow transaction counts before it ends. A failed one counts only if it was slow.
func (t *Table) measureTime(part string) (end func(err error)) {
	start := time.Now()
	slowTimer := time.AfterFunc(slowCommit, func() { t.recordTime(part, slowCommit) })
	return func(err error) {
		slowTimer.Stop()
		took := time.Since(start)
		if err == nil || took >= slowCommit {
			t.recordTime(part, took)
		}
	}
}

// recordTime records how long a transaction of a part took.
func (t *Table) recordTime(part string, took time.Duration) {
	now := time.Now()
	for {
		before := t.times.Load()
		next := before.with(part, took, now)
		if t.times.CompareAndSwap(before, &next) {
			return
		}
	}
}

// currentAckTimeout returns how long to wait for the first acknowledgement of a writer.
func (t *Table) currentAckTimeout() time.Duration {
	if t.isSlow() {
		return slowAckTimeout
	}
	return ackTimeout
}

// currentWriters returns the nodes to which a part's transactions are forwarded, in order of preference, up to this
// node.
func (t *Table) currentWriters(peerSet *peers, part string) []string {
	now := time.Now()
	if t.isSlow() {
		return t.partWriters(peerSet, part, now)
	}
	return peerSet.writers(part, now)
}

// partWriters replaces writers while the service is slow. A part accepts few writes per second then, so all of them
// go to one node: among all regions, unless writes must not leave the region.
func (t *Table) partWriters(peerSet *peers, part string, now time.Time) []string {
	selector := peerSet.allRegions.selector
	if t.options.RegionOnly == nil || t.options.RegionOnly() {
		selector = peerSet.region.selector
	}
	return peerSet.upToSelf(selector.Candidates("part-"+part, now))
}
