package zonefeed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Timeouts and pauses of a watcher.
const (
	// watchWait is how long one call of a watcher waits for changes. A lost connection is indistinguishable
	// from one without changes; so a watcher calls often, and each answer shows the others that it
	// reaches the service.
	watchWait = 400 * time.Millisecond
	// responseTimeout is the allowance on top of the wait until an answer begins, and then the maximum
	// time between two parts of it. The maximum latency that the platform announces is 200 ms.
	responseTimeout = 400 * time.Millisecond
	// maxAnswerTime is the maximum time of a whole answer, as in discovery.
	maxAnswerTime = 10 * time.Second
	// pollWait is the wait of a call that should return the changes at once.
	pollWait = time.Millisecond
	// maxSilence is for how long watchers may have sent nothing, in requests for a whole table one after another, before
	// the process reads it from the service: it may be the process itself that reaches none of them.
	maxSilence = 1200 * time.Millisecond
	// listRetryTime is the longest time between two attempts to read a table; it equals discovery's maxBackoff.
	listRetryTime = 400 * time.Millisecond
	// pauseAfterChanges is how long the reader of a feed pauses after changes; it equals
	// discovery's settlePause.
	pauseAfterChanges = 200 * time.Millisecond
)

// peerClient sends a request to a peer. *wire.Client implements it.
type peerClient interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
}

// Observer is notified of role changes and invalid replies. It must not block.
type Observer interface {
	// WatchRoleChanged is called when the process's assignment changes, with how long it held the
	// assignment before, and the failure of the watcher that it followed, if that is the cause.
	WatchRoleChanged(now, before Assignment, held time.Duration, cause error)
	// InvalidWatchReply is called for a malformed reply of a watcher.
	InvalidWatchReply(watcher string, fault error)
}

// Options are what a Feed needs.
type Options struct {
	Feed     tablestore.Feed // this process's own feed from the service
	Node     string
	RunID    uint64 // unique for each run of a process
	Observer Observer
	// Standalone means that the process has no peers to wait for at its start: SetPeers will not be called.
	Standalone bool
}

// Stats are the counters of a Feed.
type Stats struct {
	Assignment     Assignment
	Requests       uint64 // calls sent to the watcher of the zone instead of the service
	FailedRequests uint64 // requests without a usable answer
	Answered       uint64 // calls of other processes that this process answered
	PeerUpdates    uint64 // newer versions received from another process while no data was confirmed
	Declined       uint64 // calls of others declined: data not current, too many calls, or stopping
}

// Failures are the last errors of the sources of changes; each is empty if the last call succeeded.
type Failures struct{ Watcher, Store, Neighbours string }

// Feed returns the changes of tables from the watcher of the zone, or from the service if there is none.
// It implements tablestore.Feed. Safe for concurrent use.
type Feed struct {
	options        Options
	slots          chan struct{} // semaphore of answers in progress
	requests       atomic.Uint64
	failedRequests atomic.Uint64
	answered       atomic.Uint64
	declined       atomic.Uint64
	peerUpdates    atomic.Uint64
	stopping       atomic.Bool

	peersKnown      context.Context // ends with the first SetPeers
	setPeersKnown   context.CancelFunc
	serviceReturned chan struct{} // see ServiceReturned

	mutex         sync.Mutex
	firstPeers    firstPeers
	watcherClient peerClient // nil before SetPeers
	choice        choice
	contact       contact
	tables        map[string]*table
	assignment    Assignment // last reported to the observer
	assignedAt    time.Time
	cause         error // of the last failure of a watcher
	failures      Failures
	// fallbackPeers are queried through fallbackClient while neither watcher nor service responds.
	fallbackClient peerClient // nil before SetFallbackPeers
	fallbackPeers  neighbourhood
	closing        context.Context // ends with Close
	close          context.CancelFunc
	// following ends when another process sends this one a request, which makes it the watcher.
	following     context.Context
	stopFollowing context.CancelFunc
}

// table is the state of one table.
type table struct {
	journal journal
	updated chan struct{} // closed, and replaced, when the service has answered
	basis   basis         // of the watcher's last answer
	// snapshotBasis is the basis of the last snapshot; zero if the service sent it.
	snapshotBasis basis
	packCache     packCache
	newest        uint64 // version of a row that another process reported in answer to a query
	// call is the context of the call to the service in progress, with its progress limits; nil if there is none.
	call context.Context
	// calledAt is when a call to the service last began or ended.
	calledAt time.Time
	silence  time.Duration // see silenceOf
	// stableAt is the time from which this process returns unconfirmed data to others.
	stableAt time.Time
}

