package serving

import (
	"sync"
	"time"
)

// logLimiter limits log records of one kind that others may cause in any number: it allows a maximum number per logPeriod
// and counts the suppressed ones, so that records about other events remain easy to find. Safe for concurrent use.
type logLimiter struct {
	maxPerSecond int

	mutex       sync.Mutex
	windowStart time.Time // start of the current logPeriod
	written     int       // records allowed in it
	suppressed  int       // records suppressed since the last allowed one
}

// allow reports whether a record may be written, and how many were suppressed since the last allowed one.
func (l *logLimiter) allow(now time.Time) (suppressed int, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.windowStart) >= logPeriod {
		l.windowStart, l.written = now, 0
	}
	if l.written >= l.maxPerSecond {
		l.suppressed++
		return 0, false
	}
	l.written++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
