package dispatch

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// IsLeaving reports whether the machine list, a peer or an engine's own refusal states that the engine
// is leaving. Its load reports are not considered.
func (f *Fleet) IsLeaving(engine string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.isLeaving(engine, backend.Load{}, time.Now())
}
