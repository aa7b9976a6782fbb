package ledger

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Times of calls to the table.
const (
	retryPause = 40 * time.Millisecond // before a refused or lost call is sent again
	// overtakenAtOnce is how many writes that met another are made again at once: the conflict tells the row as
	// it is. Whoever goes on meeting others makes room for them.
	overtakenAtOnce = 3
	// throttlePause is the first one before a call that was refused for its rate is sent
	// again: the rate is that of all nodes, or of a queue as long as a second. It doubles
	// with each refusal in a row, up to maxThrottlePause.
	throttlePause    = 200 * time.Millisecond
	maxThrottlePause = 800 * time.Millisecond
	// queuedTimeout is how long a write is waited for that is known to wait its turn at a slow
	// table. Its caller leaves before.
	queuedTimeout = 4 * time.Second
	// throttleDoublings bounds the doubling, so that no pause overflows.
	throttleDoublings = 8
)

// tries count the calls that one change of an account took, for the error that ends it.
type tries struct {
	writes    int // begun
	overtaken int // that met another write of the account, of another node or of an earlier try
	givenUp   int // that got no answer, while the row beside them was read
}

// note counts one write by how it ended.
func (t *tries) note(seen *tablestore.Row, err error) {
	t.writes++
	var conflict *tablestore.ConflictError
	switch {
	case errors.As(err, &conflict):
		t.overtaken++
	case seen != nil:
		t.givenUp++
	}
}

// explain adds the tries to an error that ends them. One try explains itself.
func (t *tries) explain(err error) error {
	if err == nil || t.writes < 2 {
		return err
	}
	return errors.Wrapf(err, "after %d writes, of which %d met another and %d were given up", t.writes, t.overtaken, t.givenUp)
}

// write changes the account until the change has taken effect: it charges
// what is unsettled, records the turns that wait, and covers the asking turn,
// if any. The right to write must be held. With an error the asking turn is
// not covered.
func (l *Ledger) write(ctx context.Context, e *entry, ask Ask) error {
	var made tries
	return made.explain(l.writeBy(ctx, e, ask, &made))
}

func (l *Ledger) writeBy(ctx context.Context, e *entry, ask Ask, made *tries) error {
	for {
		if done, err := l.writeOnce(ctx, e, ask, made); done || err != nil {
			return err
		}
		if made.overtaken > overtakenAtOnce && !backoff.Wait(ctx, backoff.Spread(retryPause)) {
			return errors.Mark(ctx.Err(), tablestore.ErrUnavailable)
		}
	}
}

// writeOnce makes one try to change the account. With neither done nor an error the change is to be prepared anew.
// The right to write must be held.
func (l *Ledger) writeOnce(ctx context.Context, e *entry, ask Ask, made *tries) (done bool, err error) {
	part := partOf(e.program)
	if e.satisfied(ask) {
		return true, nil
	}
	if e.contended && l.health.slow() && !e.isFresh(l.options.Now()) {
		// A write that fails its condition would take a place in the part's
		// queue for nothing; a read takes none. Where no other run writes the account,
		// conditions hold, and a read would only double what the turn waits.
		if err := l.readAccount(ctx, e, part); err != nil {
			return false, err
		}
	}
	transaction, write, err := e.prepare(l.options, part, ask, l.ahead(ask))
	if errors.Is(err, ErrBudgetSpent) && !e.isFresh(l.options.Now()) && !e.isExhausted(l.options.Run, ask) {
		// Other nodes may have given back what this one does not know of.
		return false, l.load(ctx, e, part, e.program)
	}
	if err != nil {
		return false, err
	}
	if err := l.health.admit(writing, part, l.options.Now()); err != nil {
		return false, err
	}
	return l.commit(ctx, e, part, transaction, write, ask, made)
}

// readAccount reads the program's account.
func (l *Ledger) readAccount(ctx context.Context, e *entry, part int) error {
	key := accountKey(part, e.program)
	rows, err := l.readRange(ctx, part, key, key+"\x00")
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		rows = []tablestore.Row{{Key: key}}
	}
	e.seen(l.options.Now())
	return e.take(l.options.Run, key, rows)
}

