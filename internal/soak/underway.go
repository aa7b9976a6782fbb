package soak

import "sync"

// underWay counts the faults under way by what they are: one may begin before another of its kind
// has ended. Safe for concurrent use.
type underWay[T comparable] struct {
	mutex  sync.Mutex
	counts map[T]int
}

// change tells that a fault begins (by 1) or ends (by -1).
func (u *underWay[T]) change(what T, by int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.counts == nil {
		u.counts = make(map[T]int)
	}
	u.counts[what] += by
}

// has reports whether a fault is under way.
func (u *underWay[T]) has(what T) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.counts[what] > 0
}
