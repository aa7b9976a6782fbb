// Package discovery follows the records of the operator and the engines: the
// active configuration, evacuation orders and the listed engines. It keeps them as one
// immutable View, which never goes back to an older version.
package discovery

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/routing"
)

// Collection is a set of records that is watched as one.
type Collection int

// Collections.
const (
	Configurations Collection = iota
	Engines
	collectionCount
)

// String returns the collection's name in logs.
func (c Collection) String() string {
	return [...]string{"configurations", "engines"}[c]
}

// ErrHistoryGone means that the source no longer has the changes since a version.
var ErrHistoryGone = errors.New("the history of changes is no longer available")

// ErrUnconfirmed means that another process returned the records while the store did not answer.
var ErrUnconfirmed = errors.New("the store has not confirmed that these records are current")

// Record is one record of a collection as of some version. Exactly one of
// Deleted, Err, Configuration, Engine and Evacuates is set, except that Evacuates is also set
// for an order that is Deleted.
type Record struct {
	Key           string
	Version       uint64
	Deleted       bool
	Err           error // the record cannot be read
	Configuration *routing.Configuration
	Engine        *routing.Engine
	Evacuates     string // zone to which no more requests are to be sent; among Configurations
}

// Source is the store of the collections. Safe for concurrent use.
type Source interface {
	// List reads a collection as of one version. Reads may be stale.
	List(ctx context.Context, collection Collection) ([]Record, uint64, error)
	// Changes waits for records that changed after a version, and returns
	// them with the version to continue from. If there are none in time it returns none.
	// The error is marked ErrHistoryGone if the changes are no longer available, and ErrUnconfirmed if the
	// returned changes are valid but the store has not confirmed that they are the newest.
	Changes(ctx context.Context, collection Collection, after uint64, wait time.Duration) ([]Record, uint64, error)
}

// View is the state of all collections at one moment. It is immutable.
type View struct {
	Table    *routing.Table            // nil before the first configuration
	Engines  map[string]routing.Engine // by the identity of the incarnation; at most one for each name
	Versions [collectionCount]uint64   // of the newest record read

	// Masked holds identities of engines that are not listed only because another writer's entry has replaced their
	// own: an entry that cannot be read or that names a service not in the configuration. When their own entry is
	// back, they are the same incarnation. While records change, no identity stays here for more than a minute,
	// whatever other writers do.
	Masked map[string]bool

	Evacuations evacuations // by zone, including cancelled ones

	seenVersions seenVersions // of the services' software
	movedRoutes  movedRoutes  // services whose routes led elsewhere
}

// HasService reports whether the active configuration names a service.
func (v *View) HasService(service string) bool {
	if v.Table == nil {
		return false
	}
	_, named := v.Table.Configuration.Services[service]
	return named
}

// mayServe reports whether there may be engines of a service; true before the first configuration.
func (v *View) mayServe(service string) bool { return v.Table == nil || v.HasService(service) }

// Options are what a Follower needs.
type Options struct {
	Source   Source
	Observer Observer
}

// Observer is notified of changes. Its methods are called one at a time for
// each collection and must not block.
type Observer interface {
	// ViewChanged is called after a new view is published, and once CoveredSince counts its records as seen.
	ViewChanged(collection Collection, view *View)
	// RecordUnreadable is called once for each version of a record that cannot be read. Such a record
	// defines nothing: an engine that had its key is removed.
	RecordUnreadable(collection Collection, key string, version uint64, fault error)
	// SourceLost is called when the source stops answering, SourceRegained when it answers again.
	SourceLost(collection Collection, cause error)
	SourceRegained(collection Collection, outage time.Duration)
}

// Times of a Follower.
const (
	// watchWait is how long one call waits for changes. A connection that the
	// source lost is as quiet as one without changes; so this and watchAllowance
	// bound how long a change can go unseen once the source is back.
	watchWait      = 2 * time.Second
	watchAllowance = 400 * time.Millisecond // beyond watchWait before the call counts as lost
	// answerIdle is the maximum time between two parts of an answer, and answerTimeout
	// the maximum time for a whole answer: a row of 1 MB over a link that leaves a process 1 Mbit/s.
	// A fixed time for the whole answer would abort a large one while it arrives, and start it again.
	answerIdle    = 400 * time.Millisecond
	answerTimeout = 10 * time.Second
	// regainWait is the wait of the first call after a failed one: its answer shows that
	// the source is back, and should not take as long as a watch.
	regainWait = time.Millisecond
	// coalescePause follows changes, so that a series of them,
	// as when many engines start, costs one call.
	coalescePause = 200 * time.Millisecond
	listTimeout   = time.Second // until a list begins to arrive
	firstBackoff  = 50 * time.Millisecond
	maxBackoff    = 400 * time.Millisecond
	// staleReadWindow is how long reads may be stale; a list that follows lost history is read again after it.
	staleReadWindow = 3500 * time.Millisecond
)

