package ingress

import (
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/admission"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/routing"
)

// admitEarly rejects the first turn of a program for which engines have no capacity, before the ledger
// is queried. It applies on routes that retain turns, where the turn itself shows whether it starts a
// program: later turns name an earlier one.
func (s *stream) admitEarly() *api.Error {
	if !s.request.route.Retain || !s.beginsProgram() {
		return nil
	}
	return s.request.admitProgram()
}

// admitAfterReserve does the same on routes that retain nothing, once the node that reserves the
// turn's budget has reported whether it has seen the program. A turn without reservation is not rejected.
func (s *stream) admitAfterReserve() *api.Error {
	if s.request.route.Retain || s.run == nil || !s.beginsProgram() {
		return nil
	}
	return s.request.admitProgram()
}

// admitProgram decides whether the request's program may start.
func (r *request) admitProgram() *api.Error {
	priority := routing.PriorityOf(r.tenant, r.route)
	rank, ranks := r.view.Table.Rank(r.service, priority)
	decision := admission.Decide(admission.Candidate{
		Program:   r.program(),
		Retried:   r.handler.options.Placer.RecentlyRejected(r.program()),
		Rank:      rank,
		Ranks:     ranks,
		Remaining: time.Until(r.deadline),
	}, r.handler.options.Placer.Counts(r.service))
	r.report.Admission = decision
	if decision.Admitted {
		r.endPending = r.handler.options.Placer.AddPendingProgram(r.service)
		return nil
	}
	r.handler.options.Placer.RecordRejection(r.program())
	problem := api.Errorf(api.AtCapacity, "service %s has %d calls in flight, %d waiting and %d pending programs for %d slots; of programs of rank %d of %d, %.0f%% are admitted",
		r.service, decision.Counts.InFlight, decision.Counts.Waiting, decision.Counts.Pending, decision.Counts.Slots, rank, ranks, 100*decision.Share)
	return problem.WithRetryAfter(backoff.Jitter(decision.RetryAfter))
}

// finishPending ends the pending count of the program that the request starts, if there is one.
func (r *request) finishPending() {
	if r.endPending != nil {
		r.endPending()
		r.endPending = nil
	}
}
