package ledger

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Limits of removing rows.
const (
	removalPause = 100 * time.Millisecond // between programs
	maxRemovals  = 90                     // rows of one transaction
)

// Sweep drops the programs from memory that were not used for their retention time, and removes
// their rows, unless another node has written them since: then
// that node removes them. Rows that a node would have removed but died first stay in the table.
func (l *Ledger) Sweep(ctx context.Context) {
	now := l.options.Now()
	for _, e := range l.entriesWhere(func(e *entry) bool { return e.isExpired(now) && e.needsFinalWrite(l.options.RunID) }) {
		l.lockAndReturn(ctx, e) // tokens that could not be charged stay uncharged, and the next sweep tries again
	}
	for _, e := range l.removeIdle() {
		if l.health.admit(writing, partOf(e.program), l.options.Now()) == nil {
			_ = l.removeRows(ctx, e) // rows that could not be removed stay in the table
		}
		if !backoff.Wait(ctx, removalPause) {
			return
		}
	}
}

// ExtendRetention keeps the turns that are kept for one time for a longer one, since their route now keeps turns for that
// long. It extends the retention of all programs between the two times, which may have used that route.
func (l *Ledger) ExtendRetention(from, to time.Duration) {
	for _, e := range l.entriesWhere(func(e *entry) bool { return e.retention >= from && e.retention < to }) {
		e.mutex.Lock()
		e.retention = max(e.retention, to)
		e.mutex.Unlock()
	}
}

// removeIdle removes the idle programs from memory and returns them.
func (l *Ledger) removeIdle() []*entry {
	now := l.options.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var idle []*entry
	for program, e := range l.entries {
		if e.isIdle(now) {
			l.droppedWrite = max(l.droppedWrite, e.highestWrite())
			delete(l.entries, program)
			idle = append(idle, e)
		}
	}
	return idle
}

// isIdle reports whether the program is expired and has nothing left to write: if uncharged tokens were dropped, the
// tokens that this run holds in the row for them would be handed out again.
func (e *entry) isIdle(now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.isExpired(now) && !e.hasUncharged() && len(e.pendingRecords()) == 0
}

// highestWrite returns the number of the latest write attempted.
func (e *entry) highestWrite() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastWrite
}

// isExpired reports whether the program has no turn in flight, and had none for its retention time. The mutex is held.
func (e *entry) isExpired(now time.Time) bool {
	return now.Sub(e.usedAt) > e.retention+retentionMargin && e.inFlight == 0
}

// hasUncharged reports whether turns have used tokens that are not charged yet. The mutex is held.
func (e *entry) hasUncharged() bool { return e.uncharged > 0 && e.account.Budget > 0 }

// needsFinalWrite reports whether the account has to be written before the program is dropped: tokens are uncharged,
// or this run holds tokens while other runs do too, one of which will remove the rows. The mutex is held.
func (e *entry) needsFinalWrite(runID string) bool {
	return e.hasUncharged() || (e.held > 0 && e.othersHoldTokens(runID))
}

// othersHoldTokens reports whether other runs hold tokens of the program. They may use them without a write.
func (e *entry) othersHoldTokens(runID string) bool {
	for other, allowance := range e.account.Allowances {
		if other != runID && allowance.Tokens > 0 {
			return true
		}
	}
	return false
}

// removeRows removes a program's rows if this run was the last to write its account, and no other run holds tokens.
func (l *Ledger) removeRows(ctx context.Context, e *entry) error {
	part := partOf(e.program)
	account := accountKey(part, e.program)
	if _, wrote := e.account.Allowances[l.options.RunID]; !wrote || e.revision == 0 || e.othersHoldTokens(l.options.RunID) {
		return nil
	}
	rows, _, err := l.readProgram(ctx, part, e.program)
	if err != nil {
		return err
	}
	if len(rows) == 0 || rows[0].Key != account || rows[0].Revision != e.revision {
		return nil
	}
	removals := removalsOf(part, e.program, rows)
	condition := []tablestore.Condition{{Key: account, Revision: e.revision}}
	for chunk := range slices.Chunk(removals, maxRemovals) {
		if err := l.removeChunk(ctx, condition, chunk); err != nil {
			return errors.Wrapf(err, "remove program %s", e.program)
		}
	}
	return nil
}

// removalsOf returns the deletions of a program's rows and of the index rows of its turns.
// The account comes last, since every transaction is conditional on it.
func removalsOf(part int, program string, rows []tablestore.Row) []tablestore.Write {
	var removals []tablestore.Write
	for _, row := range rows[1:] {
		removals = append(removals, tablestore.Write{Key: row.Key, Delete: true})
		if turn, piece, ok := turnOfPiece(row.Key); ok && piece == 0 {
			removals = append(removals, tablestore.Write{Key: indexKey(part, program, turn), Delete: true})
		}
	}
	return append(removals, tablestore.Write{Key: rows[0].Key, Delete: true})
}

func (l *Ledger) removeChunk(ctx context.Context, condition []tablestore.Condition, chunk []tablestore.Write) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := l.options.Table.Commit(ctx, tablestore.Transaction{
		WriteID:    l.options.RunID + "/remove",
		Conditions: condition,
		Writes:     chunk,
	})
	return err
}