// Follower keeps a View up to date. Safe for concurrent use.
type Follower struct {
	options      Options
	view         atomic.Pointer[View]
	mutex        sync.Mutex   // serialises changes of view
	incarnations incarnations // guarded by mutex
	healthy      [collectionCount]atomic.Bool
	lastAnswers  [collectionCount]atomic.Pointer[time.Time] // when the source last answered; nil before the first answer
	coverages    [collectionCount]atomic.Pointer[coverage]  // nil before the first list
	earlier      atomic.Pointer[earlierKnowledge]           // nil if nothing is known
	readVersions [collectionCount]atomic.Uint64             // up to which the view has all changes
}

// New returns a follower with an empty view.
func New(options Options) *Follower {
	f := &Follower{options: options, incarnations: make(incarnations)}
	f.view.Store(&View{Engines: map[string]routing.Engine{}, Evacuations: evacuations{}})
	return f
}

// View returns the newest view.
func (f *Follower) View() *View { return f.view.Load() }

// Complete reports whether a configuration and the engines have been read.
func (f *Follower) Complete() bool {
	view := f.View()
	return view.Table != nil && view.Versions[Engines] > 0
}

// Connected reports whether the source answered the last call for every
// collection.
func (f *Follower) Connected() bool {
	for i := range f.healthy {
		if !f.healthy[i].Load() {
			return false
		}
	}
	return true
}

// LastAnswerAt returns when the source last answered a call for a collection; zero if it never did.
func (f *Follower) LastAnswerAt(collection Collection) time.Time {
	if lastAnswer := f.lastAnswers[collection].Load(); lastAnswer != nil {
		return *lastAnswer
	}
	return time.Time{}
}

// Run follows a collection until ctx ends.
func (f *Follower) Run(ctx context.Context, collection Collection) {
	loop := &collectionLoop{follower: f, collection: collection, lastSuccess: time.Now()}
	for ctx.Err() == nil {
		loop.step(ctx)
	}
}

// collectionLoop is the state of the loop that follows one collection.
type collectionLoop struct {
	follower           *Follower
	collection         Collection
	listed             bool
	after              uint64
	unchangedSinceList bool      // no changes arrived since the last list
	relistAt           time.Time // when to list again; zero if no further list is due
	backoff            time.Duration
	pause              time.Duration // before the next call, after changes
	lastSuccess        time.Time
	lost               bool
}

// step makes one call to the source.
func (s *collectionLoop) step(ctx context.Context) {
	var err error
	switch {
	case !s.listed || (!s.relistAt.IsZero() && !time.Now().Before(s.relistAt)):
		err = s.list(ctx)
	default:
		err = s.wait(ctx)
	}
	switch {
	case err == nil:
		s.succeeded()
		if s.pause > 0 {
			backoff.Wait(ctx, s.pause)
			s.pause = 0
		}
	case ctx.Err() != nil:
	case errors.Is(err, errStaleList) && time.Since(s.lastSuccess) < staleReadWindow:
		// The source answers, and its earlier records stay valid: a process that counted it as lost would
		// not be ready, though it serves as well as before.
		s.scheduleRelist(ctx)
	default:
		s.failed(ctx, err)
	}
}

// errStaleList is why a list is ignored.
var errStaleList = errors.New("the list is older than records already read")

// scheduleRelist delays the next list after one that was stale. If an earlier list was accepted, the loop watches for
// changes until then.
func (s *collectionLoop) scheduleRelist(ctx context.Context) {
	if s.listed {
		s.relistAt = time.Now().Add(maxBackoff)
		return
	}
	backoff.Wait(ctx, coalescePause)
}

// list reads the whole collection. A list older than the version already read is
// stale and is ignored.
func (s *collectionLoop) list(ctx context.Context) error {
	ctx, cancel := progress.WithLimits(ctx, progress.Limits{First: listTimeout, Idle: answerIdle, Total: answerTimeout})
	defer cancel()
	begun := time.Now()
	records, version, err := s.follower.options.Source.List(ctx, s.collection)
	if err != nil {
		return err
	}
	if version < s.after {
		return errors.Wrapf(errStaleList, "list of %s: version %d, already read %d", s.collection, version, s.after)
	}
	view := s.follower.replace(s.collection, records, version)
	s.follower.confirm(s.collection, begun, false)
	s.follower.options.Observer.ViewChanged(s.collection, view)
	if s.listed {
		s.relistAt = time.Time{}
	}
	s.listed, s.unchangedSinceList, s.after = true, true, version
	return nil
}

