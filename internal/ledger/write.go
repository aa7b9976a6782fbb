package ledger

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Times of calls to the table.
const (
	callTimeout = 800 * time.Millisecond // of one call
	retryPause  = 40 * time.Millisecond  // before a refused or lost call is sent again
)

// write changes the account until the change has taken effect: it charges
// what is unsettled, records the turns that wait, and covers the asking turn,
// if any. The right to write must be held. With an error the asking turn is
// not covered.
func (l *Ledger) write(ctx context.Context, e *entry, ask Ask) error {
	part := partOf(e.program)
	for {
		transaction, write, err := e.prepare(l.options.Run, part, ask)
		if err != nil {
			return err
		}
		if !l.health.allow(part, l.options.Now()) {
			return l.health.closed(l.options.Now())
		}
		done, err := l.commit(ctx, e, part, transaction, write, ask)
		if done || err != nil {
			return err
		}
	}
}

// prepare builds the next write. Its number and content are kept until its
// outcome is known.
func (e *entry) prepare(run string, part int, ask Ask) (tablestore.Transaction, uint64, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	account := e.account
	if account.Budget == 0 {
		account.Budget = ask.Budget
	}
	e.write++
	next, err := account.Apply(Change{
		Node:     run,
		Write:    e.write,
		Settled:  e.unsettled,
		UnderWay: e.underWay,
		Most:     ask.Most,
		Ahead:    !ask.KeepNothing,
	})
	if err != nil {
		return tablestore.Transaction{}, 0, errors.Wrapf(err, "row version %d", e.revision)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return tablestore.Transaction{}, 0, errors.Wrap(err, "encode account")
	}
	key := accountKey(part, e.program)
	transaction := tablestore.Transaction{
		WriteID:    run + "/" + strconv.FormatUint(e.write, 10),
		Conditions: []tablestore.Condition{{Key: key, Revision: e.revision}},
		Writes:     []tablestore.Write{{Key: key, Value: value}},
	}
	records := e.waiting()
	for _, waiting := range records {
		transaction.Writes = append(transaction.Writes, turnWrites(part, e.program, waiting.turn)...)
	}
	e.attempts[e.write] = attempt{settled: e.unsettled, records: records}
	return transaction, e.write, nil
}

// waiting returns the turns that are not durable yet. The mutex is held.
func (e *entry) waiting() []*record {
	kept := e.pending[:0]
	for _, waiting := range e.pending {
		if !waiting.durable {
			kept = append(kept, waiting)
		}
	}
	e.pending = kept
	return append([]*record(nil), kept...)
}

// turnWrites returns the rows of a turn.
func turnWrites(part int, program string, turn *Turn) []tablestore.Write {
	pieces := turn.encode()
	writes := make([]tablestore.Write, 0, len(pieces)+1)
	for i, piece := range pieces {
		writes = append(writes, tablestore.Write{Key: pieceKey(part, program, turn.ID, i), Value: piece})
	}
	return append(writes, tablestore.Write{Key: indexKey(part, turn.ID), Value: []byte(program)})
}

// commit sends one write. It reports whether the change took effect; with
// neither that nor an error the caller prepares it anew.
func (l *Ledger) commit(ctx context.Context, e *entry, part int, transaction tablestore.Transaction, write uint64, ask Ask) (bool, error) {
	callContext, cancel := context.WithTimeout(ctx, callTimeout)
	receipt, err := l.options.Table.Commit(callContext, transaction)
	cancel()
	var conflict *tablestore.ConflictError
	switch {
	case err == nil:
		l.health.report(part, nil, l.options.Now())
		return true, e.applied(l.options.Run, write, receipt, transaction, ask)
	case errors.As(err, &conflict):
		l.health.report(part, nil, l.options.Now())
		return e.overtaken(l.options.Run, write, conflict.Current, ask)
	}
	l.health.report(part, err, l.options.Now())
	if errors.Is(err, tablestore.ErrUnknownOutcome) {
		e.doubt()
	}
	if !errors.Is(err, tablestore.ErrUnreachable) && sleep(ctx, retryPause) {
		return false, nil
	}
	return false, err
}

// applied takes over a write that took effect.
func (e *entry) applied(run string, write uint64, receipt tablestore.Receipt, transaction tablestore.Transaction, ask Ask) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	first := transaction.Writes[0]
	row := tablestore.Row{Key: first.Key, Value: first.Value, Revision: receipt.Revisions[first.Key]}
	if err := e.observe(run, row); err != nil {
		return err
	}
	e.underWay += ask.Most
	return nil
}

// overtaken takes over the row that made a write's condition fail. It reports
// whether that row shows that the write had taken effect all the same, its
// answer having been lost.
func (e *entry) overtaken(run string, write uint64, current tablestore.Row, ask Ask) (bool, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err := e.observe(run, current); err != nil {
		return false, err
	}
	if e.account.Allowances[run].Write != write {
		return false, nil
	}
	e.underWay += ask.Most
	return true, nil
}

// doubt notes that a write may or may not have taken effect, or may yet.
func (e *entry) doubt() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.uncertain = true
}

// sleep waits, and reports whether ctx still lasts.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