// basis names the snapshot on which a watcher's changes build. Rows that a newer snapshot corrected may be
// missing among the changes, so the table is then read as a whole.
type basis struct{ run, list uint64 }

var _ tablestore.Feed = (*Feed)(nil)

// NewFeed returns a feed that calls the service only, until SetPeers.
func NewFeed(options Options) *Feed {
	now := time.Now()
	f := &Feed{options: options, slots: make(chan struct{}, maxAnswers), choice: newChoice(),
		tables: make(map[string]*table), assignedAt: now, serviceReturned: make(chan struct{}), firstPeers: newFirstPeers(now, options.Standalone)}
	f.fallbackPeers = newNeighbourhood()
	f.peersKnown, f.setPeersKnown = context.WithCancel(context.Background())
	f.following, f.stopFollowing = context.WithCancel(context.Background())
	f.closing, f.close = context.WithCancel(context.Background())
	return f
}

// Close cancels the requests that have a timeout of their own.
func (f *Feed) Close() { f.close() }

// SetPeers sets the processes of the zone, and the client to send them requests with.
func (f *Feed) SetPeers(client peerClient, own string, peers []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.setPeersKnown()
	f.watcherClient = client
	f.choice.setPeers(own, peers)
}

// Run records ticks, which show that the process runs, until ctx ends. Without it the process
// answers no requests.
func (f *Feed) Run(ctx context.Context) {
	for {
		f.mutex.Lock()
		f.contact.tick(time.Now())
		f.mutex.Unlock()
		if !backoff.Wait(ctx, tickPeriod) {
			return
		}
	}
}

// Stats returns the counters and the current assignment.
func (f *Feed) Stats() Stats {
	f.mutex.Lock()
	current := f.assignment
	f.mutex.Unlock()
	return Stats{Assignment: current, Requests: f.requests.Load(), FailedRequests: f.failedRequests.Load(),
		Answered: f.answered.Load(), PeerUpdates: f.peerUpdates.Load(), Declined: f.declined.Load()}
}

// Failures returns the last errors of the sources of changes.
func (f *Feed) Failures() Failures {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.failures
}

// reasonOf returns the text of an error for logs; empty for nil.
func reasonOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Snapshot implements tablestore.Feed.
func (f *Feed) Snapshot(ctx context.Context, name string) ([]tablestore.Change, uint64, error) {
	if err := f.awaitFirstPeers(ctx, name); err != nil {
		return nil, 0, err
	}
	answer, err := f.requestSnapshot(ctx, name)
	switch {
	case err == nil:
		f.applySnapshot(name, answer)
		return answer.rows, answer.version, nil
	case !errors.Is(err, errReadDirectly):
		return nil, 0, errors.Wrap(err, "watcher of the zone")
	}
	f.setCall(name, ctx)
	rows, version, err := f.options.Feed.Snapshot(ctx, name)
	f.setCall(name, nil)
	if err == nil {
		f.applySnapshot(name, update{rows: rows, version: version})
		f.recordServed(name)
	}
	return rows, version, err
}

// requestSnapshot requests a whole table from the watcher of the zone, and from the next one if it declines, cannot be
// reached or is silent: all followers of a failed watcher come here at once, and the link to the service would carry the
// table once for each of them. The error is marked errReadDirectly if this process is to read the table from the service.
// With any other error, the time of the call is over; the next call goes on with the next watcher.
func (f *Feed) requestSnapshot(ctx context.Context, name string) (update, error) {
	for {
		assignment, following := f.updateAssignment()
		if assignment.Role != Follower || f.silenceOf(name) > maxSilence {
			f.setSilence(name, 0)
			return update{}, errReadDirectly
		}
		query := &wirepb.FollowTable{Table: name, Snapshot: true, ReadsPacked: true}
		if idleTimeoutWithin(ctx, query) < minSnapshotTime {
			return update{}, errNoTimeLeft
		}
		begun := time.Now()
		answer, err := f.requestWatcher(ctx, following, assignment.Watcher, query)
		switch {
		case err == nil:
			f.setSilence(name, 0)
			return answer, nil
		case following.Err() != nil, errors.Is(err, errTooLarge): // others wait for this process, or no watcher can send it
			return update{}, errors.Mark(err, errReadDirectly)
		case errors.Is(err, errUnresponsive):
			f.setSilence(name, f.silenceOf(name)+time.Since(begun))
		}
		if ctx.Err() != nil {
			return update{}, err
		}
	}
}

