package serving

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/discovery"
)

// Periods of staleness checks.
const (
	// staleAfter is the time without an update after which a collection is logged as stale. A process that
	// watches the store by itself receives an update at least every 2.4 s; the shortest time in which a
	// configuration has to be active is 3 s.
	staleAfter       = 2500 * time.Millisecond
	staleCheckPeriod = 250 * time.Millisecond // between two checks
	staleLogPeriod   = 5 * time.Second        // between two log records while a collection stays stale
)

// monitoredCollections are the collections that are checked for staleness.
var monitoredCollections = [...]discovery.Collection{discovery.Configurations, discovery.Engines}

// staleState is the state of the staleness check of one collection.
type staleState struct {
	since    time.Time // time of the last update of a stale collection; zero if it is not stale
	loggedAt time.Time
	version  int64 // version of the configuration that was active when the collection became stale
}

// monitorUpdates logs when a collection becomes stale, with the reason why each source of updates failed, and when
// updates resume, until ctx ends.
func (p *Process) monitorUpdates(ctx context.Context) {
	var states [len(monitoredCollections)]staleState
	for backoff.Wait(ctx, staleCheckPeriod) {
		for i, collection := range monitoredCollections {
			p.checkUpdates(collection, &states[i], time.Now())
		}
	}
}

// checkUpdates checks a collection for staleness and logs changes.
func (p *Process) checkUpdates(collection discovery.Collection, state *staleState, now time.Time) {
	lastUpdate := p.follower.LastAnswerAt(collection)
	switch {
	case lastUpdate.IsZero():
		return // not ready before its first list
	case now.Sub(lastUpdate) < staleAfter:
		if !state.since.IsZero() {
			p.logger.Info("news of the store again", "collection", collection.String(), "silent_ms", lastUpdate.Sub(state.since).Milliseconds(),
				"configuration_before", state.version, "configuration", p.configurationVersion())
		}
		*state = staleState{}
		return
	case state.since.IsZero():
		*state = staleState{since: lastUpdate, version: p.configurationVersion()}
	}
	if now.Sub(state.loggedAt) < staleLogPeriod {
		return
	}
	state.loggedAt = now
	failures := p.watch.Failures()
	p.logger.Warn("no news of the store", "collection", collection.String(), "silent_ms", now.Sub(lastUpdate).Milliseconds(),
		"configuration", p.configurationVersion(), "row_version", p.follower.View().Versions[collection],
		"newest_told", p.watch.NewestVersion(p.dependencies.TableOf(collection)), "watcher", failures.Watcher, "store", failures.Store, "neighbours", failures.Neighbours)
}

// configurationVersion returns the version of the active configuration; 0 before the first.
func (p *Process) configurationVersion() int64 {
	if table := p.follower.View().Table; table != nil {
		return table.Configuration.Version
	}
	return 0
}

// registerUpdateAges registers gauges with the time since the last update of each collection.
func (p *Process) registerUpdateAges() {
	for _, collection := range monitoredCollections {
		p.metrics.RegisterGauge("pewtermill_serve_"+collection.String()+"_heard_seconds",
			"Since the store last said what changed among the "+collection.String()+"; 0 before it first did.", func() float64 {
				if lastUpdate := p.follower.LastAnswerAt(collection); !lastUpdate.IsZero() {
					return time.Since(lastUpdate).Seconds()
				}
				return 0
			})
	}
}
