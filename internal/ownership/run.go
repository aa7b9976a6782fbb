package ownership

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/program"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Pauses between attempts to record a result while the table service is down; they double up to the maximum.
const (
	minRecordPause = 100 * time.Millisecond
	maxRecordPause = 2 * time.Second
)

// storeTimeout is how long a caller waits for the table service. After that it
// gets an error that states when to retry.
const storeTimeout = 3 * time.Second

// start creates a flight and starts it. The caller holds the entry's mutex.
func (p *Programs) start(e *entry, planned plan, request api.CallRequest, digest string, arrived time.Time) *flight {
	ctx, cancel := context.WithDeadline(p.closing, callDeadline(e.header, arrived.Add(planned.timeout)))
	f := newFlight(planned.call.Sequence, digest, cancel)
	f.request = request
	f.call = planned.call
	e.flight = f
	p.flights.Add(1)
	p.inFlight.Add(1)
	go func() {
		defer p.flights.Done()
		defer p.inFlight.Add(-1)
		defer cancel()
		result, err := p.run(ctx, e, f, planned, arrived)
		e.clearFlight(f)
		f.finish(result, err)
	}()
	return f
}

// callDeadline returns when a call is cancelled: at its deadline, or when its
// program reaches its wall-time limit, whichever is earlier.
func callDeadline(header program.Header, deadline time.Time) time.Time {
	if !header.ExpiresAt.IsZero() && header.ExpiresAt.Before(deadline) {
		return header.ExpiresAt
	}
	return deadline
}

// clearFlight removes the flight from the entry.
func (e *entry) clearFlight(f *flight) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.flight == f {
		e.flight = nil
	}
	e.broadcast()
}

// run executes a call from its admission to its recorded result.
func (p *Programs) run(ctx context.Context, e *entry, f *flight, planned plan, arrived time.Time) (api.CallResult, error) {
	header, err := p.admit(ctx, e, planned)
	if err != nil {
		return api.CallResult{}, err
	}
	work := Work{
		Header:     header,
		Sequence:   f.sequence,
		Request:    f.request,
		Repeatable: planned.call.Repeatable,
		Key:        program.IdempotencyKey(header.ID, f.sequence),
		MaxTokens:  planned.call.MaxTokens,
		Arrived:    arrived,
	}
	work.Deadline, _ = ctx.Deadline()
	work.ReserveAgain = func(ctx context.Context) (uint64, *api.Error) { return p.reserveAgain(ctx, e, planned) }
	if planned.model != nil {
		work.Prompt, err = p.prompt(ctx, e, f.request.Messages)
		if err != nil {
			p.abandon(e, f.sequence)
			return api.CallResult{}, err
		}
	}
	outcome := p.Executor.Execute(ctx, work, f.write)
	if outcome.Refusal != nil {
		p.abandon(e, f.sequence)
		status := p.confirm(ctx, e)
		if status == statusLost {
			return api.CallResult{}, ownerChangedError()
		}
		refusal := refusedStep(header, f.sequence, outcome.Refusal).refusal
		return api.CallResult{}, qualifyRefusal(refusal, status) // the executor has recorded it
	}
	return p.recordResult(e, f, planned, outcome)
}

