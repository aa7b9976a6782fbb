package serving

import (
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/versionrecord"
	"github.com/pewtermill/pewtermill/internal/zonefeed"
)

// initVersionRecord sets up the record of software versions at which streams may have started.
func (p *Process) initVersionRecord(table tablestore.Table, runID string) {
	p.versionRecord = versionrecord.New(versionrecord.Options{
		Table:      table,
		RunID:      runID,
		Observe:    p.observeVersions,
		Writes:     p.writesVersionRecord,
		SetEarlier: p.follower.SetEarlier,
		AskPeers:   p.originClient.RecordedVersions,
		Observer:   p,
	})
	p.originServer.SetRecorded(p.versionRecord.Recorded)
}

// writesVersionRecord reports whether this process writes the record: those that watch the store for their zones do, and one
// without peers.
func (p *Process) writesVersionRecord() bool {
	return p.listeners.peers == nil || zonefeed.Role(p.watchRole.Load()) == zonefeed.Watcher
}

// observeVersions returns which software versions are listed, and false before the first lists.
func (p *Process) observeVersions() (versionrecord.Observation, bool) {
	view, now := p.follower.View(), time.Now()
	since := p.follower.CoveredSince()
	if since.IsZero() || view.Table == nil {
		return versionrecord.Observation{}, false
	}
	seen := versionrecord.Observation{Configuration: view.Table.Configuration.Version, Services: make(map[string]versionrecord.Service), Since: since}
	for name := range view.Table.Configuration.Services {
		versions := view.SoftwareVersions(name, now, discovery.VersionRetention)
		if len(versions) == 0 {
			continue
		}
		seen.Services[name] = versionrecord.Service{Versions: versions, KnownFor: p.follower.VersionKnownFor(name, now),
			Recent: view.SoftwareVersions(name, now, versionrecord.RecentFor),
			Listed: slices.DeleteFunc(slices.Clone(versions), func(version string) bool { return !view.ListsVersion(name, version) })}
	}
	return seen, true
}

// VersionRecordFailed implements versionrecord.Observer.
func (p *Process) VersionRecordFailed(cause error) {
	if suppressed, allowed := p.originLog.allow(time.Now()); allowed {
		p.logger.Warn("record of software versions not read or written", "error", cause.Error(), "left_out", suppressed)
	}
}
