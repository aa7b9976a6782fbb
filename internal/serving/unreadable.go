package serving

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/discovery"
)

// Bounds of the lines about records that cannot be read: any number of them may be written to
// the store in a second, and the lines that tell of other things are to be found beside them.
const (
	maxUnreadableLines = 5 // a second, for each collection
	maxUnreadableKey   = 64
	otherField         = "other" // the label of faults that name no field
)

// unreadableLines counts lines of one collection. Safe for concurrent use.
type unreadableLines struct {
	mutex   sync.Mutex
	began   time.Time // of the second that is counted
	lines   int       // in it
	leftOut int       // since the last line
}

// take reports whether a line may be written, and how many were left out before it.
func (u *unreadableLines) take(now time.Time) (leftOut int, may bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if now.Sub(u.began) >= linesPeriod {
		u.began, u.lines = now, 0
	}
	if u.lines >= maxUnreadableLines {
		u.leftOut++
		return 0, false
	}
	u.lines++
	leftOut, u.leftOut = u.leftOut, 0
	return leftOut, true
}

// Unreadable implements discovery.Observer: every record is counted, and some are logged. The
// words of whoever wrote the record are cut, as they may be of any length.
func (p *Process) Unreadable(collection discovery.Collection, key string, version uint64, fault error) {
	field := otherField
	var wrong *discovery.FieldError
	if errors.As(fault, &wrong) {
		field = wrong.Field
	}
	p.metrics.unreadable.WithLabelValues(collection.String(), field).Inc()
	leftOut, may := p.unreadable[collection].take(time.Now())
	if !may {
		return
	}
	p.logger.Warn("record unreadable", "collection", collection.String(), "key", cutText(key, maxUnreadableKey),
		"row_version", version, "field", field, "error", cutText(fault.Error(), maxLineBytes), "left_out", leftOut)
}

// cutText returns a text, or its beginning.
func cutText(text string, most int) string { return text[:min(len(text), most)] }
