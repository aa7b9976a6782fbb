// Package relay lets a node that the table service rejects, or that has lost its direct
// path to it, reach it through its peers. A peer makes the call as if it were its own and
// returns the outcome. Conditions of writes hold as they would without a relay, so a relay adds
// no authority and needs no agreement. A peer never forwards a relayed call to a third node.
package relay

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Times of the direct path.
const (
	probeInterval = 500 * time.Millisecond // between two probes of a lost direct path
	probeTimeout  = 500 * time.Millisecond
	// unansweredLimit is how long a call may go unanswered before a peer checks whether
	// the service answers it. An answer normally takes 4 ms.
	unansweredLimit = 150 * time.Millisecond
	// directReadHeadStart is how long a path check waits for its own small read, which shows whether the service
	// answers this node, before it also queries a peer.
	directReadHeadStart = 100 * time.Millisecond
	// directReads is how many small reads over the direct path have to fail before a peer is queried
	// after throttled calls: at twice the rate limit of reads, each is throttled
	// with a probability of one half. They are directReadPause apart.
	directReads     = 2
	directReadPause = 20 * time.Millisecond
	// connectAttempts is how long the attempts to connect of a path check's own reads may take in all.
	connectAttempts = 700 * time.Millisecond
)

// Observer is notified of changes of the path to the table service. Its methods must not block.
type Observer interface {
	// DirectPathLost is called when calls start to go through peers.
	DirectPathLost(cause error)
	// DirectPathRestored is called when the direct path is used again; relayed is how many calls peers have
	// made in all.
	DirectPathRestored(relayed uint64)
	// OutcomeDropped is called for an invalid outcome of a peer.
	OutcomeDropped(peer string, fault error)
}

// Table is the table service, reached over the direct path or through peers. It implements
// tablestore.Table and tablestore.Feed. Safe for concurrent use.
type Table struct {
	direct   tablestore.Table
	feed     tablestore.Feed
	pool     *peerPool
	observer Observer
	closing  context.Context // cancelled by Close
	close    context.CancelFunc

	silence      silence                   // of the service, towards this node
	answeredSent atomic.Pointer[time.Time] // when the newest of the answered calls over the direct path began; nil if there is none

	mutex       sync.Mutex
	path        directPath
	pathContext context.Context // cancelled when the direct path is lost
	cancelPath  context.CancelFunc
	peerChecks  uint64
	check       *pathCheck // in progress; nil if none is
}

// pathCheck evaluates whether the direct path is lost. lost is valid once done is closed.
type pathCheck struct {
	done chan struct{}
	lost bool
}

// NewTable returns a table that is reached over the direct path only, until SetPeers.
func NewTable(direct tablestore.Table, feed tablestore.Feed, node string, observer Observer) *Table {
	t := &Table{direct: direct, feed: feed, observer: observer, pool: newPeerPool(node, observer.OutcomeDropped)}
	t.closing, t.close = context.WithCancel(context.Background())
	t.pathContext, t.cancelPath = context.WithCancel(t.closing)
	return t
}

// SetPeers sets the peers through which calls may go, in order of preference.
func (t *Table) SetPeers(client peerClient, peers []string) { t.pool.setPeers(client, peers) }

// Close ends the probes of a lost direct path.
func (t *Table) Close() { t.close() }

// OutcomesDropped returns how many invalid outcomes of peers were dropped.
func (t *Table) OutcomesDropped() uint64 { return t.pool.invalidCount() }

// Relayed returns how many calls peers made for this node.
func (t *Table) Relayed() uint64 { return t.pool.relayedCount() }

// PeerChecks returns how many times a peer was queried whether the service answers it.
func (t *Table) PeerChecks() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.peerChecks
}

// Commit implements tablestore.Table.
func (t *Table) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	receipt, err, final := callDirect(ctx, t, unansweredLimit, func(ctx context.Context) (tablestore.Receipt, error) {
		return t.direct.Commit(ctx, transaction)
	})
	switch {
	case final:
		return receipt, err
	case err != nil && !errors.Is(err, tablestore.ErrUnavailable) && !errors.Is(err, tablestore.ErrThrottled):
		// The call may have been executed. A repeated call goes through a peer, which
		// is reachable; so nothing here means that the table is unreachable.
		return receipt, errors.Mark(errors.Newf("direct path to the table service was lost during the call: %v", err), tablestore.ErrUnknownOutcome)
	}
	content, err := json.Marshal(transaction)
	if err != nil {
		return tablestore.Receipt{}, errors.Wrap(err, "encode transaction")
	}
	outcome, err := t.pool.call(ctx, &wirepb.Request{Body: &wirepb.Request_CommitTable{
		CommitTable: &wirepb.CommitTable{Transaction: content},
	}}, 0, false)
	if err != nil {
		return tablestore.Receipt{}, err
	}
	return outcome.Receipt, outcome.err()
}

