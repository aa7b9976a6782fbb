package originrecord

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Times and limits of removing rows.
const (
	// sweepPeriod is the time between two reads of the rows of all processes for removal.
	sweepPeriod = 30 * time.Second
	// removalMargin is how much longer than its streams may be resumed a row must have been unchanged.
	removalMargin = 10 * time.Second
	// maxKeep is the maximum time for which a row is kept that is not written any more, whatever it states.
	maxKeep = 10 * time.Minute
	// maxRemovals is the maximum number of rows that are removed in one transaction.
	maxRemovals = 50
)

// seenRow is a row of another process.
type seenRow struct {
	revision uint64
	since    time.Time     // when this process first saw this revision
	keep     time.Duration // how long after that a client may resume one of its streams at most
}

// sweeper remembers the rows of other processes and when it first saw them. Those of ended processes do not change. No clock but that of
// this process is used.
type sweeper struct {
	rows     map[string]seenRow // by key
	nextRun  time.Time          // zero while there is nothing to remove
	firstRun time.Time          // of a process that learns of no row otherwise; zero before the first call of due
	ran      bool
}

func newSweeper() sweeper { return sweeper{rows: make(map[string]seenRow)} }

// due reports whether the rows are to be read now. active reports that processes may be writing rows, sawRows that there were some.
// Without either, they are read once: a process that starts behind a release does not know of rows that are left of it.
func (s *sweeper) due(now time.Time, active, sawRows bool) bool {
	if s.firstRun.IsZero() {
		s.firstRun = now.Add(backoff.Jitter(maxKeep))
	}
	if !active && !sawRows && len(s.rows) == 0 && s.nextRun.IsZero() {
		return !s.ran && !now.Before(s.firstRun)
	}
	if s.nextRun.IsZero() {
		s.nextRun = now.Add(backoff.Jitter(sweepPeriod))
	}
	return !now.Before(s.nextRun)
}

// update remembers the rows of other processes as they are now, and returns the ones to remove: those that have not changed for so
// long that no client resumes their streams any more.
func (s *sweeper) update(rows []tablestore.Row, now time.Time) []tablestore.Row {
	next := make(map[string]seenRow, len(rows))
	var expired []tablestore.Row
	for _, stored := range rows {
		known, found := s.rows[stored.Key]
		if !found || known.revision != stored.Revision {
			known = seenRow{revision: stored.Revision, since: now, keep: maxKeep}
			if content, err := decodeRow(stored.Value); err == nil {
				known.keep = content.keep()
			}
		}
		next[stored.Key] = known
		if now.Sub(known.since) >= known.keep+removalMargin && len(expired) < maxRemovals {
			expired = append(expired, stored)
		}
	}
	s.rows, s.nextRun = next, time.Time{}
	if len(next) > 0 {
		s.nextRun = now.Add(backoff.Jitter(sweepPeriod))
	}
	return expired
}

// sweep reads the rows of all processes and removes those of ended ones.
func (k *Keeper) sweep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.sweeper.nextRun, k.sweeper.ran = time.Now().Add(backoff.Jitter(sweepPeriod)), true
	rows, err := tablestore.ReadAll(ctx, k.options.Table, rowPrefix, rowEnd, pageRows)
	if err != nil {
		return errors.Wrap(err, "read the origins of streams")
	}
	var others []tablestore.Row
	for _, stored := range rows {
		if stored.Key != k.rowKey {
			others = append(others, stored)
		}
	}
	expired := k.sweeper.update(others, time.Now())
	if len(expired) == 0 {
		return nil
	}
	removal := tablestore.Transaction{WriteID: fmt.Sprintf("%s/stream-origins/%d", k.options.RunID, time.Now().UnixNano())}
	for _, stored := range expired {
		removal.Conditions = append(removal.Conditions, tablestore.Condition{Key: stored.Key, Revision: stored.Revision})
		removal.Writes = append(removal.Writes, tablestore.Write{Key: stored.Key, Delete: true})
	}
	_, err = k.options.Table.Commit(ctx, removal)
	var conflict *tablestore.ConflictError
	if errors.As(err, &conflict) {
		return nil // another process removed one, or its own process wrote it again: the next read tells
	}
	return errors.Wrap(err, "remove the origins of ended processes")
}
