package dispatch

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// IsLeaving says whether the machine list, a peer or an engine's own refusal
// says that the engine leaves. What its load reports say is not counted.
func (f *Fleet) IsLeaving(engine string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.isLeaving(engine, backend.Load{}, time.Now())
}
