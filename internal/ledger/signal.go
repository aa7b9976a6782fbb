package ledger

import (
	"context"
	"sync"
	"time"
)

// signal wakes all goroutines that wait for it. Its zero value is ready for use. Safe for concurrent use.
type signal struct {
	mutex   sync.Mutex
	waiting chan struct{} // closed by the next broadcast; nil if nobody waits
}

// broadcast wakes those who wait.
func (s *signal) broadcast() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.waiting != nil {
		close(s.waiting)
		s.waiting = nil
	}
}

// wait returns a channel that the next broadcast closes.
func (s *signal) wait() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.waiting == nil {
		s.waiting = make(chan struct{})
	}
	return s.waiting
}

// AwaitRecovery waits until the table, or a part of it, answers after calls to it were held back, or until
// limit has passed. It reports false if ctx ended first.
func (l *Ledger) AwaitRecovery(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-l.health.recovered.wait():
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}
