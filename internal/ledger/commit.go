package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// commit sends one write. It reports whether the change took effect; if it returns
// neither that nor an error, the caller prepares the change again.
func (l *Ledger) commit(ctx context.Context, e *entry, part int, transaction tablestore.Transaction, write uint64, request TurnRequest, counts *writeCounts) (bool, error) {
	began := l.options.Now()
	receipt, row, err := l.commitUnlessSilent(ctx, transaction, request.giveUpAt, l.reportSilence(ctx, part, began, request.onSilence))
	counts.add(row, err)
	defer e.clearCurrentWrite()
	throttled := e.countThrottled(err)
	var conflict *tablestore.ConflictError
	e.contended = errors.As(err, &conflict)
	switch {
	case err == nil && row == nil:
		l.health.recordResult(writing, part, nil, l.options.Now())
		e.markRead(l.options.Now())
		if err := e.applyWritten(l.options.RunID, write, receipt, transaction, request); err != nil {
			return true, err
		}
		l.introduceWitness(ctx, e)
		return true, nil
	case errors.As(err, &conflict) && e.forgetInput(part, conflict.Current):
		l.health.recordResult(writing, part, nil, l.options.Now())
		return false, nil
	case errors.As(err, &conflict):
		isLegacy, err := e.observeLegacy(part, conflict.Current)
		if isLegacy || err != nil {
			l.health.recordResult(writing, part, nil, l.options.Now())
			return false, err
		}
		row = &conflict.Current
	}
	if row != nil {
		l.health.recordResult(writing, part, nil, l.options.Now())
		e.markOutcomeUnknown()
		e.markRead(l.options.Now())
		return e.applyConflict(l.options.RunID, write, transaction.Conditions[0].Revision, *row, request)
	}
	limited, cancel := request.untilGivenUp(ctx)
	defer cancel()
	l.callEnded(limited, writing, part, err, began)
	if errors.Is(err, tablestore.ErrUnknownOutcome) {
		e.markOutcomeUnknown()
	}
	if mayRetry(limited, err, throttled, l.health.answerTime(writing)) {
		return false, nil
	}
	return false, err
}

// commitOrRead sends a write. If there is no response within the hedge delay, it reads the account's row while the
// write is in flight, and polls it after that. If the row has changed, this write or another one was applied and the
// response may be lost: commitOrRead abandons the write and returns the row. An unchanged row shows that the write is
// still queued, so it keeps waiting: sent again, the write would only lengthen the queue that it waits in. How long it
// waits, see pendingWrite. If no read gets a response either, while other parts respond fast, the part is unresponsive,
// and the write is abandoned. giveUpAt, if not zero, is when the caller would rather do without the write.
func (l *Ledger) commitOrRead(ctx context.Context, transaction tablestore.Transaction, giveUpAt time.Time) (tablestore.Receipt, *tablestore.Row, error) {
	return l.commitUnlessSilent(ctx, transaction, giveUpAt, nil)
}

// commitUnlessSilent is commitOrRead with a function that is called, if it is not nil, where commitOrRead would abandon
// the write since nothing is answered at all. The write then stays in flight until ctx ends.
func (l *Ledger) commitUnlessSilent(ctx context.Context, transaction tablestore.Transaction, giveUpAt time.Time, onSilence func()) (tablestore.Receipt, *tablestore.Row, error) {
	timeout := l.health.currentCallTimeout()
	callerDeadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, max(timeout, queuedTimeout))
	defer cancel()
	pending := &pendingWrite{health: l.health, now: l.options.Now, began: l.options.Now(), sentAt: time.Now(), abandon: cancel, onSilence: onSilence}
	defer pending.limit(timeout, giveUpAt, callerDeadline)()
	polled := make(chan *tablestore.Row, 1)
	hedgeTimer := time.AfterFunc(l.health.hedgeDelay(), func() {
		polled <- l.watchRow(ctx, transaction.Conditions[0], pending)
	})
	receipt, err := l.options.Table.Commit(tablestore.WithSentReport(ctx, pending.recordSent), transaction)
	var conflict *tablestore.ConflictError
	if err == nil || errors.As(err, &conflict) {
		l.health.recordAnswer(writing, time.Since(pending.sentAt), l.options.Now())
	}
	if pending.timedOut.Load() && err != nil && conflict == nil {
		err = timeoutError(err, time.Since(pending.sentAt).Round(time.Millisecond)) // a response that arrives as the write times out still counts as a response
	}
	if hedgeTimer.Stop() {
		return receipt, nil, err
	}
	if err == nil || conflict != nil {
		cancel()
	}
	row := <-polled
	if err == nil || conflict != nil {
		return receipt, nil, err
	}
	if pending.partUnresponsive.Load() {
		err = errors.Mark(errors.Mark(errors.New("neither a write nor a read of its row is answered"),
			tablestore.ErrUnknownOutcome), errNoAnswer)
	}
	return receipt, row, err
}

