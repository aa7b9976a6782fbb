package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// hedgeShare is the part of a route's goal after which a safe request that has
// no answer yet is sent to a second engine as well.
const hedgeShare = 0.9

// hedgeBudget is the most second sends for each safe request. It is enough for
// engines that lose some answers, and too little to double the load of engines
// that are merely slow.
const hedgeBudget = 0.1

// hedges is the budget of second sends. Safe for concurrent use.
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
	return r.route.Kind == routing.Safe && r.route.MaxAttempts > 1 && r.route.Goal > 0
}

// fetchHedged fetches an answer, from a second engine as well if the first has
// none in time. The first answer wins, and the other send is cancelled.
func (r *request) fetchHedged(ctx context.Context) whole {
	r.handler.hedges.earn()
	firstContext, cancelFirst := context.WithCancelCause(ctx)
	secondContext, cancelSecond := context.WithCancelCause(ctx)
	defer cancelFirst(nil)
	defer cancelSecond(nil)
	second := make(chan whole, 1)
	delay := time.Duration(float64(r.route.Goal) * hedgeShare)
	timer := time.AfterFunc(delay, func() {
		got := whole{problem: r.outOfTime()}
		if r.handler.hedges.spend() {
			got = r.fetch(secondContext, r.attemptsSoFar())
		}
		second <- got
		if got.problem == nil {
			cancelFirst(errOvertaken)
		}
	})
	first := r.fetch(firstContext, &attempts{})
	if timer.Stop() {
		return first
	}
	if first.problem == nil {
		cancelSecond(errOvertaken)
	}
	other := <-second
	switch {
	case first.problem != nil && other.problem == nil:
		return other
	case first.problem == nil && other.problem == nil:
		other.current.finish(cancelledOutcome(secondContext), "")
	}
	return first
}

// attemptsSoFar returns what is known of the request's sends, as the start of
// a second one beside them.
func (r *request) attemptsSoFar() *attempts {
	r.reportMutex.Lock()
	defer r.reportMutex.Unlock()
	made := &attempts{runs: 1, offers: 1, ran: true}
	for _, try := range r.report.Tries {
		made.tried = append(made.tried, try.Engine)
	}
	return made
}
