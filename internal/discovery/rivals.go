package discovery

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// rival is an entry of a start that looks older than the known one of its name, written after that one's last.
// Either it is a late write, and the newer start writes its own entry again, or the engine has started again
// with a clock that was set back. It is kept aside since it may not be told again before it changes, and an
// engine whose entry stands in the list would stay unknown till then.
type rival struct {
	engine  routing.Engine
	version uint64
}

// keepAside keeps an entry that was passed over, unless a later word about the name is known.
func (k *start) keepAside(engine routing.Engine, version uint64) {
	if version > k.version && version >= k.withdrawn && (k.rival == nil || version > k.rival.version) {
		k.rival = &rival{engine: engine, version: version}
	}
}

// overtaken drops a rival whose place in the list another word of a version has taken.
func (k *start) overtaken(version uint64) {
	if k.rival != nil && version >= k.rival.version {
		k.rival = nil
	}
}

// settle takes the rivals that the known starts yield to.
func (s starts) settle(engines map[string]routing.Engine, now time.Time, serves func(service string) bool) {
	for _, known := range s {
		if known.rival != nil && known.yields(known.rival.version, now, serves) {
			s.take(engines, known.rival.engine, known.rival.version, now, serves)
		}
	}
}

// due returns when the next rival is to be taken; zero if there is none.
func (s starts) due() (next time.Time) {
	for _, known := range s {
		if known.rival == nil {
			continue
		}
		if at := known.takenAt.Add(lateWrites); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// rivalDue returns when a collection is to be looked at again though nothing changes; zero for never.
func (f *Follower) rivalDue(collection Collection) time.Time {
	if collection != Engines {
		return time.Time{}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.starts.due()
}