// prepare builds the next write. Its number and content are kept until its
// outcome is known.
func (e *entry) prepare(options Options, part int, ask Ask, held holding) (tablestore.Transaction, uint64, error) {
	run := options.Run
	e.mutex.Lock()
	defer e.mutex.Unlock()
	account := e.account
	if e.revision == 0 && e.precedent.revision != 0 {
		account = e.precedent.account
	}
	if account.Budget == 0 {
		account.Budget = ask.Budget
	}
	e.resolved = false
	e.write++
	next, err := account.Apply(Change{
		Node:     run,
		Address:  options.address(),
		Write:    e.write,
		Settled:  e.unsettled,
		UnderWay: e.underWay,
		Most:     ask.Most,
		Ahead:    held.ahead,
		Share:    held.share,
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
	// What frees a budget or records a turn that has run comes before what lets one run.
	transaction.Deferrable = (ask.Most > 0 || ask.defers) && len(records) == 0
	for _, waiting := range records {
		transaction.Writes = append(transaction.Writes, turnWrites(part, e.program, waiting.turn)...)
	}
	e.takeOver(part, &transaction)
	tokens := next.Allowances[run].Tokens
	e.attempts[e.write] = attempt{held: tokens, generous: held.ahead && held.share == slowShare, settled: e.unsettled, records: records}
	e.flight = &flight{write: e.write, held: tokens, asked: ask.Most, settled: e.unsettled}
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
	return append(writes, tablestore.Write{Key: indexKey(part, program, turn.ID), Value: []byte(program)})
}

// commit sends one write. It reports whether the change took effect; with
// neither that nor an error the caller prepares it anew.
func (l *Ledger) commit(ctx context.Context, e *entry, part int, transaction tablestore.Transaction, write uint64, ask Ask, made *tries) (bool, error) {
	began := l.options.Now()
	receipt, seen, err := l.commitOrRead(ctx, transaction)
	made.note(seen, err)
	defer e.land()
	refusals := e.countRefusal(err)
	var conflict *tablestore.ConflictError
	e.contended = errors.As(err, &conflict)
	switch {
	case err == nil && seen == nil:
		l.health.note(writing, part, nil, l.options.Now())
		e.seen(l.options.Now())
		return true, e.applied(l.options.Run, write, receipt, transaction, ask)
	case errors.As(err, &conflict):
		preceded, err := e.observePrecedent(part, conflict.Current)
		if preceded || err != nil {
			l.health.note(writing, part, nil, l.options.Now())
			return false, err
		}
		seen = &conflict.Current
	}
	if seen != nil {
		l.health.note(writing, part, nil, l.options.Now())
		e.doubt()
		e.seen(l.options.Now())
		return e.overtaken(l.options.Run, write, *seen, ask)
	}
	l.ended(ctx, writing, part, err, began)
	if errors.Is(err, tablestore.ErrUnknownOutcome) {
		e.doubt()
	}
	if mayRetry(ctx, err, refusals) {
		return false, nil
	}
	return false, err
}

// commitOrRead sends a write. If no answer has come in the usual time, the
// account's row is read beside it, and again after a while. Where the answer was lost, the row
// is changed, is returned, and the write is given up. An unchanged row says that the write still waits its turn, and
// it is waited for: sent again it would only lengthen the queue that it waits in. It is waited for longer where the
// read takes long as well, since the table is slow then. Where the read gets no
// answer either, while other parts give quick ones, the part is silent, and the write is given up.
func (l *Ledger) commitOrRead(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, *tablestore.Row, error) {
	most := l.health.callTimeout()
	ctx, cancel := context.WithTimeout(ctx, max(most, queuedTimeout))
	defer cancel()
	condition := transaction.Conditions[0]
	began := l.options.Now()
	start := time.Now()
	read := make(chan *tablestore.Row, 1)
	var silent, queued, late atomic.Bool
	unanswered := time.AfterFunc(most, func() {
		if !queued.Load() {
			late.Store(true)
			cancel()
		}
	})
	defer unanswered.Stop()
	timer := time.AfterFunc(l.health.patience(), func() {
		found := l.lookUntilChanged(ctx, condition, l.health.patience())
		switch {
		case found.row != nil:
			if found.long {
				l.health.answered(writing, time.Since(start), l.options.Now()) // a lost answer of a quick table says nothing
			}
			cancel()
		case found.long:
			queued.Store(true)
		case errors.Is(found.err, context.DeadlineExceeded) && ctx.Err() == nil && !found.heard && l.health.heardQuicklySince(began):
			silent.Store(true)
			cancel()
		}
		read <- found.row
	})
	receipt, err := l.options.Table.Commit(ctx, transaction)
	var conflict *tablestore.ConflictError
	if err == nil || errors.As(err, &conflict) {
		l.health.answered(writing, time.Since(start), l.options.Now())
	}
	if late.Load() && err != nil && conflict == nil {
		err = lateError(err, most) // an answer that comes as the write is given up is one all the same
	}
	if timer.Stop() {
		return receipt, nil, err
	}
	if err == nil || conflict != nil {
		cancel()
	}
	row := <-read
	if err == nil || conflict != nil {
		return receipt, nil, err
	}
	if silent.Load() {
		err = errors.Mark(errors.Mark(errors.New("neither a write nor a read of its row is answered"),
			tablestore.ErrUnknownOutcome), errNoAnswer)
	}
	return receipt, row, err
}

// looked is what reads beside a write have come to.
type looked struct {
	row   *tablestore.Row // changed since; nil if it was not seen to be
	long  bool            // the last read took as long as those of a slow table do
	heard bool            // a read was answered, so that the part is not silent
	err   error           // of a read that failed
}

// lookUntilChanged reads a row beside a write of it, again and again, until it is changed, a read takes as long as
// those of a slow table, or one fails. That a quick read shows the row unchanged does not say that the write is lost:
// it may wait at its writer behind others, and would lose its place there if it were given up. In a stop of whole
// zones such writes were begun up to five times, and their turns not recorded within 2 s. The pauses double, so that
// a write is read beside four times at most before it is given up for its time.
func (l *Ledger) lookUntilChanged(ctx context.Context, condition tablestore.Condition, pause time.Duration) looked {
	for heard := false; ; pause *= 2 {
		asked := time.Now()
		row, err := l.readBeside(ctx, condition.Key)
		if err != nil {
			return looked{heard: heard, err: err}
		}
		heard = true
		took := time.Since(asked)
		l.health.answered(reading, took, l.options.Now())
		long := l.health.isLong(took)
		if row.Revision != condition.Revision {
			return looked{row: &row, long: long}
		}
		if long || !backoff.Wait(ctx, pause) {
			return looked{long: long}
		}
	}
}

// lateError is the error of a write that was given up since it got no answer for long. Unlike one
// that its caller gave up it says something of the table, so that it is not a cancelled one.
func lateError(err error, after time.Duration) error {
	late := errors.Newf("no answer in %s: %v", after, err)
	for _, kind := range []error{tablestore.ErrUnknownOutcome, tablestore.ErrUnavailable, tablestore.ErrUnreachable,
		tablestore.ErrThrottled, tablestore.ErrBusy, tablestore.ErrRejected} {
		if errors.Is(err, kind) {
			late = errors.Mark(late, kind)
		}
	}
	return late
}

// readBeside reads a row while a write of it is under way. The error is marked
// context.DeadlineExceeded if there was no answer in time.
func (l *Ledger) readBeside(ctx context.Context, key string) (tablestore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.health.readTimeout())
	defer cancel()
	row, err := l.options.Table.Get(ctx, key)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		err = errors.Mark(err, context.DeadlineExceeded)
	}
	return row, err
}

