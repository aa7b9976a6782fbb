package serving

import (
	"sync"
	"time"
)

// lineLimit bounds lines of one kind that others may cause in any number: so many a second, with a count of
// those that were left out, so that lines that tell of other things are found beside them. Safe for concurrent
// use.
type lineLimit struct {
	most int // a second

	mutex   sync.Mutex
	began   time.Time // of the second that is counted
	lines   int       // in it
	leftOut int       // since the last line
}

// take reports whether a line may be written, and how many were left out before it.
func (l *lineLimit) take(now time.Time) (leftOut int, may bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.began) >= linesPeriod {
		l.began, l.lines = now, 0
	}
	if l.lines >= l.most {
		l.leftOut++
		return 0, false
	}
	l.lines++
	leftOut, l.leftOut = l.leftOut, 0
	return leftOut, true
}