// Range implements tablestore.Table.
func (t *Table) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	page, err, final := callDirect(ctx, t, unansweredLimit, func(ctx context.Context) (tablestore.Page, error) {
		return t.direct.Range(ctx, start, end, limit)
	})
	if final {
		return page, err
	}
	outcome, err := t.pool.read(ctx, rangeRequest(start, end, limit))
	if err != nil {
		return tablestore.Page{}, err
	}
	return outcome.page(), outcome.err()
}

// Get implements tablestore.Table.
func (t *Table) Get(ctx context.Context, key string) (tablestore.Row, error) {
	page, err := t.Range(ctx, key, key+"\x00", 1)
	return page.RowAt(key), err
}

func rangeRequest(start, end string, limit int) *wirepb.Request {
	return &wirepb.Request{Body: &wirepb.Request_RangeTable{
		RangeTable: &wirepb.RangeTable{Start: start, End: end, Limit: int64(limit)},
	}}
}

// callDirect makes a call over the direct path. The third result reports whether the result is final. It is not if the
// direct path is lost, or found to be lost during the call, and there are peers; the call is then to be made through
// them. suspectAfter is how long the call may go unanswered before a path check starts; 0 means never.
func callDirect[T any](ctx context.Context, t *Table, suspectAfter time.Duration, call func(context.Context) (T, error)) (T, error, bool) {
	var zero T
	path := t.directContext()
	if path == nil {
		return zero, nil, false
	}
	callContext, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(path, func() {
		// A call whose answer is being received is not cancelled because other calls lost the path: a large answer
		// fills a link so that new connections fail during the transfer, and would have to start again at its first byte.
		if !progress.Recent(ctx) {
			cancel()
		}
	})()
	if suspectAfter > 0 {
		defer time.AfterFunc(suspectAfter, func() { t.suspectUnanswered(callContext) }).Stop()
	}
	begun := time.Now()
	value, err := observe(t, suspectAfter == 0, func() (T, error) { return call(callContext) })
	t.recordAnsweredCall(begun, err)
	if path.Err() != nil && err != nil && ctx.Err() == nil {
		return value, err, !t.pool.hasPeers() // the path was lost during the call
	}
	if !t.recordEnd(ctx, err) {
		return value, err, true
	}
	return value, err, !t.pool.hasPeers()
}

// observe makes a call over the direct path, and records whether the service was silent. isWatch means that the call waits for
// changes.
func observe[T any](t *Table, isWatch bool, call func() (T, error)) (T, error) {
	if isWatch {
		value, err := call()
		t.silence.endWatch(classify(err) == answered, time.Now())
		return value, err
	}
	t.silence.begin(time.Now())
	value, err := call()
	t.silence.end(classify(err) == answered, time.Now())
	return value, err
}

// directContext returns a context that ends when the direct path is lost, or nil if it is lost. A node
// that knows no peer always uses its direct path.
func (t *Table) directContext() context.Context {
	t.mutex.Lock()
	lost, path := t.path.lost, t.pathContext
	t.mutex.Unlock()
	if lost && t.pool.hasPeers() {
		return nil
	}
	return path
}

// DirectPathLost reports whether the direct path is lost.
func (t *Table) DirectPathLost() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.path.lost
}

// recentlyServed reports whether the service answers this node: it has answered, and no call since has waited for servedWindow.
func (t *Table) recentlyServed() bool { return !t.silence.lasts(servedWindow, time.Now()) }

// recordEnd records the end of a call over the direct path and starts a path check if one is
// due. It reports whether the path is lost; if a check is in progress, it waits for its result.
func (t *Table) recordEnd(ctx context.Context, err error) bool {
	t.mutex.Lock()
	lostNow := t.path.recordEnd(classify(err), time.Now())
	if lostNow {
		t.abandonPath()
	}
	if t.check == nil && t.path.startCheckAfter(classify(err), time.Now()) {
		t.startCheck(err)
	}
	lost, check := t.path.lost, t.check
	t.mutex.Unlock()
	if lostNow {
		t.observer.DirectPathLost(err)
	}
	if err == nil || classify(err) == answered {
		return false
	}
	return lost || check.wait(ctx)
}

