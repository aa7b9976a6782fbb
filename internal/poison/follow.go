package poison

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Times and limits of reading rows.
const (
	// followWait is how long one call waits for changes.
	followWait = 10 * time.Second
	// answerAllowance is how much later than that its answer may begin.
	answerAllowance = 400 * time.Millisecond
	// answerIdle and answerTimeout bound the answer itself.
	answerIdle    = 400 * time.Millisecond
	answerTimeout = 5 * time.Second
	// firstReadRetry and maxReadRetry are the pauses before a failed call is repeated.
	firstReadRetry = 100 * time.Millisecond
	maxReadRetry   = 2 * time.Second
	// maxReadWait is how long requests wait for the rows after the first attempt to read them has failed.
	maxReadWait = 600 * time.Millisecond
	// maxFleetReads is how many reading calls a second all nodes make at most while rows change.
	maxFleetReads = 600
	// maxRequestRows is the maximum number of rows of one request that are read.
	maxRequestRows = 100
	// rowRetention is how long a row is kept that does not change.
	rowRetention = retention + time.Minute
)

// AwaitRead returns once this node has read the rows, or has found for maxReadWait that it cannot, or ctx ends. It returns at once from
// then on.
func (k *Keeper) AwaitRead(ctx context.Context) {
	select {
	case <-k.read:
	case <-ctx.Done():
	}
}

func (k *Keeper) endWait() { k.setRead.Do(func() { close(k.read) }) }

// Follow reads all rows, and their changes, until ctx ends.
func (k *Keeper) Follow(ctx context.Context) {
	listed, failures, version := false, 0, uint64(0)
	for ctx.Err() == nil {
		var err error
		if !listed {
			version, err = k.readAll(ctx)
			listed = err == nil
		} else {
			version, err = k.readChanges(ctx, version)
			if errors.Is(err, tablestore.ErrHistoryTruncated) {
				listed, err = false, nil
			}
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			failures = 0
			backoff.Wait(ctx, time.Duration(k.options.Nodes())*time.Second/maxFleetReads)
		default:
			failures++
			if failures == 1 {
				time.AfterFunc(maxReadWait, k.endWait)
			}
			k.options.Observer.EndRowsFailed(err)
			backoff.Wait(ctx, backoff.FullJitter(firstReadRetry, maxReadRetry, failures))
		}
	}
}

// readAll reads all rows, and returns the version from which changes continue.
func (k *Keeper) readAll(ctx context.Context) (uint64, error) {
	ctx, cancel := progress.WithLimits(ctx, progress.Limits{First: callTimeout, Idle: answerIdle, Total: answerTimeout})
	defer cancel()
	rows, version, err := k.options.Feed.Snapshot(ctx, RowTable)
	if err != nil {
		return 0, errors.Wrap(err, "read the ends under requests")
	}
	k.mutex.Lock()
	listed := make(map[string]bool, len(rows))
	for _, stored := range rows {
		listed[stored.Key] = true
	}
	for name, followed := range k.rows {
		if !listed[name] && followed.revision <= version {
			delete(k.rows, name)
		}
	}
	k.mutex.Unlock()
	k.apply(rows)
	k.endWait()
	return version, nil
}

// readChanges waits for changes after a version, and returns the version from which the next ones continue.
func (k *Keeper) readChanges(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := progress.WithLimits(ctx, progress.Limits{First: followWait + answerAllowance, Idle: answerIdle, Total: followWait + answerTimeout})
	defer cancel()
	rows, version, err := k.options.Feed.Changes(ctx, RowTable, after, followWait)
	if err != nil {
		return after, errors.Wrap(err, "follow the ends under requests")
	}
	k.apply(rows)
	return max(after, version), nil
}

