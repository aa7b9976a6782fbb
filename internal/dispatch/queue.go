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

// queuePeriod is how often the queue is looked at when nothing else happens:
// calls age, and deadlines pass.
const queuePeriod = 50 * time.Millisecond

// idleRefresh is how often the views of engines are refreshed while no call
// waits, unless an engine began to leave: as often as an engine is observed.
const idleRefresh = backend.DefaultObserveInterval

// queue drives the scheduler's core in real time. The mutex serialises the
// core, which is not safe for concurrent use; it is never held over I/O.
//
// Calls don't wait for the mutex. Each puts what it wants of the core into the
// inbox; the first to find nobody at work takes all that is there, passes it
// to the core in one go and delivers the answers.
type queue struct {
	fleet    *Fleet
	recorder explain.Recorder
	inbox    inbox

	mutex       sync.Mutex
	core        *scheduler.Core
	waiting     map[string]chan<- answer // by call id
	refreshedAt time.Time                // when the core last got views of the engines
}

// answer ends a call's wait: an assignment or a refusal.
type answer struct {
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
		waiting:  make(map[string]chan<- answer),
	}
}

// apply puts a bundle's weights in force.
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
	q.core.SetClass(func(name string) float64 { return classWorth(snapshot, name) })
	q.core.SetTenantWeight(func(name string) float64 {
		if tenant, ok := snapshot.Tenant(name); ok && tenant.Weight > 0 {
			return tenant.Weight
		}
		return 1
	})
	q.setEngines(q.fleet.Views())
}

// run refreshes the engines' views and looks at the queue until ctx ends.
func (q *queue) run(ctx context.Context) {
	ticker := time.NewTicker(queuePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		q.look(time.Now())
	}
}

// look refreshes the views and advances the queue, if calls wait or the views
// may be out of date.
func (q *queue) look(now time.Time) {
	q.deliver(q.refresh(now))
}

// refresh is the part of look under the mutex.
func (q *queue) refresh(now time.Time) []delivery {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	idle := len(q.waiting) == 0 && now.Sub(q.refreshedAt) < idleRefresh
	if idle && !q.fleet.urgent.Swap(false) {
		return nil
	}
	q.refreshedAt = now
	q.setEngines(q.fleet.Views())
	return q.advance(nil, now)
}

// setEngines gives the core the newest views, without engines of which no
// report has come yet: the core sets its limit of own calls at an engine by the
// batch size in the first view that it gets. The mutex is held.
func (q *queue) setEngines(views []scheduler.EngineView) {
	observed := make([]scheduler.EngineView, 0, len(views))
	for _, view := range views {
		if !view.ObservedAt.IsZero() {
			observed = append(observed, view)
		}
	}
	q.core.SetEngines(observed)
}

// acquire waits for an engine. When ctx ends first the call is withdrawn,
// and was not run.
func (q *queue) acquire(ctx context.Context, call scheduler.Call) (scheduler.Assignment, *api.Error) {
	waiter := make(chan answer, 1)
	q.perform(submit{call: call, waiter: waiter})
	select {
	case given := <-waiter:
		return given.assignment, given.refusal
	case <-ctx.Done():
		return scheduler.Assignment{}, q.withdraw(ctx, call.ID, waiter)
	}
}

// withdraw takes a call out of the queue, or gives its engine back if it was
// assigned at the same moment.
func (q *queue) withdraw(ctx context.Context, callID string, waiter <-chan answer) *api.Error {
	refusal := api.Errorf(api.DeadlineExceeded, "%s while it was queued", cancelDetail(ctx)).After(retryLater)
	q.perform(withdraw{callID: callID, refusal: refusal})
	if given := <-waiter; given.refusal == nil {
		q.finish(callID, scheduler.Result{Engine: given.assignment.Engine, Succeeded: true})
	}
	return refusal
}

// finish gives an engine's place back, now or soon.
func (q *queue) finish(callID string, result scheduler.Result) {
	q.perform(finish{callID: callID, result: result})
}

// perform hands an operation to the core, in the order of the calls. It
// returns when the operation is done or another goroutine has taken it over.
func (q *queue) perform(wanted operation) {
	if q.inbox.add(wanted) {
		q.work()
	}
}

// work performs all operations in the inbox. What has come meanwhile is left
// to a goroutine of its own, so that no call is held up by many others.
func (q *queue) work() {
	q.deliver(q.performAll(q.inbox.take()))
	if q.inbox.leave() {
		go q.work()
	}
}

func (q *queue) performAll(operations []operation) []delivery {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	var deliveries []delivery
	for _, wanted := range operations {
		deliveries = wanted.perform(q, deliveries, now)
	}
	return q.advance(deliveries, now)
}

// advance hands out whatever fits now. The mutex is held.
func (q *queue) advance(deliveries []delivery, now time.Time) []delivery {
	assignments, refusals := q.core.Next(now)
	for _, assignment := range assignments {
		deliveries = q.answered(deliveries, assignment.Call.ID, answer{assignment: assignment}, &assignment.Decision)
	}
	for _, refusal := range refusals {
		deliveries = q.answered(deliveries, refusal.Call.ID, answer{refusal: refusal.Error}, &refusal.Decision)
	}
	return deliveries
}

// answered takes a call that has its answer off the list of those that wait.
// The mutex is held.
func (q *queue) answered(deliveries []delivery, callID string, given answer, decision *explain.Decision) []delivery {
	waiter := q.waiting[callID]
	delete(q.waiting, callID)
	return append(deliveries, delivery{waiter: waiter, answer: given, decision: decision})
}

// delivery is an answer on its way to the call that waits for it.
type delivery struct {
	waiter   chan<- answer // nil if nobody waits
	answer   answer
	decision *explain.Decision // to be recorded first; may be nil
}

// deliver records decisions and wakes the calls that they are about. The mutex
// is not held.
func (q *queue) deliver(deliveries []delivery) {
	for _, ready := range deliveries {
		if ready.decision != nil {
			q.recorder.Record(*ready.decision)
		}
		if ready.waiter != nil {
			ready.waiter <- ready.answer
		}
	}
}
