package ledger

import "time"

// breakers count failures of parts, and of the table as a whole.
type breakers struct {
	parts  [Parts]breaker
	all    breaker      // counts the parts that failed since any part answered
	failed map[int]bool // those parts
}

// breaker counts failures in a row.
type breaker struct {
	failures int
	since    time.Time // of the first of them
	probedAt time.Time
	failedAt time.Time // of the last of them
}

// holdsBack reports whether calls of a part are held back: the part fails, or all do.
func (b *breakers) holdsBack(part int) bool {
	return b.all.failures >= failuresOfAll || b.parts[part].failures >= failuresToOpen
}

func (b *breakers) allow(part int, now time.Time) bool {
	return b.all.allow(now, failuresOfAll) && b.parts[part].allow(now, failuresToOpen)
}

func (b *breaker) allow(now time.Time, limit int) bool {
	if b.failures < limit {
		return true
	}
	if now.Sub(b.probedAt) < probePeriod {
		return false
	}
	b.probedAt = now
	return true
}

// report counts the failures of a part in a row, and a part that fails once until any part
// answers.
func (b *breakers) report(part int, succeeded bool, now time.Time) {
	b.parts[part].report(succeeded, now)
	switch {
	case succeeded:
		clear(b.failed)
	case b.failed[part]:
		return
	case b.failed == nil:
		b.failed = map[int]bool{part: true}
	default:
		b.failed[part] = true
	}
	b.all.report(succeeded, now)
}

// answered notes that a part was answered, and reports whether calls were held back for it. If
// the table as a whole was held to be down, each of its parts may be probed at once: they come
// back together.
func (b *breakers) answered(part int, now time.Time) (heldBack bool) {
	allDown := b.all.failures >= failuresOfAll
	heldBack = allDown || b.parts[part].failures >= failuresToOpen
	if allDown {
		for i := range b.parts {
			b.parts[i].probedAt = time.Time{}
		}
	}
	b.report(part, true, now)
	return heldBack
}

func (b *breaker) report(succeeded bool, now time.Time) {
	if succeeded {
		*b = breaker{}
		return
	}
	if b.failures == 0 {
		b.since, b.probedAt = now, now
	}
	b.failures++
	b.failedAt = now
}

// open lets nothing but probes pass from now on.
func (b *breaker) open(now time.Time) {
	b.failures = max(b.failures, failuresToOpen)
	b.probedAt, b.failedAt = now, now
}

// isOpen reports whether calls fail of late.
func (b *breaker) isOpen(now time.Time, limit int) bool {
	return b.failures >= limit && now.Sub(b.failedAt) < busyPeriod
}
