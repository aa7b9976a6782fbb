package relay

import (
	"sync"
	"time"
)

// silence records since when the table service has answered none of this node's calls. It begins with a call, not with the
// last answer: a node that has made no call has seen no silence. Watches are answered when something changes, so they only
// end a silence. Safe for concurrent use.
type silence struct {
	mutex    sync.Mutex
	answered bool      // the service has answered this node before
	inFlight int       // calls, without watches
	since    time.Time // when the first call since the last answer began, or that answer if others were in flight; zero if none
}

// begin records the start of a call, whose end is to be recorded.
func (s *silence) begin(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight++
	if s.since.IsZero() {
		s.since = now
	}
}

// end records the end of a call, and whether the service answered it.
func (s *silence) end(answered bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
	switch {
	case answered:
		s.interrupt(now)
	case s.inFlight == 0 && now.Sub(s.since) < unansweredLimit:
		s.since = time.Time{} // given up or failed too early to show that the service is silent
	}
}

// endWatch records the end of a watch, and whether the service answered it.
func (s *silence) endWatch(answered bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if answered {
		s.interrupt(now)
	}
}

// interrupt records an answer. The mutex must be held.
func (s *silence) interrupt(now time.Time) {
	s.answered, s.since = true, time.Time{}
	if s.inFlight > 0 {
		s.since = now
	}
}

// lasts reports whether the service has been silent for a time, or has never answered.
func (s *silence) lasts(limit time.Duration, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.answered || !s.since.IsZero() && now.Sub(s.since) >= limit
}
