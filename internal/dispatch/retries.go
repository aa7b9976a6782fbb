package dispatch

import (
	"sync"

	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// retries bounds the node's repeated attempts to a share of its fresh calls,
// so that they can't multiply the load of failing back ends. Safe for
// concurrent use.
type retries struct {
	mutex  sync.Mutex
	budget *scheduler.RetryBudget
}

func newRetries() *retries { return &retries{budget: scheduler.NewRetryBudget(0)} }

// apply puts a bundle's share in force.
func (r *retries) apply(snapshot *bundle.Snapshot) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget = scheduler.NewRetryBudget(snapshot.Bundle.Scheduling.RetryBudget)
}

// fresh counts a call's first attempt.
func (r *retries) fresh() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget.Earn()
}

// allowed takes one further attempt out of the budget, if there is one.
func (r *retries) allowed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budget.Spend()
}
