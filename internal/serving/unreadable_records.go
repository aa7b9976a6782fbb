package serving

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/discovery"
)

// Limits of log records about unreadable records of the store: any number of such records may be written to the store in
// a second.
const (
	maxUnreadableRecords = 5 // per second, for each collection
	maxUnreadableKey     = 64
	otherField           = "other" // label of errors that name no field
)

// RecordUnreadable implements discovery.Observer. It counts every record and logs some. Texts from the record are
// truncated, as its writer may have made them of any length.
func (p *Process) RecordUnreadable(collection discovery.Collection, key string, version uint64, cause error) {
	field := otherField
	var fieldErr *discovery.FieldError
	if errors.As(cause, &fieldErr) {
		field = fieldErr.Field
	}
	p.metrics.unreadable.WithLabelValues(collection.String(), field).Inc()
	suppressed, allowed := p.unreadableLog[collection].allow(time.Now())
	if !allowed {
		return
	}
	p.logger.Warn("record unreadable", "collection", collection.String(), "key", truncate(key, maxUnreadableKey),
		"row_version", version, "field", field, "error", truncate(cause.Error(), maxRecordBytes), "left_out", suppressed)
}

// truncate returns the first maxBytes bytes of a text, or all of a shorter one.
func truncate(text string, maxBytes int) string { return text[:min(len(text), maxBytes)] }
