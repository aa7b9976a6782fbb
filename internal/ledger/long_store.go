package ledger

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Limits of storing long inputs.
const (
	// maxParallelPieceWrites is how many transactions of one input are in flight at once.
	maxParallelPieceWrites = 3
	// maxPieceWrites is how many transactions of all inputs are in flight at once: each takes some MB of memory while
	// it is encoded and sent.
	maxPieceWrites = 8
	// earlyLongTimeout limits the writes of a long input while its turn runs; its record continues them.
	earlyLongTimeout = 30 * time.Second
)

// storeInputEarly starts to store a long input while its turn runs. If the turn is not recorded in the end, the rows are
// removed with the program's, for which the program needs an account.
func (l *Ledger) storeInputEarly(ctx context.Context, e *entry, long *longInput, hasAccount bool) {
	if long == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), earlyLongTimeout)
	early := make(chan struct{})
	long.early, long.stopEarly = early, cancel
	go func() {
		defer cancel()
		defer close(early)
		if !hasAccount && l.retry(ctx, func() error { return l.writeAccount(ctx, e) }) != nil {
			return
		}
		// If it fails, the record of the turn continues.
		_ = l.retry(ctx, func() error { return l.storeInput(ctx, e, partOf(e.program), long) })
	}()
}

// writeAccount writes the account of a program, unless it is known to have one.
func (l *Ledger) writeAccount(ctx context.Context, e *entry) error {
	if err := e.lock(ctx); err != nil {
		return err
	}
	defer e.unlock()
	if e.hasAccount() {
		return nil
	}
	return l.write(ctx, e, TurnRequest{})
}

// hasAccount reports whether the program is known to have an account.
func (e *entry) hasAccount() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.loaded && e.revision != 0
}

// storeBefore stores what the record of a turn in a part needs to be stored before it.
func (l *Ledger) storeBefore(ctx context.Context, e *entry, part int, turn *Turn) error {
	if err := l.storeLarge(ctx, e, part, turn); err != nil {
		return err
	}
	long := turn.long
	if long == nil {
		return nil
	}
	if part == partOf(e.program) && long.early != nil {
		select {
		case <-long.early:
		case <-ctx.Done():
			return errors.Mark(ctx.Err(), tablestore.ErrUnavailable)
		}
	}
	return l.storeInput(ctx, e, part, long)
}

// storeInput stores a long input in a part, as far as it is not stored yet.
func (l *Ledger) storeInput(ctx context.Context, e *entry, part int, long *longInput) error {
	if long.storedIn(part) != nil {
		return nil
	}
	attempt := long.attemptIn(part, func() string { return l.newInputName(long.turn) })
	if err := l.storeHead(ctx, e, part, long, attempt); err != nil {
		return err
	}
	var group errgroup.Group
	group.SetLimit(maxParallelPieceWrites)
	for number := range long.transactions() {
		group.Go(func() error { return l.storePieces(ctx, e, part, long, attempt, number) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	long.mutex.Lock()
	defer long.mutex.Unlock()
	attempt.complete = true
	return nil
}

// storeHead stores the head of an input. It is written alone, so that a repeated write of it brings back no piece that a
// removal has taken.
func (l *Ledger) storeHead(ctx context.Context, e *entry, part int, long *longInput, attempt *storedInput) error {
	long.mutex.Lock()
	isStored := attempt.head != 0
	long.mutex.Unlock()
	if isStored {
		return nil
	}
	key := longKey(part, e.program, long.turn, attempt.name, 0)
	value := binary.AppendUvarint(nil, uint64(len(long.input)))
	revision, err := l.putPieces(ctx, part, long, attempt, 0, []tablestore.Write{{Key: key, Value: value}})
	if err != nil {
		return err
	}
	long.mutex.Lock()
	defer long.mutex.Unlock()
	attempt.head = revision
	return nil
}

// storePieces stores the pieces of one transaction, unless they are stored.
func (l *Ledger) storePieces(ctx context.Context, e *entry, part int, long *longInput, attempt *storedInput, number int) error {
	long.mutex.Lock()
	isStored := attempt.stored[number]
	long.mutex.Unlock()
	if isStored {
		return nil
	}
	if _, err := l.putPieces(ctx, part, long, attempt, number+1, long.writes(part, e.program, attempt.name, number)); err != nil {
		return err
	}
	long.mutex.Lock()
	defer long.mutex.Unlock()
	attempt.stored[number] = true
	return nil
}

// putPieces sends one transaction of an input, and returns the revision of its first row.
func (l *Ledger) putPieces(ctx context.Context, part int, long *longInput, attempt *storedInput, number int, writes []tablestore.Write) (uint64, error) {
	select {
	case l.pieceWrites <- struct{}{}:
		defer func() { <-l.pieceWrites }()
	case <-ctx.Done():
		return 0, errors.Mark(ctx.Err(), tablestore.ErrUnavailable)
	}
	if err := l.health.admit(writing, part, l.options.Now()); err != nil {
		return 0, err
	}
	began := l.options.Now()
	revision, err := l.putRows(ctx, tablestore.Transaction{
		WriteID:    fmt.Sprintf("%s/input/%s/%d", l.options.RunID, attempt.name, number),
		Conditions: []tablestore.Condition{{Key: writes[0].Key}},
		Writes:     writes,
	}, nil)
	l.callEnded(ctx, writing, part, err, began)
	return revision, errors.Wrapf(err, "store the input of turn %s", long.turn)
}

// rowsOf returns the rows that record a turn in a part, and the conditions that hold if its input is stored. ok is false if a
// long input is not.
func rowsOf(part int, program string, turn *Turn) (writes []tablestore.Write, conditions []tablestore.Condition, ok bool) {
	if turn.long == nil {
		return turnWrites(part, program, turn.ID, turn.encode()), nil, true
	}
	attempt := turn.long.storedIn(part)
	if attempt == nil {
		return nil, nil, false
	}
	head := longKey(part, program, turn.ID, attempt.name, 0)
	return turnWrites(part, program, turn.ID, splitContent(turn.encodeReference(attempt.name))), []tablestore.Condition{{Key: head, Revision: attempt.head}}, true
}

// forgetInput is forgetInput for the turns that wait to be recorded.
func (e *entry) forgetInput(part int, row tablestore.Row) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var turns []*Turn
	for _, rec := range e.pendingRecords() {
		turns = append(turns, rec.turn)
	}
	return forgetInput(part, row, turns...)
}

// forgetInput drops the attempt whose head is no longer stored, and reports whether the row is such a head.
func forgetInput(part int, row tablestore.Row, turns ...*Turn) bool {
	turn, name, _, ok := longRowOf(row.Key)
	for _, recorded := range turns {
		if ok && recorded.long != nil && recorded.ID == turn {
			recorded.long.forget(part, name)
		}
	}
	return ok
}
