package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// queuePeriod is how often the queue is advanced without other events: calls age, and deadlines pass.
const queuePeriod = 50 * time.Millisecond

// idleRefresh is how often the views of engines are refreshed while no call waits, unless an engine
// started to leave: as often as an engine is observed.
const idleRefresh = backend.DefaultObserveInterval

// queue drives the scheduler's core in real time. The mutex serialises access to the core, which is not
// safe for concurrent use; it is never held during I/O.
type queue struct {
	fleet    *Fleet
	recorder explain.Recorder

	mutex       sync.Mutex
	core        *scheduler.Core
	waiters     map[string]chan queueResult // by call ID
	refreshedAt time.Time                   // when the core last got views of the engines
}

// queueResult ends a call's wait: an assignment or a refusal.
type queueResult struct {
	assignment scheduler.Assignment
	refusal    *api.Error
}

func newQueue(options Options, fleet *Fleet) *queue {
	core := scheduler.New(scheduler.ProgramAware, bundle.Scheduling{}, options.Node)
	core.SetIndex(fleet)
	core.SetRecorder(options.Recorder)
	return &queue{
		fleet:    fleet,
		recorder: options.Recorder,
		core:     core,
		waiters:  make(map[string]chan queueResult),
	}
}

// apply activates a bundle's weights.
func (q *queue) apply(snapshot *bundle.Snapshot) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	weights := snapshot.Bundle.Scheduling
	policy := scheduler.PolicyName(weights.Policy)
	if policy == "" {
		policy = scheduler.ProgramAware
	}
	q.core.SetWeights(policy, weights, snapshot.Version())
	q.core.SetDistances(snapshot.DistanceMillis)
	q.core.SetClassWorth(func(name string) float64 { return classWorth(snapshot, name) })
	q.core.SetTenantWeight(func(name string) float64 {
		if tenant, ok := snapshot.Tenant(name); ok && tenant.Weight > 0 {
			return tenant.Weight
		}
		return 1
	})
	q.setEngines(q.fleet.Views())
}

// run refreshes the engines' views and advances the queue until ctx ends.
func (q *queue) run(ctx context.Context) {
	ticker := time.NewTicker(queuePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		q.tick(time.Now())
	}
}

// tick refreshes the views and advances the queue, if calls wait or the views may be outdated.
func (q *queue) tick(now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	idle := len(q.waiters) == 0 && now.Sub(q.refreshedAt) < idleRefresh
	if idle && !q.fleet.viewsChanged.Swap(false) {
		return
	}
	q.refreshedAt = now
	q.setEngines(q.fleet.Views())
	q.dispatchReady(now)
}

// setEngines sets the core's views of the engines, without engines that have not been observed yet: the
// core derives its limit of own calls at an engine from the batch size in the first view of it. The
// mutex must be held.
func (q *queue) setEngines(views []scheduler.EngineView) {
	observed := make([]scheduler.EngineView, 0, len(views))
	for _, view := range views {
		if !view.ObservedAt.IsZero() {
			observed = append(observed, view)
		}
	}
	q.core.SetEngines(observed)
}

// acquire waits for an engine. If ctx ends first, the call is withdrawn and was not run.
func (q *queue) acquire(ctx context.Context, call scheduler.Call) (scheduler.Assignment, *api.Error) {
	waiter := make(chan queueResult, 1)
	q.mutex.Lock()
	if refusal := q.core.Submit(call, call.Submitted); refusal != nil {
		q.mutex.Unlock()
		q.recorder.Record(refusal.Decision)
		return scheduler.Assignment{}, refusal.Error
	}
	q.waiters[call.ID] = waiter
	q.dispatchReady(call.Submitted)
	q.mutex.Unlock()
	select {
	case result := <-waiter:
		return result.assignment, result.refusal
	case <-ctx.Done():
		return q.withdraw(ctx, call, waiter)
	}
}

// withdraw removes a call from the queue, or releases its engine if it was assigned at the same moment.
func (q *queue) withdraw(ctx context.Context, call scheduler.Call, waiter chan queueResult) (scheduler.Assignment, *api.Error) {
	now := time.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if _, queued := q.waiters[call.ID]; queued {
		q.core.Withdraw(call.ID, now)
		delete(q.waiters, call.ID)
	} else if result := <-waiter; result.refusal == nil {
		q.core.Finish(call.ID, scheduler.Result{Engine: result.assignment.Engine, Succeeded: true}, now)
		q.dispatchReady(now)
	}
	refusal := api.Errorf(api.DeadlineExceeded, "%s while it was queued", cancelDetail(ctx)).WithRetryAfter(backendRetryAfter)
	q.recorder.Record(explain.Decision{
		At:       now,
		Kind:     explain.Refused,
		Program:  call.Program,
		Tenant:   call.Tenant,
		Sequence: call.Sequence,
		Target:   call.Model,
		Code:     int(refusal.Code),
		Reason:   refusal.Detail,
	})
	return scheduler.Assignment{}, refusal
}

// finish releases the slot of a call at its engine.
func (q *queue) finish(callID string, result scheduler.Result) {
	now := time.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.core.Finish(callID, result, now)
	q.dispatchReady(now)
}

// dispatchReady delivers the assignments and refusals that the core decides now. The mutex must be held.
func (q *queue) dispatchReady(now time.Time) {
	assignments, refusals := q.core.Schedule(now)
	for _, assignment := range assignments {
		q.recorder.Record(assignment.Decision)
		q.deliver(assignment.Call.ID, queueResult{assignment: assignment})
	}
	for _, refusal := range refusals {
		q.recorder.Record(refusal.Decision)
		q.deliver(refusal.Call.ID, queueResult{refusal: refusal.Error})
	}
}

func (q *queue) deliver(callID string, result queueResult) {
	if waiter, ok := q.waiters[callID]; ok {
		delete(q.waiters, callID)
		waiter <- result
	}
}
