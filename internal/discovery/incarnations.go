package discovery

import (
	"maps"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// incarnationRetention is how long the newest incarnation of an engine is kept after its entry
// was removed. Anything written or read before that arrives within seconds; an engine whose clock
// was set back is accepted again after it.
const incarnationRetention = time.Minute

// lateWriteWindow is how long after an incarnation was accepted an entry of an earlier one may be a write
// that the store applied late. An entry that comes after it is of a restart with a clock that was set back.
const lateWriteWindow = 10 * time.Second

// incarnation is the newest incarnation of an engine of some name. It is listed if its last
// entry is newer than the last version at which the name had none.
type incarnation struct {
	routing.Incarnation
	version        uint64         // of its newest entry
	removedVersion uint64         // version as of which the name had no entry; 0 if it always had one
	unlistedSince  time.Time      // zero if it is listed
	acceptedAt     time.Time      // when the incarnation was accepted
	service        string         // from its last entry
	software       string         // version, from its last entry
	masked         string         // identity of the name's incarnation whose entry another writer has replaced; empty if there is none
	maskedSince    time.Time      // when that began, whatever other entries followed
	deferred       *deferredEntry // entry that has replaced the incarnation's own in the store; nil if there is none
}

// mayBeReplacedBy reports whether an incarnation that looks older may replace this one with a newer entry: because
// the entry can no longer be a late write, or because this one is another writer's entry, of a service that is not in the
// configuration, which must not keep the engine's own entry out.
func (inc *incarnation) mayBeReplacedBy(version uint64, now time.Time, mayServe func(service string) bool) bool {
	return version > inc.version && (now.Sub(inc.acceptedAt) >= lateWriteWindow || !mayServe(inc.service))
}

// incarnations are the newest incarnations, by name. They keep an older incarnation that arrives late from
// replacing a newer one, or from being listed again after it: what is listed does not
// depend on the order in which updates arrive. Not safe for concurrent use.
type incarnations map[string]*incarnation

// update adds an engine's entry to a view's engines, unless it is older than the newest one
// of the name. An older incarnation that has overwritten the entry of the newer one changes nothing:
// the newer one stays as it was last read, until it may be replaced. mayServe reports whether there may be engines of a
// service.
func (s incarnations) update(engines map[string]routing.Engine, engine routing.Engine, version uint64, now time.Time, mayServe func(service string) bool) {
	newest := s[engine.Name]
	if newest == nil {
		newest = &incarnation{Incarnation: engine.Incarnation, acceptedAt: now}
		s[engine.Name] = newest
	}
	if engine.Precedes(newest.Incarnation) && !newest.mayBeReplacedBy(version, now, mayServe) {
		newest.deferEntry(engine, version)
		return
	}
	if engine.Incarnation == newest.Incarnation && version < newest.version {
		return
	}
	newest.dropSuperseded(version)
	newest.setMasked(newest.maskedAfter(engine, mayServe), now)
	delete(engines, newest.ID())
	if engine.Incarnation != newest.Incarnation || engine.Version != newest.software {
		newest.acceptedAt = now // an engine without a start time has also restarted if its software version is another
	}
	newest.Incarnation, newest.version, newest.service, newest.software = engine.Incarnation, version, engine.Service, engine.Version
	if version < newest.removedVersion {
		newest.markUnlisted(now)
		return
	}
	newest.unlistedSince = time.Time{}
	engine.ListedAt = newest.acceptedAt
	engines[engine.ID] = engine
}

// remove records that a name had no entry as of a version.
func (s incarnations) remove(engines map[string]routing.Engine, name string, version uint64, now time.Time) {
	newest := s[name]
	if newest == nil {
		return
	}
	newest.dropSuperseded(version)
	if version >= max(newest.version, newest.removedVersion) {
		newest.masked = ""
	}
	newest.removedVersion = max(newest.removedVersion, version)
	if version >= newest.version {
		delete(engines, newest.ID())
		newest.markUnlisted(now)
	}
}

// markUnlisted records that the incarnation is not listed.
func (inc *incarnation) markUnlisted(now time.Time) {
	if inc.unlistedSince.IsZero() {
		inc.unlistedSince = now
	}
}

// removeUnlisted removes the names that a whole list of a version does not contain. A name whose entry cannot be read
// counts as contained; apply masks it.
func (s incarnations) removeUnlisted(engines map[string]routing.Engine, records []Record, version uint64, now time.Time) {
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		if record.Engine != nil || record.Err != nil {
			listed[record.Key] = true
		}
	}
	for name := range s {
		if !listed[name] {
			s.remove(engines, name, version, now)
		}
	}
}

// expire drops names that have been unlisted, and masks that have existed, for incarnationRetention.
func (s incarnations) expire(now time.Time) {
	for _, newest := range s {
		if now.Sub(newest.maskedSince) >= incarnationRetention {
			newest.masked = ""
		}
	}
	maps.DeleteFunc(s, func(_ string, newest *incarnation) bool {
		return !newest.unlistedSince.IsZero() && now.Sub(newest.unlistedSince) >= incarnationRetention
	})
}

// discoveryLag is how long a node may not know of a new incarnation: engines publish it at once, and a view
// changes within a second where the store answers. A request sent in that time may have reached the
// later incarnation.
const discoveryLag = 2500 * time.Millisecond

// ReplacedAfter reports whether the view lists a later incarnation of an engine, and a request that was sent to
// the engine at the given time certainly went to the earlier one, which has ended.
func (v *View) ReplacedAfter(engine routing.Engine, sent time.Time) bool {
	if _, listed := v.Engines[engine.ID]; listed {
		return false
	}
	for _, other := range v.Engines {
		if engine.Precedes(other.Incarnation) && v.mayServe(other.Service) && sent.Before(other.ListedAt.Add(-discoveryLag)) {
			return true
		}
	}
	return false
}
