package dispatch

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/observation"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// maxIndexBlocks bounds the prefix index of one engine.
const maxIndexBlocks = 1 << 17

// leavingRetention is how long an engine's own refusal because it is leaving overrides other sources,
// which lag.
const leavingRetention = 30 * time.Second

// fallbackPrefillRate, in tokens per second, converts a program's tokens to attained service. It is a
// constant, so that the estimate exists before any engine has reported its own rate.
const fallbackPrefillRate = 5000

// maxServedMarks limits the prompt prefixes that are stored per engine from this node's calls.
const maxServedMarks = 1 << 11

// Fleet is the node's view of its cell's engines. The set of engines is replaced as a whole when a
// bundle is activated; readers of it never block. Safe for concurrent use.
type Fleet struct {
	options      Options
	index        *backend.Index              // exact, of the engines that this node observes
	served       *observation.ServedPrefixes // of the others, derived from this node's calls
	members      atomic.Pointer[map[string]*engineMember]
	viewsChanged atomic.Bool // an engine started to leave, or was first observed, since the views were last read

	holds holdCheck

	mutex            sync.Mutex // guards all below, and the mode of each member
	closed           bool
	engineSet        uint32          // hash of the names of the cell's engines
	engineSetVersion uint64          // version of the bundle that last changed them
	byNumber         []*engineMember // digests refer to engines by these numbers
	digests          *observation.DigestSelector
	refusedLeaving   map[string]time.Time // when an engine itself refused a call because it is leaving
	toldLeaving      map[string]time.Time // when a peer last reported that it is leaving
	listedLeaving    map[string]bool      // the machine list states that it is leaving
}

func newFleet(options Options) *Fleet {
	f := &Fleet{
		options:        options,
		index:          backend.NewIndex(maxIndexBlocks),
		holds:          holdCheck{liveAt: make(map[string]time.Time)},
		served:         observation.NewServedPrefixes(maxServedMarks),
		digests:        observation.NewDigestSelector(),
		refusedLeaving: make(map[string]time.Time),
		toldLeaving:    make(map[string]time.Time),
		listedLeaving:  make(map[string]bool),
	}
	f.members.Store(&map[string]*engineMember{})
	return f
}

// CachedBlocks implements scheduler.PrefixIndex: exact for engines that this node observes, derived
// from this node's calls for the others.
func (f *Fleet) CachedBlocks(engine string, blocks []uint64) int {
	if member, ok := f.engine(engine); ok && member.observed.Load() && f.index.Sequence(engine) > 0 {
		return f.index.CachedBlocks(engine, blocks)
	}
	return f.served.CachedBlocks(engine, blocks)
}

// apply adopts the engines of a new bundle and drops those that it no longer names.
func (f *Fleet) apply(snapshot *bundle.Snapshot) {
	f.mutex.Lock()
	old := *f.members.Load()
	next := make(map[string]*engineMember)
	for _, config := range snapshot.Bundle.Engines {
		if config.Cell != "" && config.Cell != f.options.Cell {
			continue
		}
		next[config.Name] = f.member(old[config.Name], config)
	}
	f.numberMembers(next, snapshot.Version())
	f.members.Store(&next)
	for name, member := range old {
		if next[name] != member {
			f.setMode(member, notPolled)
			f.served.Remove(name)
		}
	}
	f.mutex.Unlock()
	f.UpdatePolling(time.Now())
}

// member returns the existing engine if its URL and zone are unchanged, and a new one otherwise.
func (f *Fleet) member(old *engineMember, config bundle.Engine) *engineMember {
	if old != nil && old.config.URL == config.URL && old.config.Zone == config.Zone {
		return old
	}
	return newEngineMember(config, backend.NewEngineClient(config.URL, f.options.Client))
}

// numberMembers numbers the engines by name. The mutex must be held.
func (f *Fleet) numberMembers(members map[string]*engineMember, version uint64) {
	names := slices.Sorted(maps.Keys(members))
	if set := observation.EngineSetHash(names); set != f.engineSet || f.engineSetVersion == 0 {
		f.engineSet, f.engineSetVersion = set, version
	}
	f.byNumber = make([]*engineMember, 0, len(names))
	for i, name := range names {
		members[name].number = i
		f.byNumber = append(f.byNumber, members[name])
	}
}

func (f *Fleet) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
	for _, member := range *f.members.Load() {
		f.setMode(member, notPolled)
	}
}

func (f *Fleet) engine(name string) (*engineMember, bool) {
	member, ok := (*f.members.Load())[name]
	return member, ok
}

// recordLeavingRefusal records that an engine refused a call because it is leaving, and notifies peers.
func (f *Fleet) recordLeavingRefusal(name string) {
	f.mutex.Lock()
	now := time.Now()
	isNew := !f.isLeavingLocally(name, now)
	f.refusedLeaving[name] = now
	f.viewsChanged.Store(true)
	f.mutex.Unlock()
	if isNew {
		f.notifyPeers()
	}
}

// SetListedLeaving sets the engines that are leaving according to the machine list.
func (f *Fleet) SetListedLeaving(leaving map[string]bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listedLeaving = leaving
	if len(leaving) > 0 {
		f.viewsChanged.Store(true)
	}
}

// isLeavingLocally reports whether this node has its own evidence that the engine is leaving, other than
// from polling it. The mutex must be held.
func (f *Fleet) isLeavingLocally(name string, now time.Time) bool {
	return f.listedLeaving[name] || isRecent(f.refusedLeaving, name, now)
}

// isLeaving reports whether any source states that the engine is leaving. The mutex must be held.
func (f *Fleet) isLeaving(name string, load backend.Load, now time.Time) bool {
	return load.Leaving || f.isLeavingLocally(name, now) || isRecent(f.toldLeaving, name, now)
}

// isRecent reports whether the engine's mark is younger than leavingRetention, and drops an older one.
func isRecent(marks map[string]time.Time, name string, now time.Time) bool {
	at, marked := marks[name]
	if marked && now.Sub(at) >= leavingRetention {
		delete(marks, name)
		return false
	}
	return marked
}

// Views returns what the scheduler needs to know about each engine.
func (f *Fleet) Views() []scheduler.EngineView {
	now := time.Now()
	members := *f.members.Load()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	views := make([]scheduler.EngineView, 0, len(members))
	for name, member := range members {
		report := member.report.Load()
		load := report.Load
		views = append(views, scheduler.EngineView{
			Name:                name,
			Zone:                member.config.Zone,
			Models:              load.Models,
			Ready:               report.Reachable && !report.ObservedAt.IsZero(),
			Leaving:             f.isLeaving(name, load, now),
			Running:             load.Running,
			Waiting:             load.Waiting,
			MaxRunning:          load.MaxRunning,
			CacheUsedTokens:     load.CacheUsedTokens,
			CacheCapacityTokens: load.CacheCapacityTokens,
			PrefillTokensPerSec: load.PrefillTokensPerSec,
			DecodeTokensPerSec:  load.DecodeTokensPerSec,
			ObservedAt:          report.ObservedAt,
		})
	}
	return views
}

// attained estimates the engine time that a program's tokens took.
func (f *Fleet) attained(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / fallbackPrefillRate * float64(time.Second))
}

// Ready reports whether any engine has been observed.
func (f *Fleet) Ready() bool {
	for _, member := range *f.members.Load() {
		if !member.report.Load().ObservedAt.IsZero() {
			return true
		}
	}
	return false
}