// silenceOf returns for how long watchers have sent nothing of a table, in requests for it one after another.
func (f *Feed) silenceOf(name string) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.table(name).silence
}

// setSilence sets what silenceOf returns.
func (f *Feed) setSilence(name string, silence time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.table(name).silence = silence
}

// Changes implements tablestore.Feed.
func (f *Feed) Changes(ctx context.Context, name string, after uint64, wait time.Duration) ([]tablestore.Change, uint64, error) {
	assignment, following := f.updateAssignment()
	switch assignment.Role {
	case Watcher:
		return f.watchOrCatchUp(ctx, name, after, min(wait, f.watcherWait(name)))
	case Standalone:
		return f.watchStandalone(ctx, following, name, after, wait)
	}
	query := &wirepb.FollowTable{Table: name, After: after, WaitMillis: min(wait, followWait).Milliseconds(), ReadsPacked: true}
	answer, err := f.requestWatcher(ctx, following, assignment.Watcher, query)
	switch {
	case err == nil && answer.historyGone && !f.isNewList(name, answer.basis):
		// The watcher's snapshot may just be newer than this process's, as when both start.
		return f.watch(ctx, name, after, min(wait, pollWait))
	case err == nil:
		return f.applyChanges(name, after, answer)
	case ctx.Err() != nil:
		return nil, 0, errors.Wrap(err, "watcher of the zone")
	case following.Err() != nil: // others wait for this process's data to be current
		return f.watch(ctx, name, after, min(wait, pollWait))
	}
	return f.pollAfterFailure(ctx, name, after, min(wait, pollWait))
}

// pollAfterFailure calls the service because the watcher did not answer. It first fetches newer data from another
// process: all followers of the same watcher come here at once, and large answers of the service to each of them
// would fill its link. The next call has another assignment.
func (f *Feed) pollAfterFailure(ctx context.Context, name string, after uint64, wait time.Duration) ([]tablestore.Change, uint64, error) {
	learned, newer := f.catchUp(ctx, name, after)
	ctx, cancel := f.detachedContext(ctx, wait+responseTimeout)
	defer cancel()
	if !newer {
		return f.watch(ctx, name, after, wait)
	}
	rows, version, err := f.watch(ctx, name, learned.version, wait)
	if err != nil {
		return learned.rows, learned.version, unconfirmed(err)
	}
	return append(learned.rows, rows...), max(version, learned.version), nil
}

// watchOrCatchUp calls the service, and queries other processes if it does not answer while the caller waits.
func (f *Feed) watchOrCatchUp(ctx context.Context, name string, after uint64, wait time.Duration) ([]tablestore.Change, uint64, error) {
	rows, version, err := f.watch(ctx, name, after, wait)
	if err == nil || errors.Is(err, tablestore.ErrHistoryTruncated) || errors.Is(ctx.Err(), context.Canceled) {
		return rows, version, err
	}
	if learned, newer := f.catchUp(ctx, name, after); newer {
		return learned.rows, learned.version, unconfirmed(err)
	}
	return nil, 0, err
}

// watchStandalone calls the service for this process only. Once another process sends this one a request,
// the waiting call is cancelled and replaced by a poll, so that the request is answered soon.
func (f *Feed) watchStandalone(ctx, following context.Context, name string, after uint64, wait time.Duration) ([]tablestore.Change, uint64, error) {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(following, cancel)()
	rows, version, err := f.watchOrCatchUp(waiting, name, after, wait)
	if err != nil && !errors.Is(err, tablestore.ErrUnconfirmed) && following.Err() != nil && ctx.Err() == nil {
		return f.watchOrCatchUp(ctx, name, after, min(wait, pollWait))
	}
	return rows, version, err
}