// mayRetry reports whether a call that failed is to be made again now. One that
// was given up has been waited for; one that was refused for now is paused for; one
// that was rejected would be again.
// refusals is how many calls before it were refused for their rate.
func mayRetry(ctx context.Context, err error, refusals int) bool {
	switch {
	case errors.Is(err, tablestore.ErrUnreachable), errors.Is(err, tablestore.ErrRejected):
		return false
	case errors.Is(err, tablestore.ErrUnknownOutcome):
		return ctx.Err() == nil
	case errors.Is(err, tablestore.ErrThrottled):
		return waitOut(ctx, refusals)
	}
	return backoff.Wait(ctx, retryPause)
}

// waitOut pauses after a call that was refused for its rate. It reports false, at once, if
// the pause would outlast whoever waits.
func waitOut(ctx context.Context, refusals int) bool {
	pause := backoff.Spread(min(maxThrottlePause, throttlePause<<min(refusals, throttleDoublings)))
	if deadline, bounded := ctx.Deadline(); bounded && time.Until(deadline) < pause {
		return false
	}
	return backoff.Wait(ctx, pause)
}

// countRefusal notes how a write ended, and returns how many before it were refused for
// their rate in a row. The right to write is held.
func (e *entry) countRefusal(err error) int {
	before := e.refusals
	e.refusals = 0
	if errors.Is(err, tablestore.ErrThrottled) {
		e.refusals = before + 1
	}
	return before
}

// satisfied reports whether an earlier write, whose answer was lost, turns out
// to have done what the next one would, and takes the asking turn's tokens if so.
func (e *entry) satisfied(ask Ask) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.resolved || e.uncertain || ask.KeepNothing {
		return false
	}
	e.resolved = false
	if len(e.waiting()) > 0 || e.held-e.underWay-e.unsettled < ask.Most {
		return false
	}
	e.underWay += ask.Most
	return true
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
	before := len(e.attempts)
	if err := e.observe(run, current); err != nil {
		return false, err
	}
	e.resolved = len(e.attempts) < before
	if e.account.Allowances[run].Write != write {
		return false, nil
	}
	e.underWay += ask.Most
	return true, nil
}

// land notes that the write under way has ended, whatever came of it.
func (e *entry) land() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.flight = nil
}

// freshness is how long an account that was read is held to be what it is.
// Meanwhile a program that is told again and again that its budget is spent costs
// no calls.
const freshness = 250 * time.Millisecond

// isFresh reports whether the account was read or written just now.
func (e *entry) isFresh(now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return now.Sub(e.readAt) < freshness
}

// isExhausted reports whether the budget is spent for good, whatever others may
// have given back since the account was read.
func (e *entry) isExhausted(run string, ask Ask) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.known && e.account.exhausted(run, e.unsettled, ask.Most)
}

// seen notes that the account was read or written.
func (e *entry) seen(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.readAt = now
}

// doubt notes that a write may or may not have taken effect, or may yet.
func (e *entry) doubt() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.uncertain = true
}
