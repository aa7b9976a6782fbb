package commitgroup

import "time"

// Settings of telling a slow service from a slow part.
const (
	// partsKept is of how many parts the newest times are kept. Two of them have to be long, so that one slow
	// part is not taken for the service, nor, by chance, two of many.
	partsKept = 3
	// timeKept is for how long the time of a part counts that is not written any more. Where one part is still
	// written, old times of others must not have the service slow for ever. Nodes write to several within it.
	timeKept = 2 * time.Second
	// quickCommit is the time of a transaction below which it is quick again once the service was slow, so
	// that times about slowCommit do not have its writers change with each of them. A quick service at its
	// rate takes 70 to 100 ms.
	quickCommit = 150 * time.Millisecond
	// longPause is after what time without a long one times between the two are quick as well: the way to the
	// writers of a slow service may take so long, and it must not be slow by that for ever. Long ones come
	// several times a second where a service takes about slowCommit.
	longPause = 2 * time.Second
	// severalParts stands for the part of a group of several.
	severalParts = ""
)

// partTimes are the newest times of different parts, and whether they say that the service is slow. They are
// not changed once they are made.
type partTimes struct {
	newest []partTime // of the part that was written last first
	slow   bool
	longAt time.Time // they were last long, of two parts
}

// partTime is how long the newest transaction or group of a part took.
type partTime struct {
	part string
	took time.Duration
	at   time.Time // it was noted
}

// with returns the times with one more, and without those that are too old.
func (p partTimes) with(part string, took time.Duration, now time.Time) partTimes {
	next := partTimes{newest: append(make([]partTime, 0, partsKept), partTime{part, took, now})}
	for _, other := range p.newest {
		if other.part != part && now.Sub(other.at) < timeKept && len(next.newest) < partsKept {
			next.newest = append(next.newest, other)
		}
	}
	next.slow, next.longAt = p.slow, p.longAt
	switch second := next.secondLongest(); {
	case len(next.newest) < 2:
		next.slow = false
	case second >= slowCommit:
		next.slow, next.longAt = true, now
	case second < quickCommit || now.Sub(p.longAt) >= longPause:
		next.slow = false
	}
	return next
}

// secondLongest returns the second longest time; the only one if there is no other.
func (p partTimes) secondLongest() time.Duration {
	if len(p.newest) == 1 {
		return p.newest[0].took
	}
	var longest, second time.Duration
	for _, known := range p.newest {
		second = max(second, min(longest, known.took))
		longest = max(longest, known.took)
	}
	return second
}
