package wire

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errSilent ends a connection on which requests get no answer, while new ones may work.
var errSilent = errors.New("no frame came for as long as requests waited in vain")

// leastWait is how long a request must have waited in vain to tell something. Callers leave
// early for reasons of their own.
const leastWait = 50 * time.Millisecond

// silence notices a connection that went silent: bytes leave, and nothing comes. The kernel
// says so only once data has gone unacknowledged for DeadPeerTimeout, and never if something
// on the way acknowledges it. Safe for concurrent use.
type silence struct {
	mutex   sync.Mutex
	heardAt time.Time
	vainly  time.Time // since when requests wait in vain; not after heardAt if none does
}

// begin notes that the connection is up.
func (s *silence) begin() { s.heard() }

// heard notes that a frame came.
func (s *silence) heard() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heardAt = time.Now()
}

// gaveUp notes a request that was sent at some time and given up now. It reports whether
// requests have waited in vain for the limit, with no frame in all that time.
func (s *silence) gaveUp(sent time.Time, limit time.Duration) bool {
	now := time.Now()
	if limit <= 0 || now.Sub(sent) < leastWait {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.vainly.After(s.heardAt) {
		s.vainly = sent
	}
	return s.vainly.After(s.heardAt) && now.Sub(s.vainly) >= limit
}
