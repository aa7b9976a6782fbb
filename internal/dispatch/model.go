package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/modelplan"
	"github.com/pewtermill/pewtermill/internal/ownership"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// maxModelAttempts limits how many engines one call is tried at.
const maxModelAttempts = 4

// maxFailedEngines limits how many engines may fail under one call, at all owners of its program together: the call may be what
// makes them fail.
const maxFailedEngines = 3

// freeAttempts is how many retries of a call are not charged to the node's retry budget: a call whose
// engine fails may always be tried at one other.
const freeAttempts = 1

// backendRetryAfter is the Retry-After of a call that back ends refused.
const backendRetryAfter = time.Second

// executeModel places a model call and streams it. It tries another engine if the first one did not run
// the call, or if the call may run twice.
func (d *Dispatcher) executeModel(ctx context.Context, work ownership.Work, onText func(offset int64, text string)) ownership.Outcome {
	d.retention.resumed(work.Header.ID)
	call := d.schedulerCall(work)
	if failed := work.Header.FailedAttempts; failed >= maxFailedEngines {
		return failedEnginesOutcome("", failed)
	}
	mayHaveRun := false // an earlier attempt may have run
	d.retries.earn()
	for attempt := 1; ; attempt++ {
		call.ID = fmt.Sprintf("%s@%d.%d", work.Key, work.Header.Epoch, attempt)
		call.Submitted = time.Now()
		assignment, refusal := d.place(ctx, call)
		if refusal != nil {
			return refusalOutcome(refusal, mayHaveRun)
		}
		result, err := d.chat(ctx, work, assignment, onText)
		d.demand.record((*modelplan.DemandMeter).Ended, call.Model)
		if err == nil {
			d.retention.paused(ctx, work, call, assignment.Engine, result)
			return ownership.Outcome{
				Code:    api.OK,
				Text:    result.Text,
				Usage:   result.Usage,
				Engine:  assignment.Engine,
				Backend: assignment.Engine,
			}
		}
		if final, ended := d.afterFailure(ctx, work, assignment.Engine, err, mayHaveRun); ended {
			return final
		}
		if !isRefusal(err) {
			mayHaveRun = true
			work.Header.FailedAttempts++
			if work.Header.FailedAttempts >= maxFailedEngines {
				return failedEnginesOutcome(assignment.Engine, work.Header.FailedAttempts)
			}
			epoch, refusal := work.ReserveAgain(ctx)
			if refusal != nil {
				return unknownOutcome(assignment.Engine, "engine failed, and the call cannot run again: "+refusal.Detail)
			}
			work.Header.Epoch = epoch
		}
		if attempt == maxModelAttempts || attempt > freeAttempts && !d.retries.spend() {
			refusal := api.Errorf(api.NoReadyBackend, "%d engines failed or refused, the last %s", attempt, assignment.Engine).WithRetryAfter(backendRetryAfter)
			return d.refuse(work, refusal, mayHaveRun)
		}
		call.Excluded = append(call.Excluded, assignment.Engine)
		d.record(work, explain.Decision{Kind: explain.Retried, Chosen: assignment.Engine, Reason: "engine " + assignment.Engine + ": " + err.Error()})
	}
}

// place waits for an engine, and records the call's demand while it waits.
func (d *Dispatcher) place(ctx context.Context, call scheduler.Call) (scheduler.Assignment, *api.Error) {
	d.demand.record((*modelplan.DemandMeter).Queued, call.Model)
	assignment, refusal := d.queue.acquire(ctx, call)
	if refusal != nil {
		d.demand.record((*modelplan.DemandMeter).Withdrawn, call.Model)
		return assignment, refusal
	}
	d.demand.record((*modelplan.DemandMeter).Placed, call.Model)
	return assignment, nil
}

