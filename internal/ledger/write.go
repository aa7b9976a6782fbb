package ledger

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Delays and timeouts of calls to the table.
const (
	retryDelay = 40 * time.Millisecond // before a failed call is sent again
	// immediateConflictRetries is how many conflicting writes are repeated without a delay: the conflict contains the
	// current row. A write that keeps conflicting waits before each retry, to let the other writes pass.
	immediateConflictRetries = 3
	// throttleDelay is the delay before the first retry of a throttled call. The limit is the rate of all
	// nodes together, or a queue that takes a second to drain. The delay doubles with
	// each throttled call in a row, up to maxThrottleDelay.
	throttleDelay    = 200 * time.Millisecond
	maxThrottleDelay = 800 * time.Millisecond
	// queuedTimeout is the timeout of a write that is known to be queued at a slow
	// table. Its caller disconnects before that.
	queuedTimeout = 4 * time.Second
	// maxThrottleDoublings limits the doubling, so that no delay overflows.
	maxThrottleDoublings = 8
)

// writeCounts counts the writes made for one change of an account, for the text of the final error.
type writeCounts struct {
	writes    int // sent
	conflicts int // attempts that conflicted with another write of the account: of another node, or an earlier attempt
	abandoned int // without a response, after a read during the write had shown that the row had changed
}

// add counts one write by its outcome.
func (t *writeCounts) add(row *tablestore.Row, err error) {
	t.writes++
	var conflict *tablestore.ConflictError
	switch {
	case errors.As(err, &conflict):
		t.conflicts++
	case row != nil:
		t.abandoned++
	}
}

// explain adds the counts to the final error. After a single write the error needs no explanation.
func (t *writeCounts) explain(err error) error {
	if err == nil || t.writes < 2 {
		return err
	}
	return errors.Wrapf(err, "after %d writes, of which %d conflicted and %d were abandoned", t.writes, t.conflicts, t.abandoned)
}

// write changes the account, with retries until the change has taken effect: it charges
// the uncharged tokens, records the pending turns, and reserves tokens for the requesting turn,
// if there is one. The right to write must be held. With an error no tokens are reserved for
// the requesting turn.
func (l *Ledger) write(ctx context.Context, e *entry, request TurnRequest) error {
	var counts writeCounts
	return counts.explain(l.writeUntilDone(ctx, e, request, &counts))
}

func (l *Ledger) writeUntilDone(ctx context.Context, e *entry, request TurnRequest, counts *writeCounts) error {
	for {
		if done, err := l.writeOnce(ctx, e, request, counts); done || err != nil {
			return err
		}
		if counts.conflicts > immediateConflictRetries && !backoff.Wait(ctx, backoff.Jitter(retryDelay)) {
			return errors.Mark(ctx.Err(), tablestore.ErrUnavailable)
		}
	}
}

// writeOnce makes one attempt to change the account. If it returns neither done nor an error, the caller prepares the
// change again. The right to write must be held.
func (l *Ledger) writeOnce(ctx context.Context, e *entry, request TurnRequest, counts *writeCounts) (done bool, err error) {
	part := partOf(e.program)
	if e.alreadyApplied(request) {
		return true, nil
	}
	limited, cancel := request.untilGivenUp(ctx)
	defer cancel()
	if e.contended && l.health.slow() && !e.isFresh(l.options.Now()) {
		// A write whose condition fails would occupy a place in the part's
		// write queue for nothing; a read occupies none. Where no other run writes the account,
		// conditions hold, and a read would only double the turn's wait.
		if err := l.readAccount(limited, e, part); err != nil {
			return false, err
		}
	}
	policy := l.aheadPolicy(request)
	policy.witness = l.chooseWitness(limited, e, policy)
	transaction, write, err := e.prepare(l.options, part, request, policy)
	if errors.Is(err, ErrBudgetSpent) && !e.isFresh(l.options.Now()) && !e.isExhausted(l.options.RunID, request) {
		// Other nodes may have returned allowances since the account was read.
		return false, l.readAccount(limited, e, part)
	}
	if err != nil {
		return false, err
	}
	if err := l.health.admit(writing, part, l.options.Now()); err != nil {
		return false, err
	}
	return l.commit(ctx, e, part, transaction, write, request, counts)
}

