package ledger

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/conversations"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Settle ends a turn that ran: it returns the part of its reservation that the turn did not use.
// If turn is not nil, Settle records it: it is durable when Settle returns nil,
// and later turns may continue from it; the caller must not complete the answer before.
// If turn is nil, Settle writes nothing unless little of the budget is left.
func (r *RunningTurn) Settle(ctx context.Context, tokens int64, turn *Turn) error {
	e := r.entry
	if turn != nil {
		turn.Program = e.program
		turn.long = r.inputOf(turn)
	} else if r.long != nil {
		r.long.stopEarly()
	}
	if r.grant != nil {
		r.grant.Settle(tokens, r.location)
		if turn == nil {
			return nil
		}
		return r.ledger.retry(ctx, func() error { return r.ledger.recordWithoutAccount(ctx, e, turn) })
	}
	rec := r.finish(tokens, turn)
	if rec == nil {
		if !e.mustCharge(r.ledger.hasOwners()) {
			return nil
		}
		return r.ledger.charge(ctx, e)
	}
	err := r.ledger.retry(ctx, func() error { return r.ledger.record(ctx, e, rec) })
	if err != nil {
		e.discard(rec)
	}
	return err
}

// retry repeats attempt until it succeeds, its error is final, or ctx ends.
func (l *Ledger) retry(ctx context.Context, attempt func() error) error {
	for throttled := 0; ; {
		err := attempt()
		switch {
		case err == nil, errors.Is(err, tablestore.ErrRejected):
			return err
		case errors.Is(err, tablestore.ErrThrottled):
			if !waitThrottled(ctx, throttled, l.health.answerTime(writing)) {
				return err
			}
			throttled++
		case !backoff.Wait(ctx, retryDelay):
			return err
		}
	}
}

// Abandon ends a turn that reached no engine: no tokens are charged for it.
func (r *RunningTurn) Abandon() {
	if r.long != nil {
		r.long.stopEarly()
	}
	if r.grant != nil {
		r.grant.Settle(0, conversations.Location{})
		return
	}
	r.finish(0, nil)
}

// inputOf returns the long input of the turn to be recorded, which may be partly stored; nil if its input is not long.
func (r *RunningTurn) inputOf(turn *Turn) *longInput {
	if r.long != nil && r.long.turn == turn.ID && bytes.Equal(r.long.input, turn.Input) {
		return r.long
	}
	return newLongInput(turn.ID, turn.Input)
}

// finish moves a turn's tokens from in flight to uncharged, and queues its record if turn is not nil. The program's
// retention counts from now on: a turn may run for longer than it is kept.
func (r *RunningTurn) finish(tokens int64, turn *Turn) *turnRecord {
	e := r.entry
	now := r.ledger.options.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.usedAt = now
	if r.request.Budget > 0 {
		e.inFlight -= r.request.MaxTokens
		e.uncharged += tokens
	}
	if turn == nil {
		return nil
	}
	rec := &turnRecord{turn: turn}
	e.pending = append(e.pending, rec)
	return rec
}

// mustCharge reports whether uncharged tokens may keep another node from running a turn. Where
// nodes request reservations from the program's owner they do not, unless another run holds an allowance as well.
func (e *entry) mustCharge(hasOwners bool) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if hasOwners && len(e.account.Allowances) < 2 {
		return false
	}
	return e.account.Budget > 0 && e.account.nearlySpent()
}

// charge writes the uncharged tokens to the account. The end of an answer may wait for it, so it has a short timeout,
// and does not start if another write holds the account for longer than accountWait. Tokens that are not charged stay
// held, and go with the next write.
func (l *Ledger) charge(ctx context.Context, e *entry) error {
	ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	if err := e.lockWithin(ctx, l.accountWait()); err != nil {
		return err
	}
	defer e.unlock()
	return l.write(ctx, e, TurnRequest{})
}

// Limits of writing a program's account at the end of an answer.
const (
	// minAccountWait is the shortest time that a turn that has run waits for the right to write its program's
	// account, which saves it a write of its own. Two writes of a fast table take less time, of a slow one more.
	minAccountWait = 60 * time.Millisecond
	// chargeTimeout is how long an answer that is not recorded waits until its tokens are charged: a write to a
	// slow table takes 300 ms.
	chargeTimeout = 400 * time.Millisecond
	// accountTimeDivisor limits the write of a record together with the account to the remaining time divided by
	// this number, so that the rest is enough to write the record without the account, unless writes take longer.
	accountTimeDivisor = 2
)

// accountWait returns how long to wait for the right to write an account, from the current duration of writes.
func (l *Ledger) accountWait() time.Duration {
	return max(minAccountWait, 2*l.health.writeTime())
}

// record makes a turn durable: together with its program's account, or without it in the account's part, or, if that
// part fails, in another part, which readers search next. A record must not compete for the account: the answer is
// ready, the condition of a record without the account conflicts with no other write, and tokens that are charged
// later stay held. Where records did compete, during a stop of whole zones, they lost to writes of other nodes until
// their callers had disconnected.
func (l *Ledger) record(ctx context.Context, e *entry, rec *turnRecord) error {
	err := l.recordInAnyPart(ctx, e, rec.turn, func(ctx context.Context, onSilence func()) error {
		durable, err := l.recordWithAccount(ctx, e, rec, onSilence)
		if durable || err != nil {
			return err
		}
		return l.recordInOwnPart(ctx, e, rec.turn, onSilence)
	})
	if err == nil {
		e.markDurable(rec)
		l.limitInputs(e, rec.turn)
	}
	return err
}

