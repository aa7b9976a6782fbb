package poison

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Times and limits of writing rows.
const (
	// callTimeout bounds one call to the store.
	callTimeout = 500 * time.Millisecond
	// maxRowsWritten is the maximum number of rows of one transaction, whose rows and conditions together are at most 100.
	maxRowsWritten = 40
	// minWritePeriod is the minimum time between two writes of a node.
	minWritePeriod = 20 * time.Millisecond
	// maxFleetWrites is how many writes a second all nodes make at most: less than half of what the store accepts in one part.
	maxFleetWrites = 120
	// firstWriteRetry and maxWriteRetry are the pauses before a failed write is repeated.
	firstWriteRetry = 100 * time.Millisecond
	maxWriteRetry   = 4 * time.Second
	// clearedRetention is how long rows of which no end counts any more are kept, so that nodes that follow them learn that.
	clearedRetention = 10 * time.Second
	// removalPeriod is the time between two checks whether rows are to be removed.
	removalPeriod = 5 * time.Second
)

// errWriteFailed reports that the store did not confirm the last write, which is being repeated.
var errWriteFailed = errors.New("the store has not confirmed the last write of ends under requests")

// KeeperOptions configure a Keeper.
type KeeperOptions struct {
	Table  tablestore.Table
	Feed   tablestore.Feed
	RunID  string // of this process; unique among all runs
	Memory *Memory
	// Nodes returns how many nodes there are, including this one.
	Nodes func() int
	// Sweeps reports whether this node is one of the few that remove expired rows of others.
	Sweeps   func() bool
	Observer KeeperObserver
}

// KeeperObserver is notified of calls that failed. It must not block.
type KeeperObserver interface {
	// EndRowsFailed is called when rows could not be read or written, or when one is invalid.
	EndRowsFailed(cause error)
}

// Keeper keeps in the store which engines ended under which requests, for nodes that no peer can tell: those that start after all others
// have ended, and those that reach no peer. A node writes a row for each request that it reports to its peers, and follows the
// rows of all. Nothing is written while no engine has ended. Safe for concurrent use.
type Keeper struct {
	options KeeperOptions
	wake    chan struct{}
	read    chan struct{} // closed once the rows have been read, or were not for maxReadWait
	setRead sync.Once
	written atomic.Uint64 // transactions
	failing atomic.Bool   // the last write failed

	mutex   sync.Mutex
	waiters []chan error           // closed by the next write that leaves nothing to be written
	rows    map[string]followedRow // by key

	// Of the goroutine of Run.
	failures    int // in a row
	nextRemoval time.Time
}

// followedRow is a row as this node last read or wrote it.
type followedRow struct {
	request      Key
	content      row
	revision     uint64
	seenAt       time.Time // of this revision
	clearedSince time.Time // since when none of its ends counts; zero if one does
}

// NewKeeper returns a keeper that has read no rows.
func NewKeeper(options KeeperOptions) *Keeper {
	return &Keeper{options: options, wake: make(chan struct{}, 1), read: make(chan struct{}), rows: make(map[string]followedRow)}
}

// Transactions returns how many transactions were made.
func (k *Keeper) Transactions() uint64 { return k.written.Load() }

// Write returns once the store has confirmed what is recorded now and others are to know, or with an error once a write has failed or
// ctx has ended. The write is repeated then, and further calls return at once until it succeeds.
func (k *Keeper) Write(ctx context.Context) error {
	done := make(chan error, 1)
	k.mutex.Lock()
	k.waiters = append(k.waiters, done)
	k.mutex.Unlock()
	select {
	case k.wake <- struct{}{}:
	default: // it is awake
	}
	if k.failing.Load() {
		return errWriteFailed
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "write the ends under a request")
	}
}

// Run writes and removes rows until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(removalPeriod)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.wake:
			k.writeAll(ctx)
		}
		timer.Stop()
		if now := time.Now(); now.After(k.nextRemoval) {
			k.nextRemoval = now.Add(backoff.Jitter(removalPeriod))
			k.removeRows(ctx, now)
		}
	}
}

