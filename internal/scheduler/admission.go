package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/api"
)

// modelCapacity is the combined capacity of the engines that can serve one model.
type modelCapacity struct {
	usable         int     // engines that pass every filter that does not depend on the call
	free           int     // sum of their free slots
	callsPerSecond float64 // rate at which they finish this node's calls
	evacuated      int     // number of further engines that are in evacuated zones
	ignoreEjection bool    // all of them are ejected, so ejection is ignored
}

// capacityOf returns the combined capacity of the model's engines. Ejected engines count
// only if every usable engine is ejected.
func (c *Core) capacityOf(model string, now time.Time) modelCapacity {
	var healthy, all modelCapacity
	anyCall := c.modelRequest(model, now)
	for _, e := range c.engines {
		switch firstRejection(modelFilters, anyCall, e) {
		case "":
		case filterEvacuated{}.name():
			healthy.evacuated++
			all.evacuated++
			continue
		default:
			continue
		}
		all.add(e, now)
		if !e.ejected(now) {
			healthy.add(e, now)
		}
	}
	if healthy.usable > 0 {
		return healthy
	}
	all.ignoreEjection = true
	return all
}

// add adds the capacity of one engine.
func (m *modelCapacity) add(e *engine, now time.Time) {
	slots := max(1, e.slots(now))
	m.usable++
	m.free += max(0, e.freeSlots(now))
	m.callsPerSecond += float64(slots) * 1000 / max(1, e.serviceMillis)
}

// Submit queues a call, or refuses it at once: with NoReadyBackend when no engine
// can serve it, with DeadlineExceeded when it would wait past its deadline, and
// with Overloaded when the queue is full. If the queue is full, a call of a tenant
// that has fewer queued calls per weight displaces the last call of the tenant
// that has the most; Schedule returns the displaced call's refusal.
func (c *Core) Submit(call Call, now time.Time) *Refusal {
	if c.origin.IsZero() {
		c.origin = now
	}
	if c.isActive(call.ID) {
		return c.refuse(&call, 0, now, api.Errorf(api.Internal, "call %s was submitted twice", call.ID))
	}
	queue := c.queueFor(call.Model)
	queue.capacity = c.capacityOf(call.Model, now)
	if refusal := c.refuseUnservable(&call, queue, now); refusal != nil {
		return refusal
	}
	entry := &queuedCall{call: call, queued: now, heapIndex: -1, arrival: c.arrivals}
	c.arrivals++
	entry.rank = c.rank(&entry.call, now)
	entry.rankedLate = call.late(now)
	entry.tenantQueue = queue.forTenant(c.tenantFor(call.Tenant))
	if refusal := c.refuseLate(entry, now); refusal != nil {
		return refusal
	}
	if refusal := c.makeRoom(entry, now); refusal != nil {
		return refusal
	}
	c.enqueue(entry)
	return nil
}

// isActive reports whether a call is queued or in flight.
func (c *Core) isActive(callID string) bool {
	if _, queued := c.queuedByID[callID]; queued {
		return true
	}
	_, inFlight := c.inFlight[callID]
	return inFlight
}

// refuseUnservable returns a refusal if no engine can serve the call, and nil otherwise.
func (c *Core) refuseUnservable(call *Call, queue *modelQueue, now time.Time) *Refusal {
	if queue.capacity.usable > 0 && len(call.Excluded) == 0 && call.Regions == nil && call.Version == "" {
		return nil
	}
	if c.evaluate(c.newRequest(call, queue, now)) > 0 {
		return nil
	}
	refusal := c.refuse(call, 0, now, c.noBackendError(call))
	c.explainCandidates(&refusal.Decision, "")
	return refusal
}

// noBackendError returns the error for a call that no engine can serve.
func (c *Core) noBackendError(call *Call) *api.Error {
	if capacity := c.queueFor(call.Model).capacity; capacity.usable == 0 && capacity.evacuated > 0 {
		return api.Errorf(api.ZonesEvacuated, "none of %d engines can serve model %s now: %d of them are in evacuated zones",
			len(c.engines), call.Model, capacity.evacuated).WithRetryAfter(c.jittered(noBackendRetryAfter))
	}
	if call.Version != "" {
		return api.Errorf(api.StreamVersionGone, "none of %d engines can serve model %s at version %s now, the version that started the stream", len(c.engines), call.Model, call.Version)
	}
	return api.Errorf(api.NoReadyBackend, "none of %d engines can serve model %s now", len(c.engines), call.Model).
		WithRetryAfter(c.jittered(noBackendRetryAfter))
}