// ReadRequest reads the rows of one request.
func (k *Keeper) ReadRequest(ctx context.Context, key Key) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	prefix := requestPrefix(key)
	page, err := k.options.Table.Range(ctx, prefix, prefix+"\x7f", maxRequestRows)
	if err != nil {
		return errors.Wrap(err, "read the ends under a request")
	}
	for _, stored := range page.Rows {
		k.apply([]tablestore.Change{{Row: stored}})
	}
	return nil
}

// apply adds rows, of which those that this node already knows in a later revision are ignored. The rows of this run tell it nothing.
func (k *Keeper) apply(changes []tablestore.Change) {
	now := time.Now()
	for _, change := range changes {
		k.mutex.Lock()
		known, found := k.rows[change.Key]
		newer := !found || change.Revision > known.revision
		if change.Gone && newer {
			delete(k.rows, change.Key)
		}
		k.mutex.Unlock()
		if change.Gone || !newer {
			continue
		}
		if err := k.applyRow(change.Row, now); err != nil {
			k.options.Observer.EndRowsFailed(errors.Wrapf(err, "row %s", change.Key))
		}
	}
}

// applyRow adds a row. An invalid one is kept without content, so that it is removed once it has expired.
func (k *Keeper) applyRow(stored tablestore.Row, now time.Time) error {
	key, err := keyOfRow(stored.Key)
	var content row
	if err == nil {
		content, err = decodeRow(stored.Value)
	}
	counts := slices.ContainsFunc(content.Ends, func(end rowEnd) bool { return !end.Cleared })
	followed := newFollowedRow(key, content, now, counts || err != nil)
	followed.revision = stored.Revision
	k.mutex.Lock()
	if _, found := k.rows[stored.Key]; found || len(k.rows) < maxRequests {
		k.rows[stored.Key] = followed
	}
	k.mutex.Unlock()
	if err == nil && !strings.HasSuffix(stored.Key, "/"+k.options.RunID) {
		k.options.Memory.mergeRow(key, content, now)
	}
	return err
}

// removeRows removes rows that tell nothing any more: those of this run whose ends do not count, with the rows of other runs of which it
// knows that too, and expired ones of ended nodes if this node sweeps.
func (k *Keeper) removeRows(ctx context.Context, now time.Time) {
	transaction := tablestore.Transaction{WriteID: k.writeID(now)}
	for name, revision := range k.removable(now) {
		transaction.Conditions = append(transaction.Conditions, tablestore.Condition{Key: name, Revision: revision})
		transaction.Writes = append(transaction.Writes, tablestore.Write{Key: name, Delete: true})
		if len(transaction.Writes) == maxRowsWritten {
			break
		}
	}
	if len(transaction.Writes) == 0 {
		return
	}
	_, err := k.commit(ctx, transaction)
	var conflict *tablestore.ConflictError
	switch {
	case errors.As(err, &conflict): // another node removed or wrote one: the next check sees what is left
	case err != nil:
		k.options.Observer.EndRowsFailed(err)
	default:
		k.mutex.Lock()
		defer k.mutex.Unlock()
		for _, write := range transaction.Writes {
			delete(k.rows, write.Key)
		}
	}
}

// removable returns the rows to remove, with their revisions.
func (k *Keeper) removable(now time.Time) map[string]uint64 {
	sweeps := k.options.Sweeps()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	removable := make(map[string]uint64)
	cleared := make(map[Key]bool)
	for name, followed := range k.rows {
		own := strings.HasSuffix(name, "/"+k.options.RunID)
		if own && k.options.Memory.isCleared(followed.request, followed.content) {
			if followed.clearedSince.IsZero() {
				followed.clearedSince = now
				k.rows[name] = followed
			}
			cleared[followed.request] = now.Sub(followed.clearedSince) >= clearedRetention
		}
		if (own || sweeps) && now.Sub(followed.seenAt) > rowRetention {
			removable[name] = followed.revision
		}
	}
	for name, followed := range k.rows {
		if cleared[followed.request] && k.options.Memory.isCleared(followed.request, followed.content) {
			removable[name] = followed.revision
		}
	}
	return removable
}
