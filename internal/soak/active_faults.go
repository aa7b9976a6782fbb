package soak

import "sync"

// activeFaults counts the faults in progress by what they are: one may start before another of its kind has ended.
// Safe for concurrent use.
type activeFaults[T comparable] struct {
	mutex  sync.Mutex
	counts map[T]int
}

// change records that a fault starts (by 1) or ends (by -1).
func (a *activeFaults[T]) change(fault T, by int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.counts == nil {
		a.counts = make(map[T]int)
	}
	a.counts[fault] += by
}

// has reports whether a fault is in progress.
func (a *activeFaults[T]) has(fault T) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.counts[fault] > 0
}
