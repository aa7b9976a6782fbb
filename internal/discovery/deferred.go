package discovery

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// deferredEntry is an entry of an incarnation that looks older than the accepted one of its name but was written after
// that one's last entry. Either it is a late write, and the newer incarnation writes its own entry again, or the engine
// has restarted with a clock that was set back. The entry is kept, since the source may not deliver it again before it
// changes, and an engine whose entry is in the store would stay unlisted until then.
type deferredEntry struct {
	engine  routing.Engine
	version uint64
}

// deferEntry keeps an entry that was not accepted, unless a later update of the name has been applied.
func (inc *incarnation) deferEntry(engine routing.Engine, version uint64) {
	if version > inc.version && version >= inc.removedVersion && (inc.deferred == nil || version > inc.deferred.version) {
		inc.deferred = &deferredEntry{engine: engine, version: version}
	}
}

// dropSuperseded drops a deferred entry that another update of a version has replaced in the store.
func (inc *incarnation) dropSuperseded(version uint64) {
	if inc.deferred != nil && version >= inc.deferred.version {
		inc.deferred = nil
	}
}

// applyDeferred accepts the deferred entries that may now replace the accepted ones.
func (s incarnations) applyDeferred(engines map[string]routing.Engine, now time.Time, mayServe func(service string) bool) {
	for _, newest := range s {
		if newest.deferred != nil && newest.mayBeReplacedBy(newest.deferred.version, now, mayServe) {
			s.update(engines, newest.deferred.engine, newest.deferred.version, now, mayServe)
		}
	}
}

// nextDeferred returns when the next deferred entry may be accepted; zero if there is none.
func (s incarnations) nextDeferred() (earliest time.Time) {
	for _, newest := range s {
		if newest.deferred == nil {
			continue
		}
		if at := newest.acceptedAt.Add(lateWriteWindow); earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// deferredDue returns when a collection must be evaluated again even if nothing changes; zero for never.
func (f *Follower) deferredDue(collection Collection) time.Time {
	if collection != Engines {
		return time.Time{}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.incarnations.nextDeferred()
}