// readAccount reads the program's account.
func (l *Ledger) readAccount(ctx context.Context, e *entry, part int) error {
	key := accountKey(part, e.program)
	page, err := l.readRange(ctx, part, key, key+"\x00")
	if err != nil {
		return err
	}
	e.markRead(l.options.Now())
	return e.applyRows(l.options.RunID, key, []tablestore.Row{page.RowAt(key)})
}

// prepare builds the next write. It keeps the write's number and content until the outcome is known.
func (e *entry) prepare(options Options, part int, request TurnRequest, policy aheadPolicy) (tablestore.Transaction, uint64, error) {
	runID := options.RunID
	e.mutex.Lock()
	defer e.mutex.Unlock()
	account := e.account
	if e.revision == 0 && e.legacyAccount.revision != 0 {
		account = e.legacyAccount.account
	}
	if account.Budget == 0 {
		account.Budget = request.Budget
	}
	e.resolved = false
	e.lastWrite++
	next, err := account.Apply(Change{
		Node:           runID,
		Address:        options.address(),
		Write:          e.lastWrite,
		Settled:        e.uncharged,
		Retention:      e.retention,
		InFlightTokens: e.inFlight,
		MaxTokens:      request.MaxTokens,
		ReserveAhead:   policy.reserve,
		ShareDivisor:   policy.divisor,
		Witness:        policy.witness,
		Closed:         e.closed,
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
		WriteID:    runID + "/" + strconv.FormatUint(e.lastWrite, 10),
		Conditions: []tablestore.Condition{{Key: key, Revision: e.revision}},
		Writes:     []tablestore.Write{{Key: key, Value: value}},
	}
	records := e.nextRecords(part)
	// Writes that free budget, or record a turn that has run, take precedence over writes that admit a turn.
	transaction.Deferrable = (request.MaxTokens > 0 || request.deferrable) && len(records.turns) == 0
	transaction.Writes = append(transaction.Writes, records.writes...)
	transaction.Conditions = append(transaction.Conditions, records.conditions...)
	e.migrateLegacy(part, &transaction)
	tokens, witness := next.Allowances[runID].Tokens, next.Allowances[runID].Witness
	e.attempts[e.lastWrite] = attempt{held: tokens, witness: witness, atSlowShare: policy.reserve && policy.divisor == slowDivisor, charges: e.uncharged, records: records.turns, inherited: records.inherited}
	e.currentWrite = &inFlightWrite{write: e.lastWrite, held: tokens, requested: request.MaxTokens, charges: e.uncharged}
	return transaction, e.lastWrite, nil
}

// pendingRecords returns the turns that are not durable yet. The mutex is held.
func (e *entry) pendingRecords() []*turnRecord {
	e.pending = slices.DeleteFunc(e.pending, func(rec *turnRecord) bool { return rec.durable })
	return slices.Clone(e.pending)
}

// turnWrites returns the rows of a turn with these pieces.
func turnWrites(part int, program, turn string, pieces [][]byte) []tablestore.Write {
	writes := make([]tablestore.Write, 0, len(pieces)+1)
	for i, piece := range pieces {
		writes = append(writes, tablestore.Write{Key: pieceKey(part, program, turn, i), Value: piece})
	}
	return append(writes, tablestore.Write{Key: indexKey(part, program, turn), Value: []byte(program)})
}

// mayRetry reports whether to retry a failed call now, after the delay that its error requires. A call that timed
// out is retried without a delay, one that failed for a temporary reason after a delay, and one that was
// rejected, or did not reach the table, is not retried.
// throttled is how many calls in a row before it were throttled, and responseTime how long the next one may take.
func mayRetry(ctx context.Context, err error, throttled int, responseTime time.Duration) bool {
	switch {
	case errors.Is(err, tablestore.ErrUnreachable), errors.Is(err, tablestore.ErrRejected):
		return false
	case errors.Is(err, tablestore.ErrUnknownOutcome):
		return ctx.Err() == nil
	case errors.Is(err, tablestore.ErrThrottled):
		return waitThrottled(ctx, throttled, responseTime)
	}
	return backoff.Wait(ctx, retryDelay)
}

// waitThrottled waits after a throttled call. It returns false at once if
// the delay and the response to the next call would exceed the deadline of ctx: a call too late
// for its caller adds to the load, and delays the caller's error for nothing.
func waitThrottled(ctx context.Context, throttled int, responseTime time.Duration) bool {
	delay := backoff.Jitter(min(maxThrottleDelay, throttleDelay<<min(throttled, maxThrottleDoublings)))
	if deadline, bounded := ctx.Deadline(); bounded && time.Until(deadline) < delay+responseTime {
		return false
	}
	return backoff.Wait(ctx, delay)
}

// countThrottled records the outcome of a write, and returns how many writes in a row before it
// were throttled. The right to write is held.
func (e *entry) countThrottled(err error) int {
	before := e.throttled
	e.throttled = 0
	if errors.Is(err, tablestore.ErrThrottled) {
		e.throttled = before + 1
	}
	return before
}

// alreadyApplied reports whether an earlier write, whose response was lost, is now known to have
// made the change that the next write would make. If so, it reserves the requesting turn's tokens.
func (e *entry) alreadyApplied(request TurnRequest) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.resolved || e.outcomeUnknown || request.ReturnUnused {
		return false
	}
	e.resolved = false
	if len(e.pendingRecords()) > 0 || e.held-e.inFlight-e.uncharged < request.MaxTokens {
		return false
	}
	e.inFlight += request.MaxTokens
	return true
}