// suspectUnanswered starts a path check for a call that has gone unanswered, if that call is
// still in flight and no part of its answer arrived recently.
func (t *Table) suspectUnanswered(ctx context.Context) {
	if ctx.Err() != nil || progress.Recent(ctx) {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.check == nil && t.path.startCheck(byUnansweredCall, time.Now()) {
		t.startCheck(errors.Newf("no answer within %s", unansweredLimit))
	}
}

// startCheck starts a check whether the direct path is lost. The check has a timeout of its own: the call that
// triggers it has mostly used up its time, in which no peer could answer any more. A node whose only calls wait for
// changes would then never learn that the service answers others. No check is in progress, and the mutex is held.
func (t *Table) startCheck(cause error) {
	check := &pathCheck{done: make(chan struct{})}
	t.check = check
	go func() {
		check.lost = t.evaluatePath(cause)
		t.mutex.Lock()
		t.check = nil
		t.mutex.Unlock()
		close(check.done)
	}()
}

// wait waits for the end of a check and reports whether the direct path is lost; false if the context ends
// first or there is no check. Calls that fail together wait for the same check: if some of them failed at once,
// their callers would take the table for down, although the service only rejects this node.
func (c *pathCheck) wait(ctx context.Context) bool {
	if c == nil {
		return false
	}
	select {
	case <-c.done:
		return c.lost
	case <-ctx.Done():
		return false
	}
}

// evaluatePath reports whether the direct path is lost: the service answers a peer and not this node, or this node cannot
// connect. A slow service answers a peer's read as late as this node's. So the own read
// continues during the peer's, and then for as long again as the peer's took: it was
// sent first, and an answer that is only late must not count as missing. An answer to another call that began since
// counts as well: the own read may need a new connection, which is later than an answer.
func (t *Table) evaluatePath(cause error) bool {
	ctx, cancel := context.WithCancel(t.closing)
	defer cancel()
	begun := time.Now()
	direct := make(chan callEnd, 1)
	go func() { direct <- t.readDirectly(ctx) }()
	end, ended := waitAtMost(direct, directReadHeadStart)
	if end == answered {
		return false
	}
	started := time.Now()
	peerServed := t.isPeerServed()
	switch {
	case ended:
	case peerServed:
		// The time of peers that were queried before and did not answer does not count.
		end, _ = waitAtMost(direct, min(time.Since(started), peerTimeout))
	default:
		end, _ = waitAtMost(direct, connectAttempts)
	}
	lost := peerServed || end == connectTimedOut // nothing goes over a path on which there is no connection
	return lost && end != answered && !t.answersCallsSince(begun) && t.markLost(cause)
}

// recordAnsweredCall records when a call over the direct path began if the service answered it.
func (t *Table) recordAnsweredCall(begun time.Time, err error) {
	if classify(err) != answered {
		return
	}
	if newest := t.answeredSent.Load(); newest == nil || newest.Before(begun) {
		t.answeredSent.Store(&begun)
	}
}

// answersCallsSince reports whether the service has answered a call over the direct path that began after a time. An answer
// to an earlier call, such as one that waits for changes, shows nothing of the present.
func (t *Table) answersCallsSince(since time.Time) bool {
	newest := t.answeredSent.Load()
	return newest != nil && newest.After(since)
}

// waitAtMost waits for a result until a timeout. It returns the result, and whether there was one.
func waitAtMost[T any](result <-chan T, timeout time.Duration) (value T, ended bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case value = <-result:
		return value, true
	case <-timer.C:
		return value, false
	}
}

// readDirectly returns how a small read over the direct path ends. The service throttles
// writes and reads separately, executes the writes of a part one after another, and
// a single part may be down. So a peer whose read is answered is no evidence about the writes that
// fail here. A service that rejects this node rejects its reads, too.
func (t *Table) readDirectly(ctx context.Context) callEnd {
	end := failed
	for attempt := range directReads {
		if attempt > 0 && !backoff.Wait(ctx, backoff.Jitter(directReadPause)) {
			return end
		}
		_, err := t.direct.Range(ctx, secretKey, secretKey+"\x00", 1)
		end = classify(err)
		if end == answered {
			t.mutex.Lock()
			t.path.recordEnd(answered, time.Now())
			t.mutex.Unlock()
			return answered
		}
	}
	return end
}

// isPeerServed reads one row through a peer and reports whether the service answers the peer.
func (t *Table) isPeerServed() bool {
	if !t.pool.hasPeers() {
		return false
	}
	t.mutex.Lock()
	t.peerChecks++
	t.mutex.Unlock()
	outcome, err := t.pool.call(t.closing, rangeRequest(secretKey, secretKey+"\x00", 1), 0, true)
	return err == nil && outcome.Failure == ""
}

// markLost marks the direct path as lost, since a peer is answered. It returns true.
func (t *Table) markLost(cause error) bool {
	t.mutex.Lock()
	lostNow := t.path.markLost()
	if lostNow {
		t.abandonPath()
	}
	t.mutex.Unlock()
	if lostNow {
		t.observer.DirectPathLost(errors.Wrap(cause, "the table service answers a peer"))
	}
	return true
}

// abandonPath cancels the calls in flight over the direct path and starts to probe it. The mutex is
// held.
func (t *Table) abandonPath() {
	t.cancelPath()
	t.pathContext, t.cancelPath = context.WithCancel(t.closing)
	go t.probe()
}

// probe reads one row over the direct path, repeatedly until the service answers.
func (t *Table) probe() {
	for backoff.Wait(t.closing, backoff.Jitter(probeInterval)) {
		ctx, cancel := context.WithTimeout(t.closing, probeTimeout)
		_, err := t.direct.Range(ctx, secretKey, secretKey+"\x00", 1)
		cancel()
		if classify(err) == answered {
			t.mutex.Lock()
			t.path.restore()
			t.mutex.Unlock()
			t.observer.DirectPathRestored(t.Relayed())
			return
		}
	}
}