// refuseLate returns a refusal if the call's deadline would pass before the call runs.
func (c *Core) refuseLate(entry *queuedCall, now time.Time) *Refusal {
	deadline := entry.call.Deadline
	if deadline.IsZero() {
		return nil
	}
	left := deadline.Sub(now)
	if left <= 0 {
		return c.refuse(&entry.call, 0, now, api.Errorf(api.DeadlineExceeded, "the deadline has passed"))
	}
	wait := c.estimateWait(entry)
	if wait <= left {
		return nil
	}
	return c.refuse(&entry.call, 0, now, api.Errorf(api.DeadlineExceeded,
		"estimated wait %s is longer than the %s left", wait.Round(time.Millisecond), left.Round(time.Millisecond)).
		WithRetryAfter(c.retryAfter(entry.tenantQueue.model)))
}

// estimateWait estimates how long a call would wait. It counts the calls ahead of it in
// its tenant's queue, served at the tenant's share of the rate at which engines finish
// calls; the estimate is at most the time that the whole queue takes.
func (c *Core) estimateWait(entry *queuedCall) time.Duration {
	queue := entry.tenantQueue.model
	if queue.capacity.free > queue.length {
		return 0
	}
	before, _ := slices.BinarySearchFunc(entry.tenantQueue.calls, entry, compareCalls)
	weight := entry.tenantQueue.tenant.weight
	totalWeight := weight
	for _, other := range queue.tenants {
		if other != entry.tenantQueue && len(other.calls) > 0 {
			totalWeight += other.tenant.weight
		}
	}
	ahead := min(float64(queue.length), float64(before)*totalWeight/weight)
	return secondsToDuration((ahead + 1) / queue.capacity.callsPerSecond)
}

// makeRoom does nothing if the queue has space. If it is full, makeRoom displaces another
// call, or returns a refusal of this one if there is no call to displace.
func (c *Core) makeRoom(entry *queuedCall, now time.Time) *Refusal {
	if len(c.queuedByID) < c.weights.maxQueue {
		return nil
	}
	victim := c.lastOfLargestTenant(entry)
	if victim == nil {
		return c.refuse(&entry.call, 0, now, c.overloadedError(entry))
	}
	c.dequeue(victim)
	refusal := c.refuse(&victim.call, now.Sub(victim.queued), now, c.overloadedError(victim))
	c.displaced = append(c.displaced, *refusal)
	return nil
}

// lastOfLargestTenant returns the queued call that a new call may displace, or nil.
// It is the lowest-ranked call of the tenant with the most queued calls per weight,
// provided that this is another tenant or that the new call ranks higher.
func (c *Core) lastOfLargestTenant(entry *queuedCall) *queuedCall {
	if c.policy != ProgramAware {
		return nil
	}
	callTenant := entry.tenantQueue.tenant
	largest := callTenant
	largestShare := float64(callTenant.queued+1) / callTenant.weight
	var victim *queuedCall
	for _, queue := range c.queues {
		for _, tq := range queue.tenants {
			if len(tq.calls) == 0 {
				continue
			}
			share := float64(tq.tenant.queued) / tq.tenant.weight
			last := tq.calls[len(tq.calls)-1]
			switch {
			case tq.tenant == largest:
				if victim == nil || compareCalls(last, victim) > 0 {
					victim = last
				}
			case share > largestShare:
				largest, largestShare, victim = tq.tenant, share, last
			}
		}
	}
	if largest == callTenant && victim != nil && compareCalls(entry, victim) > 0 {
		return nil
	}
	return victim
}

// overloadedError returns the error for a call that does not fit into the full queue.
func (c *Core) overloadedError(entry *queuedCall) *api.Error {
	return api.Errorf(api.Overloaded, "the queue holds its limit of %d calls", c.weights.maxQueue).
		WithRetryAfter(c.retryAfter(entry.tenantQueue.model))
}

// retryAfter returns half of the time in which the model's queue drains,
// jittered so that refused callers do not all retry together.
func (c *Core) retryAfter(queue *modelQueue) time.Duration {
	drain := secondsToDuration(float64(queue.length+1) / queue.capacity.callsPerSecond)
	return c.jittered(min(maxRetryAfter, max(minRetryAfter, drain/2)))
}

// jittered returns the delay multiplied by a random factor between 0.8 and 1.2.
func (c *Core) jittered(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (0.8 + 0.4*c.random.Float64()))
}

// secondsToDuration converts seconds to a duration. NaN, infinity and values above 1000
// times maxRetryAfter become maxRetryAfter.
func secondsToDuration(seconds float64) time.Duration {
	if math.IsNaN(seconds) || seconds > maxRetryAfter.Seconds()*1000 {
		return maxRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