// recordWithAccount tries to record a turn together with its program's account. It reports whether the turn is
// durable. It writes nothing if the last write conflicted with another node's within freshness, or if another turn
// holds the right to write for longer than accountWait, and it stops after its first conflict. It retries only writes
// that the table throttled. Most records do go with the account: a node whose write of the account is the last one
// eventually removes the program's rows.
func (l *Ledger) recordWithAccount(ctx context.Context, e *entry, rec *turnRecord, onSilence func()) (durable bool, err error) {
	request := TurnRequest{onSilence: onSilence}
	if deadline, bounded := ctx.Deadline(); bounded {
		request.giveUpAt = time.Now().Add(time.Until(deadline) / accountTimeDivisor)
	}
	limited, cancel := request.untilGivenUp(ctx)
	defer cancel()
	if err := l.storeBefore(limited, e, partOf(e.program), rec.turn); err != nil {
		return false, err
	}
	if e.lockWithin(limited, l.accountWait()) != nil {
		return e.isDurable(rec), nil
	}
	defer e.unlock()
	var counts writeCounts
	for !e.isDurable(rec) {
		if e.contended && e.isFresh(l.options.Now()) {
			return false, nil
		}
		if _, err := l.writeOnce(ctx, e, request, &counts); err != nil {
			return false, counts.explain(err)
		}
		if e.throttled == 0 {
			return e.isDurable(rec), nil
		}
	}
	return true, nil
}

// isDurable reports whether a write for another turn has recorded this one too.
func (e *entry) isDurable(rec *turnRecord) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if rec.durable {
		e.turns[rec.turn.ID] = rec.turn
	}
	return rec.durable
}

// markDurable marks a turn as durable and keeps it in memory for the turns that follow.
func (e *entry) markDurable(rec *turnRecord) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	rec.durable = true
	e.turns[rec.turn.ID] = rec.turn
	if rec.turn.long != nil {
		e.pendingRecords() // which drops this one
	}
}

// discard drops the record of a turn whose answer will not be completed. The turn may have become
// durable all the same, which does no harm: no turn continues from it.
func (e *entry) discard(rec *turnRecord) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	rec.durable = true
}

// recordInOtherPart writes a turn, without the account, into another part. It does not if the table throttled the
// write, since it throttles writes to every part.
func (l *Ledger) recordInOtherPart(ctx context.Context, e *entry, turn *Turn, cause error) error {
	if errors.Is(cause, tablestore.ErrThrottled) {
		return cause
	}
	own := partOf(e.program)
	for step := 1; step < Parts && ctx.Err() == nil; step += 2 {
		part := (own + step) % Parts
		if l.health.admit(writing, part, l.options.Now()) != nil || l.storeBefore(ctx, e, part, turn) != nil {
			continue
		}
		began := l.options.Now()
		err := l.putTurn(ctx, part, e, turn, nil)
		l.callEnded(ctx, writing, part, err, began)
		if err == nil {
			return nil
		}
	}
	return cause
}

// putTurn writes a turn, with what it inherits if that fits, into a part, unless the turn is there already. For onSilence
// see commitUnlessSilent.
func (l *Ledger) putTurn(ctx context.Context, part int, e *entry, turn *Turn, onSilence func()) error {
	batch, ok := e.recordOf(part, turn)
	if !ok {
		return errInputRemoved
	}
	err := l.putOnce(ctx, tablestore.Transaction{
		WriteID:    l.options.RunID + "/" + turn.ID,
		Conditions: append([]tablestore.Condition{{Key: pieceKey(part, e.program, turn.ID, 0)}}, batch.conditions...),
		Writes:     batch.writes,
	}, onSilence)
	var conflict *tablestore.ConflictError
	if errors.As(err, &conflict) && forgetInput(part, conflict.Current, turn) {
		return errInputRemoved
	}
	if err == nil && part == partOf(e.program) {
		e.markStored(batch.inherited...)
	}
	return err
}

// putOnce writes rows, unless they are there already. The first condition is that a row of them is absent.
func (l *Ledger) putOnce(ctx context.Context, transaction tablestore.Transaction, onSilence func()) error {
	_, err := l.putRows(ctx, transaction, onSilence)
	return err
}

// putRows is putOnce. It returns the revision of the row of the first condition. The error is a ConflictError only if another
// condition does not hold.
func (l *Ledger) putRows(ctx context.Context, transaction tablestore.Transaction, onSilence func()) (revision uint64, err error) {
	first := transaction.Conditions[0].Key
	receipt, row, err := l.commitUnlessSilent(ctx, transaction, time.Time{}, onSilence)
	var conflict *tablestore.ConflictError
	switch {
	case errors.As(err, &conflict) && (conflict.Index == 0 || conflict.Current.Key == first):
		return conflict.Current.Revision, nil // this write, or an earlier one of the same rows, took effect
	case row != nil && row.Revision != 0:
		return row.Revision, nil
	}
	return receipt.Revisions[first], err
}