// watchRow reads the row of a write in flight, and ends the write if the row has changed, or if its part does not
// respond. It returns the changed row, or nil.
func (l *Ledger) watchRow(ctx context.Context, condition tablestore.Condition, pending *pendingWrite) *tablestore.Row {
	result := l.pollUntilChanged(ctx, condition, l.health.hedgeDelay(), pending)
	switch {
	case result.row != nil:
		if result.slow {
			l.health.recordAnswer(writing, time.Since(pending.sentAt), l.options.Now()) // with a fast table, the time does not show its latency: the response was lost
		}
		pending.abandon()
	case result.slow:
		pending.queued.Store(true)
	case errors.Is(result.err, errNoAnswer) && ctx.Err() == nil:
		pending.partUnresponsive.Store(true)
		pending.abandon()
	}
	return result.row
}

// pollResult is the result of reading a row while a write of it is in flight.
type pollResult struct {
	row  *tablestore.Row // the changed row; nil if no change was seen
	slow bool            // the last read took as long as reads of a slow table do
	err  error           // of a failed read; marked errNoAnswer if the part is unresponsive
}

// pollUntilChanged reads a row repeatedly while a write of it is in flight, until the row has changed, a read takes as
// long as reads of a slow table, or a read fails. A fast read of the unchanged row does not mean that
// the write is lost: it may be queued at its writer behind others, and would lose its place in the queue if it were
// abandoned. The interval doubles, so that the row is read at most four times before the write times out.
func (l *Ledger) pollUntilChanged(ctx context.Context, condition tablestore.Condition, interval time.Duration, pending *pendingWrite) pollResult {
	pending.recordReadSent()
	for ; ; interval *= 2 {
		read := l.readDuringWrite(ctx, condition.Key, pending.isPartUnresponsive)
		if read.err != nil {
			return pollResult{err: read.err}
		}
		pending.recordRead(read.took)
		l.health.recordAnswer(reading, read.took, l.options.Now())
		slow := l.health.isSlowCall(read.took)
		if read.row.Revision != condition.Revision {
			return pollResult{row: &read.row, slow: slow}
		}
		if slow || !backoff.Wait(ctx, interval) {
			return pollResult{slow: slow}
		}
	}
}

// timeoutError returns the error of a write that was abandoned after its timeout. Unlike a write that its caller
// cancelled, it is evidence about the table, so the error is not marked as cancelled.
func timeoutError(err error, after time.Duration) error {
	timeout := errors.Newf("no response in %s: %v", after, err)
	for _, kind := range []error{tablestore.ErrUnknownOutcome, tablestore.ErrUnavailable, tablestore.ErrUnreachable,
		tablestore.ErrThrottled, tablestore.ErrWasThrottled, tablestore.ErrRejected} {
		if errors.Is(err, kind) {
			timeout = errors.Mark(timeout, kind)
		}
	}
	return timeout
}

// timedRead is the result of a read, and how long it took.
type timedRead struct {
	row  tablestore.Row
	took time.Duration
	err  error
}

// readDuringWrite reads a row while a write of it is in flight, and returns the result of the first read that ends. A
// read that has not ended within its timeout shows nothing about the write: the read may have been lost or held up on
// its own, or the table may be slow. So another one is sent, and the first remains in flight, until one of them ends,
// ctx ends, or isUnresponsive reports that the part does not respond; the error is marked errNoAnswer then.
func (l *Ledger) readDuringWrite(ctx context.Context, key string, isUnresponsive func() bool) timedRead {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan timedRead)
	for {
		go func() {
			start := time.Now()
			row, err := l.options.Table.Get(ctx, key)
			select {
			case ended <- timedRead{row, time.Since(start), err}:
			case <-ctx.Done():
			}
		}()
		timeout := time.NewTimer(l.health.currentReadTimeout())
		select {
		case read := <-ended:
			timeout.Stop()
			return read
		case <-ctx.Done():
			timeout.Stop()
			return timedRead{err: ctx.Err()}
		case <-timeout.C:
			if isUnresponsive() {
				return timedRead{err: errors.Mark(errors.New("no read of the row was answered"), errNoAnswer)}
			}
		}
	}
}
