package ingress

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/internal/placement"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// hedgeShare is the fraction of a route's latency goal after which a safe request without an answer
// is sent to a second engine as well.
const hedgeShare = 0.9

// hedgeBudget is the maximum number of hedged sends per safe request. It is enough for engines that
// lose some answers, and too little to double the load of engines that are merely slow.
const hedgeBudget = 0.1

// hedges is the budget of hedged sends. Safe for concurrent use.
type hedges struct {
	mutex  sync.Mutex
	budget *scheduler.RetryBudget
}

func newHedges() *hedges { return &hedges{budget: scheduler.NewRetryBudget(hedgeBudget)} }

func (h *hedges) earn() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.budget.Earn()
}

func (h *hedges) spend() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.budget.Spend()
}

// mayHedge reports whether the request may run at two engines at once.
func (r *request) mayHedge() bool {
	return r.route.Kind == routing.Safe && r.route.MaxAttempts > 1 && r.route.LatencyGoal > 0
}

// fetchHedged fetches an answer, from a second engine as well if the first has not answered after the
// hedge delay. The first answer that is not a failure wins, and the other send is cancelled. Both
// together reach no more engines than the route allows: the second send uses one of the first one's
// attempts.
func (r *request) fetchHedged(ctx context.Context) bufferedResponse {
	r.handler.hedges.earn()
	// The winner's context lasts as long as ctx, since its answer may not have been read to the end.
	firstContext, cancelFirst := context.WithCancelCause(ctx)
	secondContext, cancelSecond := context.WithCancelCause(ctx)
	second := make(chan bufferedResponse, 1)
	attempts := &attemptTracker{}
	hedgeMayHaveRun := false // may be read once second has been received from
	var won atomic.Bool      // one of the two sends has won
	claimWin := func(result bufferedResponse, cancelOther context.CancelCauseFunc) bool {
		if !result.served() || !won.CompareAndSwap(false, true) {
			return false
		}
		cancelOther(errLostHedge)
		return true
	}
	delay := time.Duration(float64(r.route.LatencyGoal) * hedgeShare)
	timer := time.AfterFunc(delay, func() {
		result := bufferedResponse{problem: r.deadlineProblem(ctx)}
		if attempts.reserveHedge(r.route.MaxAttempts, r.handler.hedges.spend) {
			hedge := r.hedgeAttempts()
			result = r.fetch(secondContext, hedge)
			hedgeMayHaveRun = hedge.countedRun
		}
		claimWin(result, cancelFirst)
		second <- result
	})
	first := r.fetch(firstContext, attempts)
	if timer.Stop() {
		cancelSecond(nil)
		return first
	}
	firstWins := claimWin(first, cancelSecond)
	other := <-second
	if !firstWins && (other.served() || first.problem != nil && other.problem == nil) {
		first.finishLoser(firstContext)
		return other
	}
	other.finishLoser(secondContext)
	if first.problem != nil && hedgeMayHaveRun {
		return other // the problem of the first send may state that the request has not run
	}
	return first
}

// served reports whether there is an answer that is not a failure.
func (w bufferedResponse) served() bool { return w.problem == nil && !w.current.isServerError() }

// finishLoser ends the attempt of an answer that is not forwarded, if there is one. ctx is the context
// of the send.
func (w bufferedResponse) finishLoser(ctx context.Context) {
	switch {
	case w.problem != nil:
	case w.current.isServerError():
		w.current.finish(placement.ServerError, w.current.serverErrorText())
	default:
		w.current.finish(cancelledOutcome(ctx), "")
	}
}

// hedgeAttempts returns the tracker of a hedged send: it excludes the engines that were tried so far,
// and may run on one engine.
func (r *request) hedgeAttempts() *attemptTracker {
	r.reportMutex.Lock()
	defer r.reportMutex.Unlock()
	others := r.route.MaxAttempts - 1
	attempts := &attemptTracker{runs: others, offers: others, mayHaveRun: true}
	for _, entry := range r.report.Attempts {
		attempts.tried = append(attempts.tried, entry.Engine)
	}
	return attempts
}