// wait watches for changes.
func (s *collectionLoop) wait(ctx context.Context) error {
	wait := watchWait
	if s.lost {
		wait = regainWait
	}
	deferredDue := s.follower.deferredDue(s.collection)
	for _, due := range []time.Time{s.relistAt, deferredDue} {
		if !due.IsZero() {
			wait = max(time.Millisecond, min(wait, time.Until(due)))
		}
	}
	ctx, cancel := progress.WithLimits(ctx, progress.Limits{First: wait + watchAllowance, Idle: answerIdle, Total: wait + answerTimeout})
	defer cancel()
	begun := time.Now()
	records, version, err := s.follower.options.Source.Changes(ctx, s.collection, s.after, wait)
	if errors.Is(err, ErrHistoryGone) {
		s.listed = false
		s.relistAt = time.Now().Add(staleReadWindow)
		if s.unchangedSinceList { // the list was stale, and the next one may be
			s.pause = coalescePause
		}
		return nil
	}
	if err != nil && !errors.Is(err, ErrUnconfirmed) {
		return err
	}
	s.unchangedSinceList = false
	s.after = max(s.after, version)
	var changed *View
	if len(records) > 0 || (!deferredDue.IsZero() && !time.Now().Before(deferredDue)) {
		changed = s.follower.change(s.collection, records, version)
		s.pause = coalescePause
	}
	if err == nil {
		s.follower.confirm(s.collection, begun, len(records) == 0)
	}
	if changed != nil {
		s.follower.options.Observer.ViewChanged(s.collection, changed)
	}
	return err // ErrUnconfirmed: the records are applied, but the store did not answer
}

// succeeded records that the source answered.
func (s *collectionLoop) succeeded() {
	now := time.Now()
	if s.lost {
		s.lost = false
		s.follower.options.Observer.SourceRegained(s.collection, now.Sub(s.lastSuccess))
	}
	s.lastSuccess, s.backoff = now, 0
	s.follower.healthy[s.collection].Store(true)
	s.follower.lastAnswers[s.collection].Store(&now)
	s.follower.readVersions[s.collection].Store(s.after)
}

// failed waits before the next call, longer after each consecutive failure.
func (s *collectionLoop) failed(ctx context.Context, cause error) {
	if !s.lost {
		s.lost = true
		s.follower.options.Observer.SourceLost(s.collection, cause)
	}
	s.follower.healthy[s.collection].Store(false)
	s.backoff = min(maxBackoff, max(firstBackoff, 2*s.backoff))
	backoff.Wait(ctx, s.backoff)
}

// replace applies a whole list, and publishes and returns the new view.
func (f *Follower) replace(collection Collection, records []Record, version uint64) *View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := f.copyView()
	if collection == Engines {
		f.incarnations.removeUnlisted(next.Engines, records, version, time.Now())
	} else {
		next.Evacuations = next.Evacuations.withList(records, version)
	}
	f.apply(next, collection, records, version)
	return next
}

// change applies changes, and publishes and returns the new view.
func (f *Follower) change(collection Collection, records []Record, version uint64) *View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := f.copyView()
	f.apply(next, collection, records, version)
	return next
}

// copyView returns a copy of the view that may be modified. The mutex is held.
func (f *Follower) copyView() *View {
	next := *f.View()
	next.Engines = maps.Clone(next.Engines)
	next.Evacuations = maps.Clone(next.Evacuations)
	return &next
}

// apply adds records to a view and makes it the current one. The mutex is held.
func (f *Follower) apply(next *View, collection Collection, records []Record, version uint64) {
	previousVersion := next.Versions[collection]
	now := time.Now()
	for _, record := range records {
		switch {
		case record.Err != nil:
			// This record has replaced the engine's own entry, whose content is invalid
			// until the engine has written it again.
			if collection == Engines {
				f.incarnations.mask(next.Engines, record.Key, record.Version, now)
			}
			if record.Version > previousVersion { // lists repeat older records
				f.options.Observer.RecordUnreadable(collection, record.Key, record.Version, record.Err)
			}
		case record.Evacuates != "":
			next.Evacuations.update(record)
		case record.Deleted:
			if collection == Engines {
				f.incarnations.remove(next.Engines, record.Key, record.Version, now)
			}
		case record.Engine != nil:
			f.incarnations.update(next.Engines, *record.Engine, record.Version, now, next.mayServe)
		case record.Configuration != nil:
			if next.Table == nil || record.Configuration.Version > next.Table.Configuration.Version {
				table := routing.NewTable(record.Configuration)
				next.movedRoutes = next.movedRoutes.updated(next.Table, table, now)
				next.Table = table
			}
		}
	}
	f.incarnations.applyDeferred(next.Engines, now, next.mayServe)
	f.incarnations.expire(now)
	next.Masked = f.incarnations.maskedEngines()
	next.seenVersions = next.seenVersions.updated(next.Engines, now)
	next.Versions[collection] = max(next.Versions[collection], version)
	f.view.Store(next)
}
