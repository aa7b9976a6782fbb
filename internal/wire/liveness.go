package wire

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errUnresponsive ends a connection on which requests get no reply, although new connections may work.
var errUnresponsive = errors.New("connection unresponsive: no frame received while requests were waiting")

// minWait is how long a request must have waited without a reply to count as evidence. Callers
// cancel earlier for reasons of their own.
const minWait = 50 * time.Millisecond

// unreadGrace is how long a connection on which nothing was received stays open for what has arrived and was not read yet: a
// process that stood still notices timeouts before it reads.
const unreadGrace = 100 * time.Millisecond

// liveness detects an unresponsive connection: bytes are sent, and nothing is received. The kernel
// reports this only once data has been unacknowledged for DeadPeerTimeout, and never if a device
// on the path acknowledges the data. Safe for concurrent use.
type liveness struct {
	mutex        sync.Mutex
	lastFrameAt  time.Time
	waitingSince time.Time // since when requests wait without a reply; not after lastFrameAt if none does
	checking     bool      // unreadGrace is running
}

// afterGrace calls fail once unreadGrace is over, unless a frame arrives meanwhile.
func (s *liveness) afterGrace(fail func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.checking {
		return
	}
	s.checking = true
	lastFrameAt := s.lastFrameAt
	time.AfterFunc(unreadGrace, func() {
		s.mutex.Lock()
		s.checking = false
		isSilent := s.lastFrameAt.Equal(lastFrameAt)
		s.mutex.Unlock()
		if isSilent {
			fail()
		}
	})
}

// connected records that the connection was established.
func (s *liveness) connected() { s.frameReceived() }

// frameReceived records that a frame, or a chunk of a large one, arrived.
func (s *liveness) frameReceived() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastFrameAt = time.Now()
}

// abandoned records that a request sent at sentAt is abandoned now. It reports whether
// requests have waited without a reply for the limit, with no frame received in that time.
func (s *liveness) abandoned(sentAt time.Time, limit time.Duration) bool {
	now := time.Now()
	if limit <= 0 || now.Sub(sentAt) < minWait {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.waitingSince.After(s.lastFrameAt) {
		s.waitingSince = sentAt
	}
	return s.waitingSince.After(s.lastFrameAt) && now.Sub(s.waitingSince) >= limit
}