// applyWritten applies a write that took effect to the entry.
func (e *entry) applyWritten(runID string, write uint64, receipt tablestore.Receipt, transaction tablestore.Transaction, request TurnRequest) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	first := transaction.Writes[0]
	row := tablestore.Row{Key: first.Key, Value: first.Value, Revision: receipt.Revisions[first.Key]}
	if err := e.observe(runID, row); err != nil {
		return err
	}
	e.inFlight += request.MaxTokens
	return nil
}

// applyConflict applies the row that made a write's condition fail. It reports
// whether that row shows that the write itself had taken effect, with its
// response lost. expected is the revision of the condition.
func (e *entry) applyConflict(runID string, write, expected uint64, current tablestore.Row, request TurnRequest) (bool, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if current.Revision == 0 && expected == e.revision {
		e.revision = 0 // the row was there, and has been removed since; an absent row is otherwise taken for an older one
	}
	before := len(e.attempts)
	if err := e.observe(runID, current); err != nil {
		return false, err
	}
	e.resolved = len(e.attempts) < before
	if e.account.Allowances[runID].Write != write {
		return false, nil
	}
	e.inFlight += request.MaxTokens
	return true, nil
}

// clearCurrentWrite marks the write in flight as ended, whatever its outcome.
func (e *entry) clearCurrentWrite() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.currentWrite = nil
}

// freshness is how long an account that was read or written counts as current.
// During that time, repeated requests of a program whose budget is spent cost
// no calls.
const freshness = 250 * time.Millisecond

// isFresh reports whether the account was read or written within freshness.
func (e *entry) isFresh(now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return now.Sub(e.readAt) < freshness
}

// isExhausted reports whether the budget is spent for good, whatever allowances other runs may
// have returned since the account was read.
func (e *entry) isExhausted(runID string, request TurnRequest) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.loaded && e.account.exhausted(runID, e.uncharged, request.MaxTokens)
}

// markRead records that the account was read or written at now.
func (e *entry) markRead(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.readAt = now
}

// markOutcomeUnknown records that a write may or may not have taken effect, or may still do so.
func (e *entry) markOutcomeUnknown() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.outcomeUnknown = true
}
