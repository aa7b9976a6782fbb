package commitgroup

import "time"

// Settings of parts that fail each call at once.
const (
	// failingTime is how long a part counts as failing after it failed.
	failingTime = 2 * time.Second
	// trialInterval is the shortest time between two groups of one failing part each, while several have to share
	// groups. At the highest send rate it leaves three of four groups to the others.
	trialInterval = 4 * minGroupInterval
	// maxUnsharedParts is the number of failing parts with waiting members up to which each has groups of its own: so
	// few delay the others little, and a part that is well again is noticed at its next write.
	maxUnsharedParts = 2
)

// failingParts holds the parts that reset or reject calls to them. They share groups: one call tells the callers of all
// of them, so that they delay writes to other parts by one group, however many they are. A part that is well again fails
// with the others until it has a group of its own. It does no I/O and has no clock. It is not safe for concurrent use.
type failingParts struct {
	parts   map[string]failingPart
	triedAt time.Time // when a group of one of them was last sent
}

// failingPart is the state of one part.
type failingPart struct {
	until   time.Time // it counts as failing until then
	triedAt time.Time // when a group of its own was last sent
}

func newFailingParts() failingParts { return failingParts{parts: make(map[string]failingPart)} }

// recordFailed records that a part failed a call, on its own or together with other failing parts.
func (p *failingParts) recordFailed(part string, now time.Time) {
	state := p.parts[part]
	state.until = now.Add(failingTime)
	p.parts[part] = state
}

// recordAnswered records that a part answered a write.
func (p *failingParts) recordAnswered(part string) { delete(p.parts, part) }

// recordSent records that a group of one part was sent.
func (p *failingParts) recordSent(part string, now time.Time) {
	if state, found := p.parts[part]; found {
		state.triedAt, p.triedAt = now, now
		p.parts[part] = state
	}
}

// isFailing reports whether a part counts as failing.
func (p *failingParts) isFailing(part string, now time.Time) bool {
	state, found := p.parts[part]
	if found && now.After(state.until) {
		delete(p.parts, part)
		return false
	}
	return found
}

// partToTry returns which of some failing parts has the next group for itself; ok is false if they share it. first is the
// part whose member is the next in the queue.
func (p *failingParts) partToTry(first string, waiting map[string]bool, now time.Time) (part string, ok bool) {
	if len(waiting) <= maxUnsharedParts {
		return first, true
	}
	if now.Sub(p.triedAt) < trialInterval {
		return "", false
	}
	part = first
	for other := range waiting {
		earliest, triedAt := p.parts[part].triedAt, p.parts[other].triedAt
		if triedAt.Before(earliest) || (triedAt.Equal(earliest) && other < part) {
			part = other
		}
	}
	return part, true
}

// partToTry returns the failing part that has the next group for itself; ok is false if the next group may be of
// several parts.
func (q *queue) partToTry(now time.Time) (part string, ok bool) {
	first := q.first(now)
	if first == nil || !q.multiPart || !q.failing.isFailing(first.part, now) {
		return "", false
	}
	waiting := make(map[string]bool)
	for _, m := range q.waiting {
		if !waiting[m.part] && q.sharesFailing(m.part, now) && !q.locks.Collides(m.transaction) {
			waiting[m.part] = true
		}
	}
	return q.failing.partToTry(first.part, waiting, now)
}

// sharesFailing reports whether a part shares groups with other failing parts. One that does not respond in time would
// keep their callers waiting.
func (q *queue) sharesFailing(part string, now time.Time) bool {
	return q.failing.isFailing(part, now) && !q.unresponsive.hasMissed(part)
}

// allFailing reports whether all parts of a group count as failing.
func (q *queue) allFailing(group []*member, now time.Time) bool {
	for _, m := range group {
		if !q.failing.isFailing(m.part, now) {
			return false
		}
	}
	return true
}

// anyFailing reports whether a part of a group counts as failing.
func (q *queue) anyFailing(group []*member, now time.Time) bool {
	for _, m := range group {
		if q.failing.isFailing(m.part, now) {
			return true
		}
	}
	return false
}

// recordFailingAnswered records that a group of failing parts was answered: all of them are well again.
func (q *queue) recordFailingAnswered(group []*member) {
	for _, m := range group {
		q.failing.recordAnswered(m.part)
	}
}
