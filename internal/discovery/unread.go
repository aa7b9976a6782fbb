package discovery

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// Times of reading the changes that the view does not have yet.
const (
	unreadTimeout = 200 * time.Millisecond // for the whole answer
	unreadWait    = time.Millisecond       // of the source for changes that have not happened yet
)

// errNotListed reports that a process that has just started has not read the engines and the configuration yet.
var errNotListed = errors.New("engines and configuration have not been read yet")

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

// HasUnreadChange reports whether a source has a change that the view does not have yet and by which a service may have, or have had,
// another software version than a given one: an entry of an engine of another version, one that came and went, or another
// configuration. With an error, it is unknown. The source must be the store itself, as for HasUnreadIncarnation.
func (f *Follower) HasUnreadChange(ctx context.Context, source Source, service, version string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, unreadTimeout)
	defer cancel()
	readEngines, readConfigurations := f.readVersions[Engines].Load(), f.readVersions[Configurations].Load()
	if readEngines == 0 || readConfigurations == 0 {
		return false, errNotListed
	}
	engines, _, err := source.Changes(ctx, Engines, readEngines, unreadWait)
	if err != nil {
		return false, errors.Wrap(err, "read the changes of the engines")
	}
	view := f.View()
	for _, record := range engines {
		switch {
		case record.Engine != nil && record.Engine.Service == service && record.Engine.Version != version:
			return true, nil
		case record.Deleted:
			if _, listed := view.EngineOf(record.Key); !listed {
				return true, nil
			}
		}
	}
	configurations, _, err := source.Changes(ctx, Configurations, readConfigurations, unreadWait)
	if err != nil {
		return false, errors.Wrap(err, "read the changes of the configuration")
	}
	return slices.ContainsFunc(configurations, func(record Record) bool { return record.Configuration != nil }), nil
}
