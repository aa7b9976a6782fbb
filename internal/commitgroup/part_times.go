package commitgroup

import "time"

// Settings that distinguish a slow service from a slow part.
const (
	// maxPartTimes is the number of parts whose newest times are kept. Two of them have to be slow, so that one
	// slow part does not make the service count as slow, nor do two of many by chance.
	maxPartTimes = 3
	// partTimeTTL is how long the time of a part counts after it was recorded. If only one part is still
	// written to, old times of other parts must not keep the service slow for ever. Nodes write to several
	// parts within this time.
	partTimeTTL = 2 * time.Second
	// quickCommit is the time of a transaction below which a slow service counts as normal again (hysteresis),
	// so that times near slowCommit do not change its writers with each transaction. A normal service at its
	// rate limit takes 70 to 100 ms.
	quickCommit = 150 * time.Millisecond
	// slowHoldTime is the time without a slow transaction after which times between the two thresholds count as
	// normal as well: the path to the writers of a slow service may take that long, and must not keep it slow
	// for ever. Where a service takes about slowCommit, slow transactions occur several times a second.
	slowHoldTime = 2 * time.Second
	// severalParts stands for the part of a group that spans several parts.
	severalParts = ""
)

// partTimes holds the newest times of different parts, and whether they show that the service is slow. It is
// immutable.
type partTimes struct {
	newest     []partTime // most recently written part first
	slow       bool
	lastSlowAt time.Time // when the times of two parts were last slow
}

// partTime is how long the newest transaction or group of a part took.
type partTime struct {
	part string
	took time.Duration
	at   time.Time // when it was recorded
}

// with returns the times with one more recorded, and without expired ones.
func (p partTimes) with(part string, took time.Duration, now time.Time) partTimes {
	next := partTimes{newest: append(make([]partTime, 0, maxPartTimes), partTime{part, took, now})}
	for _, other := range p.newest {
		if other.part != part && now.Sub(other.at) < partTimeTTL && len(next.newest) < maxPartTimes {
			next.newest = append(next.newest, other)
		}
	}
	next.slow, next.lastSlowAt = p.slow, p.lastSlowAt
	switch second := next.secondLongest(); {
	case len(next.newest) < 2:
		next.slow = false
	case second >= slowCommit:
		next.slow, next.lastSlowAt = true, now
	case second < quickCommit || now.Sub(p.lastSlowAt) >= slowHoldTime:
		next.slow = false
	}
	return next
}

// secondLongest returns the second longest time, or the only one.
func (p partTimes) secondLongest() time.Duration {
	if len(p.newest) == 1 {
		return p.newest[0].took
	}
	var longest, second time.Duration
	for _, entry := range p.newest {
		second = max(second, min(longest, entry.took))
		longest = max(longest, entry.took)
	}
	return second
}
