package zonewatch

import (
	"sync"
	"time"
)

// responseTimer waits for the first response to a request. It expires every responseTimeout until it is stopped: if it
// expires late, this process was paused. Safe for concurrent use.
type responseTimer struct {
	sentAt    time.Time
	onTimeout func() // called when it first expires

	mutex   sync.Mutex
	timer   *time.Timer
	dueAt   time.Time
	expired bool
	stopped bool
	paused  bool // it has expired late
}

// startResponseTimer starts the timer of a request that was sent at sentAt; afterFunc is time.AfterFunc.
func startResponseTimer(sentAt time.Time, afterFunc func(time.Duration, func()) *time.Timer, onTimeout func()) *responseTimer {
	r := &responseTimer{sentAt: sentAt, onTimeout: onTimeout, dueAt: sentAt.Add(responseTimeout)}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.timer = afterFunc(responseTimeout, r.expire)
	return r
}

// expire notes whether the timer is late, and starts it again.
func (r *responseTimer) expire() {
	now := time.Now()
	r.mutex.Lock()
	if r.stopped {
		r.mutex.Unlock()
		return
	}
	first := !r.expired
	r.expired, r.paused = true, r.paused || r.isLate(now)
	r.dueAt = now.Add(responseTimeout)
	r.timer.Reset(responseTimeout)
	r.mutex.Unlock()
	if first {
		r.onTimeout()
	}
}

// isLate reports whether the timer should have expired before. The mutex is held.
func (r *responseTimer) isLate(now time.Time) bool { return now.Sub(r.dueAt) > maxTimerDelay }

// stop stops the timer, and reports whether it was running and had not expired.
func (r *responseTimer) stop() (pending bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	pending = !r.stopped && !r.expired
	r.stopped = true
	r.timer.Stop()
	return pending
}

// responded returns how long a response took that is read now; measured is false if this process was paused meanwhile.
func (r *responseTimer) responded(now time.Time) (took time.Duration, measured bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return now.Sub(r.sentAt), !r.paused && !r.isLate(now)
}