// writeAll writes all rows that are to be written. It repeats a write that fails.
func (k *Keeper) writeAll(ctx context.Context) {
	for ctx.Err() == nil {
		waiters := k.takeWaiters()
		more, err := k.writeSome(ctx)
		if err == nil && more {
			k.returnWaiters(waiters)
			backoff.Wait(ctx, k.writePeriod())
			continue
		}
		for _, waiter := range waiters {
			waiter <- err
		}
		if err == nil {
			k.failures = 0
			k.failing.Store(false)
			backoff.Wait(ctx, k.writePeriod())
			return
		}
		k.failures++
		k.failing.Store(true)
		k.options.Observer.EndRowsFailed(err)
		backoff.Wait(ctx, backoff.FullJitter(firstWriteRetry, maxWriteRetry, k.failures))
	}
}

// writePeriod returns the time between two writes, by which all nodes together stay below maxFleetWrites.
func (k *Keeper) writePeriod() time.Duration {
	return max(minWritePeriod, time.Duration(k.options.Nodes())*time.Second/maxFleetWrites)
}

func (k *Keeper) takeWaiters() []chan error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	waiters := k.waiters
	k.waiters = nil
	return waiters
}

func (k *Keeper) returnWaiters(waiters []chan error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.waiters = append(waiters, k.waiters...)
}

// writeSome writes rows in one transaction. It reports whether there are more to write.
func (k *Keeper) writeSome(ctx context.Context) (more bool, err error) {
	now := time.Now()
	keys, left := k.options.Memory.takeUnwritten(maxRowsWritten)
	next := make(map[string]followedRow)
	transaction := tablestore.Transaction{WriteID: k.writeID(now)}
	for _, key := range keys {
		content, counts := k.options.Memory.rowOf(key, now)
		name, revision := rowName(key, k.options.RunID), k.revisionOf(key)
		if len(content.Ends) == 0 || !counts && revision == 0 && !k.anyRow(key) {
			continue // no node can have read of these ends
		}
		value, err := content.encode()
		if err != nil {
			return false, err
		}
		transaction.Conditions = append(transaction.Conditions, tablestore.Condition{Key: name, Revision: revision})
		transaction.Writes = append(transaction.Writes, tablestore.Write{Key: name, Value: value})
		next[name] = newFollowedRow(key, content, now, counts)
	}
	if len(transaction.Writes) == 0 {
		return left > 0, nil
	}
	receipt, err := k.commit(ctx, transaction)
	if err != nil {
		k.options.Memory.markUnwritten(keys)
		return true, err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for name, written := range next {
		written.revision = receipt.Revisions[name]
		k.rows[name] = written
	}
	return left > 0, nil
}

// newFollowedRow returns a row whose revision is not known yet.
func newFollowedRow(key Key, content row, now time.Time, counts bool) followedRow {
	followed := followedRow{request: key, content: content, seenAt: now}
	if !counts {
		followed.clearedSince = now
	}
	return followed
}

func (k *Keeper) writeID(now time.Time) string {
	return fmt.Sprintf("%s/request-ends/%d", k.options.RunID, now.UnixNano())
}

// revisionOf returns the revision of this run's row of a request; 0 if there is none.
func (k *Keeper) revisionOf(key Key) uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.rows[rowName(key, k.options.RunID)].revision
}

// anyRow reports whether any node has a row of a request.
func (k *Keeper) anyRow(key Key) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, followed := range k.rows {
		if followed.request == key {
			return true
		}
	}
	return false
}

// commit makes a transaction. If rows are of other revisions than it states, as after one whose outcome is unknown or a removal by
// another node, it adopts these and returns an error.
func (k *Keeper) commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	receipt, err := k.options.Table.Commit(ctx, transaction)
	k.written.Add(1)
	var conflict *tablestore.ConflictError
	if errors.As(err, &conflict) {
		k.adoptRevisions(transaction, conflict)
	}
	return receipt, errors.Wrap(err, "write the ends under requests")
}

// adoptRevisions records the revisions that rows had instead of those that a transaction states.
func (k *Keeper) adoptRevisions(transaction tablestore.Transaction, conflict *tablestore.ConflictError) {
	current := map[string]uint64{conflict.Current.Key: conflict.Current.Revision}
	for _, stored := range conflict.Rows {
		current[stored.Key] = stored.Revision
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, condition := range transaction.Conditions {
		revision, found := current[condition.Key]
		if !found && conflict.Rows == nil {
			continue // not told
		}
		followed := k.rows[condition.Key]
		if revision == 0 {
			delete(k.rows, condition.Key)
			continue
		}
		if key, err := keyOfRow(condition.Key); err == nil {
			followed.request = key
		}
		followed.revision, followed.seenAt = revision, time.Now()
		k.rows[condition.Key] = followed
	}
}
