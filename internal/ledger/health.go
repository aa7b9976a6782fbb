package ledger

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Settings of the circuit breaker before the table.
const (
	failuresToOpen = 2
	probePeriod    = 200 * time.Millisecond
	comeBackLeast  = 900 * time.Millisecond
	comeBackSpread = 500 * time.Millisecond
)

// health is a circuit breaker for each part of the table: after some failures
// in a row, calls are refused at once but for one probe in a while. Safe for
// concurrent use.
type health struct {
	mutex sync.Mutex
	parts [Parts]partHealth
}

type partHealth struct {
	failures int
	probedAt time.Time
}

func newHealth() *health { return &health{} }

// allow reports whether a call to a part may be tried now.
func (h *health) allow(part int, now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	p := &h.parts[part]
	if p.failures < failuresToOpen {
		return true
	}
	if now.Sub(p.probedAt) < probePeriod {
		return false
	}
	p.probedAt = now
	return true
}

// report notes how a call to a part ended.
func (h *health) report(part int, succeeded bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if succeeded {
		h.parts[part].failures = 0
		return
	}
	h.parts[part].failures++
}

// comeBack returns when a refused caller may come back, jittered so that
// those refused together do not return together.
func (h *health) comeBack() time.Duration {
	return comeBackLeast + rand.N(comeBackSpread)
}
