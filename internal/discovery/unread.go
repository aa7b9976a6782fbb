package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// Times of reading the changes that the view does not have yet.
const (
	unreadTimeout = 200 * time.Millisecond // for the whole answer
	unreadWait    = time.Millisecond       // of the source for changes that have not happened yet
)

// HasUnreadIncarnation reports whether a source has an entry of another incarnation of an engine that the view does not
// have yet. With an error, it is unknown. The source must be the store itself: the changes of a follower's own source may
// come through other processes, and be as late as its view.
func (f *Follower) HasUnreadIncarnation(ctx context.Context, source Source, engine routing.Engine) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, unreadTimeout)
	defer cancel()
	records, _, err := source.Changes(ctx, Engines, f.readVersions[Engines].Load(), unreadWait)
	if err != nil {
		return false, errors.Wrap(err, "read the changes of the engines")
	}
	for _, record := range records {
		if record.Engine != nil && record.Engine.Name == engine.Name && record.Engine.Incarnation != engine.Incarnation {
			return true, nil
		}
	}
	return false, nil
}
