package dispatch

import (
	"sync"

	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// retries limits the node's retries to a fraction of its calls, so that they cannot multiply the load of
// failing back ends. Safe for concurrent use.
type retries struct {
	mutex  sync.Mutex
	budget *scheduler.RetryBudget
}

func newRetries() *retries { return &retries{budget: scheduler.NewRetryBudget(0)} }

// apply activates a bundle's retry fraction.
func (r *retries) apply(snapshot *bundle.Snapshot) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget = scheduler.NewRetryBudget(snapshot.Bundle.Scheduling.RetryBudget)
}

// earn counts a call's first attempt.
func (r *retries) earn() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget.Earn()
}

// spend takes one retry out of the budget, and reports whether there was one.
func (r *retries) spend() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budget.Spend()
}