// afterFailure returns the call's outcome and true if a failed attempt ends the call.
func (d *Dispatcher) afterFailure(ctx context.Context, work ownership.Work, engine string, err error, mayHaveRun bool) (ownership.Outcome, bool) {
	switch {
	case errors.Is(err, backend.ErrFenced):
		return d.refuse(work, api.Errorf(api.OwnerMoving, "a newer owner of this program has called %s", engine).WithRetryAfter(backendRetryAfter), mayHaveRun), true
	case isRefusal(err):
		return ownership.Outcome{}, false
	case ctx.Err() != nil:
		return ownership.Outcome{Code: api.Cancelled, Detail: cancelDetail(ctx), Engine: engine, Backend: engine}, true
	case !work.Repeatable:
		return unknownOutcome(engine, err.Error()), true
	}
	return ownership.Outcome{}, false
}

// failedEnginesOutcome is the final outcome of a call under which as many engines have failed as may.
func failedEnginesOutcome(engine string, failed int) ownership.Outcome {
	outcome := unknownOutcome(engine, fmt.Sprintf("%d engines failed while they may have run the call", failed))
	outcome.Unbilled = engine == "" // earlier owners were charged for it
	return outcome
}

func unknownOutcome(engine, detail string) ownership.Outcome {
	return ownership.Outcome{Code: api.OutcomeUnknown, Detail: detail, Engine: engine, Backend: engine}
}

func cancelDetail(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "cut off at its deadline"
	}
	return "cut off because the program ended or the node stopped"
}

// refusalOutcome returns a refusal, unless an earlier attempt may have run: then the call is final, and
// its outcome is unknown.
func refusalOutcome(refusal *api.Error, mayHaveRun bool) ownership.Outcome {
	if !mayHaveRun {
		return ownership.Outcome{Refusal: refusal}
	}
	return ownership.Outcome{
		Code:     api.OutcomeUnknown,
		Detail:   "an engine failed while it ran the call, and then: " + refusal.Detail,
		Unbilled: true,
	}
}

// chat streams one attempt and reports its result to the scheduler.
func (d *Dispatcher) chat(ctx context.Context, work ownership.Work, assignment scheduler.Assignment, onText func(offset int64, text string)) (backend.ChatResult, error) {
	started := time.Now()
	member, ok := d.fleet.engine(assignment.Engine)
	if !ok {
		d.queue.finish(assignment.Call.ID, scheduler.Result{Engine: assignment.Engine})
		return backend.ChatResult{}, errors.Wrap(backend.ErrLeaving, "no longer configured")
	}
	result, err := member.client.Chat(ctx, backend.ChatRequest{
		Model:     work.Request.Target,
		Program:   work.Header.ID,
		RequestID: assignment.Call.ID,
		Epoch:     work.Header.Epoch,
		Prompt:    work.Prompt,
		MaxTokens: work.MaxTokens,
	}, onText)
	if errors.Is(err, backend.ErrLeaving) {
		d.fleet.recordLeavingRefusal(assignment.Engine)
	}
	if err == nil {
		d.fleet.served.Mark(assignment.Engine, assignment.Call.PrefixBlocks)
	}
	d.queue.finish(assignment.Call.ID, scheduler.Result{
		Engine:       assignment.Engine,
		Succeeded:    err == nil || ctx.Err() != nil || errors.Is(err, backend.ErrNotLoaded),
		Duration:     time.Since(started),
		CachedTokens: result.Usage.CachedTokens,
		PromptTokens: result.Usage.PromptTokens,
	})
	return result, err
}

// schedulerCall converts the work to the scheduler's type.
func (d *Dispatcher) schedulerCall(work ownership.Work) scheduler.Call {
	header := work.Header
	call := scheduler.Call{
		Program:         header.ID,
		Sequence:        work.Sequence,
		Tenant:          header.Tenant,
		Class:           header.Class,
		Model:           work.Request.Target,
		Zone:            d.Zone,
		PrefixBlocks:    work.Prompt.Blocks(),
		PromptTokens:    backend.EstimateTokens(work.Prompt.RenderedBytes()),
		ExpectedTokens:  work.MaxTokens / 2,
		Deadline:        work.Deadline,
		ProgramStarted:  header.CreatedAt,
		ProgramDeadline: header.DeadlineAt,
		AttainedService: d.fleet.attained(header.Tokens),
	}
	if len(header.Holds) > 0 {
		call.LastEngine = header.Holds[len(header.Holds)-1]
	}
	return call
}