// watch calls the service, and records its answer.
func (f *Feed) watch(ctx context.Context, name string, after uint64, wait time.Duration) ([]tablestore.Change, uint64, error) {
	begun := time.Now()
	ctx, cancel := progress.WithLimits(ctx, progress.Limits{First: wait + responseTimeout, Idle: responseTimeout, Total: wait + maxAnswerTime})
	defer cancel()
	f.setCall(name, ctx)
	rows, version, err := f.options.Feed.Changes(ctx, name, after, wait)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entry := f.table(name)
	entry.call, entry.calledAt = nil, time.Now()
	f.failures.Store = reasonOf(err)
	switch {
	case errors.Is(err, tablestore.ErrHistoryTruncated):
		f.contact.invalidate(name)
		f.contact.recordServed(name, time.Now())
		entry.stableAt = time.Now().Add(stableAfter)
		return rows, version, err
	case err != nil:
		f.contact.recordFailure(name)
		return rows, version, err
	}
	entry.journal.applyChanges(rows, version)
	f.contact.recordAnswer(name, begun, time.Now())
	entry.notify()
	return rows, version, nil
}

// setCall records the call to the service in progress for a table; nil if none is.
func (f *Feed) setCall(name string, ctx context.Context) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entry := f.table(name)
	entry.call, entry.calledAt = ctx, time.Now()
}

// recordServed records that the service answered a call for a table without a confirmation.
func (f *Feed) recordServed(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.contact.recordServed(name, time.Now())
}

// watcherWait returns how long a watcher's next call waits for changes. If the data is not current,
// the watcher polls, since others may wait for its answer.
func (f *Feed) watcherWait(name string) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.contact.isCurrent(name, time.Now()) {
		return watchWait
	}
	return pollWait
}

// applySnapshot applies a snapshot of a table. Since a snapshot may be stale, the table counts as not
// current until the next call for changes.
func (f *Feed) applySnapshot(name string, list update) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entry := f.table(name)
	entry.journal.applySnapshot(list.rows, list.version)
	if list.basis == (basis{}) || list.basis != entry.snapshotBasis { // otherwise from the same list of the service as before
		entry.stableAt = time.Now().Add(stableAfter)
	}
	entry.basis, entry.snapshotBasis = list.basis, list.basis
	f.contact.invalidate(name)
}

// isNewList reports whether a watcher has read a table as a whole again since its last answer.
func (f *Feed) isNewList(name string, from basis) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.table(name).hasNewList(from)
}

// applyChanges applies the changes in a watcher's answer. The error is marked
// tablestore.ErrHistoryTruncated if the table must be read as a whole.
func (f *Feed) applyChanges(name string, after uint64, changes update) ([]tablestore.Change, uint64, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entry := f.table(name)
	if changes.historyGone || entry.hasNewList(changes.basis) {
		entry.stableAt = time.Now().Add(stableAfter)
		return nil, 0, errors.Mark(errors.New("the watcher of the zone has read the table again"), tablestore.ErrHistoryTruncated)
	}
	entry.basis = changes.basis
	entry.journal.applyChanges(changes.rows, changes.version)
	return changes.rows, max(after, changes.version), nil
}

// updateAssignment returns the role of the process now, with a context that ends when it becomes the
// watcher. It notifies the observer of a change.
func (f *Feed) updateAssignment() (Assignment, context.Context) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	assignment := f.choice.assignment(now) // a watcher may be requested before it knows its peers
	if assignment.Role != Watcher && f.following.Err() != nil {
		f.following, f.stopFollowing = context.WithCancel(context.Background())
	}
	if assignment != f.assignment {
		f.options.Observer.WatchRoleChanged(assignment, f.assignment, now.Sub(f.assignedAt), f.cause)
		f.assignment, f.assignedAt, f.cause = assignment, now, nil
	}
	return assignment, f.following
}

// table returns the state of a table, and creates it if needed. The mutex is held.
func (f *Feed) table(name string) *table {
	entry := f.tables[name]
	if entry == nil {
		entry = &table{updated: make(chan struct{})}
		f.tables[name] = entry
	}
	return entry
}

// hasNewList reports whether a watcher's basis differs from that of the last answer of the same run.
// The mutex is held.
func (t *table) hasNewList(now basis) bool { return t.basis.run == now.run && t.basis != now }

// isFirstListPending reports whether the service has been called for a table of which nothing is known yet, or is about to
// be called again after a failure. The mutex is held.
func (t *table) isFirstListPending() bool {
	return t.journal.listCount == 0 && (t.call != nil || time.Since(t.calledAt) < listRetryTime)
}

// isReceiving reports whether an answer of the service for this table is arriving. The mutex is held.
func (t *table) isReceiving() bool { return t.call != nil && progress.Recent(t.call) }

// notify wakes those who wait for updates of a table. The mutex is held.
func (t *table) notify() {
	close(t.updated)
	t.updated = make(chan struct{})
}
