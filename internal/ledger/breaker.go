package ledger

import "time"

// breakers holds a circuit breaker for each part, and one for the table as a whole.
type breakers struct {
	parts  [Parts]breaker
	all    breaker      // counts the parts that have failed since any part answered
	failed map[int]bool // these parts
}

// breaker counts consecutive failures.
type breaker struct {
	failures int
	since    time.Time // time of the first of them
	probedAt time.Time
	failedAt time.Time // time of the last of them
}

// holdsBack reports whether calls to a part are held back, because the breaker of the part or of the table is open.
func (b *breakers) holdsBack(part int) bool {
	return b.all.failures >= failedPartsToOpen || b.parts[part].failures >= failuresToOpen
}

func (b *breakers) allow(part int, now time.Time) bool {
	return b.all.allow(now, failedPartsToOpen) && b.parts[part].allow(now, failuresToOpen)
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

// report counts consecutive failures of a part. The breaker of the table counts each failing part once until any
// part answers.
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

// reportAnswer records that a part answered, and reports whether calls were held back for it. If
// the table as a whole counted as down, each of its parts may be probed at once: parts
// usually recover together.
func (b *breakers) reportAnswer(part int, now time.Time) (heldBack bool) {
	allDown := b.all.failures >= failedPartsToOpen
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

// open opens the breaker: it allows only probes until one succeeds.
func (b *breaker) open(now time.Time) {
	b.failures = max(b.failures, failuresToOpen)
	b.probedAt, b.failedAt = now, now
}

// isOpen reports whether the limit of failures is reached and the last one is no older than throttledPeriod.
func (b *breaker) isOpen(now time.Time, limit int) bool {
	return b.failures >= limit && now.Sub(b.failedAt) < throttledPeriod
}