// admit evaluates the call again under the commit lock and makes its intent and
// reservation durable. Nothing has been dispatched before it returns, so every
// error from it means "not run".
func (p *Programs) admit(ctx context.Context, e *entry, planned plan) (program.Header, error) {
	if err := e.lock(ctx); err != nil {
		return program.Header{}, api.Errorf(api.DeadlineExceeded, "the program's row stayed busy").WithRetryAfter(movingRetryAfter).ForThisAttempt()
	}
	defer e.unlock()
	header, owned := e.snapshot()
	if !owned {
		return header, ownerMovingError("another node took the program over")
	}
	admission := program.Admit(header, planned.call, planned.limits, time.Now())
	if admission.Verdict == program.Refuse {
		return header, p.recordRefusal(header, planned.call.Sequence, planned.call.Target, qualifyRefusal(admission.Error, statusUnknown))
	}
	if admission.Verdict != program.Run {
		return header, ownerMovingError("another request changed the program meanwhile")
	}
	if !admission.NeedsCommit {
		return header, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := p.write(ctx, e, admission.Header); err != nil {
		return header, notDispatched(err)
	}
	return admission.Header, nil
}

// notDispatched converts a failed write before dispatch into a refusal: whatever
// the outcome of the write, this request did not dispatch the call.
func notDispatched(err error) error {
	var refusal *api.Error
	if errors.As(err, &refusal) {
		return refusal.ForThisAttempt()
	}
	return ownerMovingError("another node took the program over")
}

// write makes a header durable, together with further writes. The caller holds
// the commit lock. After a conflict or an unknown outcome the next request loads
// the row again.
func (p *Programs) write(ctx context.Context, e *entry, header program.Header, more ...tablestore.Write) error {
	return p.writeIf(ctx, e, header, nil, more)
}

// writeIf is write with further conditions.
func (p *Programs) writeIf(ctx context.Context, e *entry, header program.Header, conditions []tablestore.Condition, more []tablestore.Write) error {
	key := program.HeaderKey(e.id)
	e.mutex.Lock()
	revision := e.revision
	e.mutex.Unlock()
	transaction := tablestore.Transaction{
		Conditions: append([]tablestore.Condition{{Key: key, Revision: revision}}, conditions...),
		Writes:     append([]tablestore.Write{{Key: key, Value: program.EncodeHeader(header)}}, more...),
	}
	receipt, err := p.Store.Commit(ctx, transaction)
	if err == nil {
		e.store(header, receipt.Revisions[key])
		return nil
	}
	if isConflict(err) || errors.Is(err, tablestore.ErrUnknownOutcome) {
		e.disown()
	}
	return p.storeError(err)
}

// reserveAgain charges an attempt that may have run, and makes a reservation
// for the next one durable. The epoch increases, so that engines that honour
// fences replace the lost attempt with the next one.
func (p *Programs) reserveAgain(ctx context.Context, e *entry, planned plan) (uint64, *api.Error) {
	if err := e.lock(ctx); err != nil {
		return 0, api.Errorf(api.DeadlineExceeded, "the program's row stayed busy")
	}
	defer e.unlock()
	header, owned := e.snapshot()
	if !owned {
		return 0, api.Errorf(api.OwnerMoving, "another node took the program over")
	}
	charged := program.ChargeFailedAttempt(header, p.Node, p.Incarnation)
	admission := program.Admit(charged, planned.call, planned.limits, time.Now())
	switch admission.Verdict {
	case program.Run:
	case program.Refuse:
		return 0, admission.Error
	default: // another owner has already made the call final
		return 0, api.Errorf(api.OwnerMoving, "the call became final meanwhile")
	}
	if err := p.write(ctx, e, admission.Header); err != nil {
		return 0, api.Errorf(api.StoreDown, "%v", err)
	}
	return admission.Header.Epoch, nil
}

// abandon clears the intent of a call that did not run; without an intent the
// reservation stays for the next call. If the change cannot be recorded now, the
// next write of the header records it.
func (p *Programs) abandon(e *entry, sequence int64) {
	if err := e.lock(p.closing); err != nil {
		return
	}
	defer e.unlock()
	header, owned := e.snapshot()
	if !owned || header.Intent == nil {
		return
	}
	freed := program.Abandon(header, sequence)
	ctx, cancel := context.WithTimeout(p.closing, storeTimeout)
	defer cancel()
	if err := p.write(ctx, e, freed); err != nil {
		e.replaceInMemory(freed)
		p.Logger.Warn("intent of a call that did not run is not cleared yet",
			"program", e.id, "call", sequence, "epoch", header.Epoch, "error", err.Error())
	}
}

// replaceInMemory changes the header in memory only.
func (e *entry) replaceInMemory(header program.Header) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.header = header
	e.broadcast()
}

// digestOf returns the digest of a result, which callers can verify.
func digestOf(content []byte) string {
	return strconv.FormatUint(xxhash.Sum64(content), 16)
}

// recordFinished records the decision that a result was recorded.
func (p *Programs) recordFinished(header program.Header, f *flight, result api.CallResult) {
	reason := "result recorded, cost " + strconv.FormatInt(int64(result.Cost), 10)
	if result.Detail != "" {
		reason += ": " + result.Detail
	}
	p.record(header, explain.Decision{
		Kind:     explain.Finished,
		Sequence: f.sequence,
		Target:   f.request.Target,
		Chosen:   result.Backend,
		Code:     int(result.Code),
		Reason:   reason,
	})
}
