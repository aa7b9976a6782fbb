package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// maxIndexBlocks bounds the prefix index of one engine.
const maxIndexBlocks = 1 << 17

// leavingMemory is how long an engine's own word that it leaves outweighs
// what other, lagging sources say.
const leavingMemory = 30 * time.Second

// fallbackPrefillRate estimates attained service before any engine reported.
const fallbackPrefillRate = 5000

// Fleet is the node's view of its cell's engines. The set is replaced as a
// whole when a bundle comes into force; readers never block.
type Fleet struct {
	options Options
	index   *backend.Index
	members atomic.Pointer[map[string]*engineMember]

	holds holdCheck

	mutex   sync.Mutex // serialises apply and close, and guards leaving
	leaving map[string]time.Time
	listed  map[string]bool // the machine list says that it leaves
}

// engineMember is one configured engine under observation.
type engineMember struct {
	config   bundle.Engine
	client   *backend.EngineClient
	observer *backend.Observer
	stop     context.CancelFunc
}

func newFleet(options Options) *Fleet {
	f := &Fleet{
		options: options,
		index:   backend.NewIndex(maxIndexBlocks),
		holds:   holdCheck{liveAt: make(map[string]time.Time)},
		leaving: make(map[string]time.Time),
		listed:  make(map[string]bool),
	}
	f.members.Store(&map[string]*engineMember{})
	return f
}

// apply starts observing the engines of a new bundle and stops those that it
// no longer names.
func (f *Fleet) apply(snapshot *bundle.Snapshot) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	old := *f.members.Load()
	next := make(map[string]*engineMember)
	for _, config := range snapshot.Bundle.Engines {
		if config.Cell != "" && config.Cell != f.options.Cell {
			continue
		}
		if same, ok := old[config.Name]; ok && same.config.URL == config.URL {
			next[config.Name] = same
			continue
		}
		next[config.Name] = f.observe(config)
	}
	f.members.Store(&next)
	for name, member := range old {
		if next[name] != member {
			member.stop()
			f.index.Remove(name)
		}
	}
}

func (f *Fleet) observe(config bundle.Engine) *engineMember {
	ctx, stop := context.WithCancel(context.Background())
	client := backend.NewEngineClient(config.URL, f.options.Client)
	member := &engineMember{
		config:   config,
		client:   client,
		observer: backend.NewObserver(config.Name, client, f.index, backend.ObserverOptions{}),
		stop:     stop,
	}
	go member.observer.Run(ctx)
	return member
}

func (f *Fleet) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, member := range *f.members.Load() {
		member.stop()
	}
}

func (f *Fleet) engine(name string) (*engineMember, bool) {
	member, ok := (*f.members.Load())[name]
	return member, ok
}

// markLeaving notes an engine's own refusal because it leaves.
func (f *Fleet) markLeaving(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leaving[name] = time.Now()
}

// SetListed takes over the machine list's word on which engines leave.
func (f *Fleet) SetListed(leaving map[string]bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listed = leaving
}

// isLeaving says whether any source says that the engine leaves.
func (f *Fleet) isLeaving(name string, load backend.Load) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if load.Leaving || f.listed[name] {
		return true
	}
	since, refused := f.leaving[name]
	return refused && time.Since(since) < leavingMemory
}

// Views returns what the scheduler needs to know of each engine.
func (f *Fleet) Views() []scheduler.EngineView {
	members := *f.members.Load()
	views := make([]scheduler.EngineView, 0, len(members))
	for name, member := range members {
		load, observedAt, err := member.observer.Latest()
		views = append(views, scheduler.EngineView{
			Name:                name,
			Zone:                member.config.Zone,
			Models:              load.Models,
			Ready:               err == nil && !observedAt.IsZero(),
			Leaving:             f.isLeaving(name, load),
			Running:             load.Running,
			Waiting:             load.Waiting,
			MaxRunning:          load.MaxRunning,
			CacheUsedTokens:     load.CacheUsedTokens,
			CacheCapacityTokens: load.CacheCapacityTokens,
			PrefillTokensPerSec: load.PrefillTokensPerSec,
			DecodeTokensPerSec:  load.DecodeTokensPerSec,
			ObservedAt:          observedAt,
		})
	}
	return views
}

// Status returns the engines as operators see them.
func (f *Fleet) Status() []api.EngineStatus {
	views := f.Views()
	statuses := make([]api.EngineStatus, 0, len(views))
	for _, view := range views {
		state := "ready"
		switch {
		case view.Leaving:
			state = "leaving"
		case !view.Ready:
			state = "unreachable"
		}
		statuses = append(statuses, api.EngineStatus{
			Name:    view.Name,
			Zone:    view.Zone,
			State:   state,
			Models:  view.Models,
			Running: view.Running,
			Waiting: view.Waiting,
		})
	}
	return statuses
}

// attained estimates the engine time that a program's tokens have taken.
func (f *Fleet) attained(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / fallbackPrefillRate * float64(time.Second))
}

// Ready says whether any engine has been observed.
func (f *Fleet) Ready() bool {
	for _, member := range *f.members.Load() {
		if _, observedAt, _ := member.observer.Latest(); !observedAt.IsZero() {
			return true
		}
	}
	return false
}
