package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/explain"
)

// Schedule assigns as many queued calls as fit now, and refuses those whose
// deadline has passed, that were displaced, or that no engine can serve.
// The owner of the core calls it after every Submit, Finish and SetEngines, and at
// least every few hundred milliseconds while calls are queued.
func (c *Core) Schedule(now time.Time) ([]Assignment, []Refusal) {
	refusals := c.displaced
	c.displaced = nil
	refusals = c.refuseExpired(refusals, now)
	for _, queue := range c.queues {
		refusals = c.beginPass(queue, refusals, now)
	}
	var assignments []Assignment
	for {
		call := c.pick(now)
		if call == nil {
			return assignments, refusals
		}
		assignments, refusals = c.place(call, assignments, refusals, now)
	}
}

// refuseExpired refuses the queued calls whose deadline has passed.
func (c *Core) refuseExpired(refusals []Refusal, now time.Time) []Refusal {
	for len(c.deadlines) > 0 && !c.deadlines[0].call.Deadline.After(now) {
		call := c.deadlines[0]
		c.dequeue(call)
		refusals = append(refusals, *c.refuse(&call.call, now.Sub(call.queued), now,
			api.Errorf(api.DeadlineExceeded, "the deadline passed while the call was queued")))
	}
	return refusals
}

// beginPass starts a scheduling pass for a model: it counts the model's free slots. If no
// engine has been able to serve the model for noEngineGrace, or its engines are evacuated, it
// refuses the model's calls.
func (c *Core) beginPass(queue *modelQueue, refusals []Refusal, now time.Time) []Refusal {
	queue.free = 0
	if queue.length == 0 {
		queue.noEngineSince = time.Time{}
		return refusals
	}
	queue.capacity = c.capacityOf(queue.model, now)
	queue.free = queue.capacity.free
	for _, tq := range queue.tenants {
		tq.cursor = 0
		c.rerankLate(tq, now)
	}
	if queue.capacity.usable > 0 {
		queue.noEngineSince = time.Time{}
		return refusals
	}
	if queue.noEngineSince.IsZero() {
		queue.noEngineSince = now
	}
	if now.Sub(queue.noEngineSince) < noEngineGrace && queue.capacity.evacuated == 0 {
		return refusals
	}
	for _, tq := range queue.tenants {
		for len(tq.calls) > 0 {
			refusals = append(refusals, c.refuseQueued(tq.calls[0], now))
		}
	}
	return refusals
}

// refuseQueued refuses a queued call that no engine can serve.
func (c *Core) refuseQueued(call *queuedCall, now time.Time) Refusal {
	c.evaluate(c.newRequest(&call.call, call.tenantQueue.model, now))
	c.dequeue(call)
	refusal := c.refuse(&call.call, now.Sub(call.queued), now, c.noBackendError(&call.call))
	c.explainCandidates(&refusal.Decision, "")
	return *refusal
}

// newRequest returns the input of the plugins. The next newRequest overwrites it.
func (c *Core) newRequest(call *Call, queue *modelQueue, now time.Time) *request {
	c.callRequest = request{
		call:           call,
		now:            now,
		weights:        &c.weights,
		index:          c.index,
		distance:       c.distance,
		local:          c.local,
		cold:           c.cold,
		engineCount:    len(c.engines),
		ignoreEjection: queue.capacity.ignoreEjection,
	}
	return &c.callRequest
}

// modelRequest returns a request for modelFilters only, which read nothing of a call but
// its model. The next modelRequest overwrites it.
func (c *Core) modelRequest(model string, now time.Time) *request {
	c.probeCall.Model = model
	c.probeRequest = request{call: &c.probeCall, now: now, weights: &c.weights, cold: c.cold}
	return &c.probeRequest
}

// place evaluates the engines for one call, and assigns the call, leaves it queued, or
// refuses it when every engine that could serve it has been tried.
func (c *Core) place(call *queuedCall, assignments []Assignment, refusals []Refusal, now time.Time) ([]Assignment, []Refusal) {
	c.stopWaiting(call)
	if c.evaluate(c.newRequest(&call.call, call.tenantQueue.model, now)) == 0 {
		return assignments, append(refusals, c.refuseQueued(call, now))
	}
	chosen := c.choose(&call.call)
	if chosen < 0 {
		call.tenantQueue.cursor++
		return assignments, refusals
	}
	if c.waitForBetter(call, chosen, now) {
		call.tenantQueue.cursor++
		return assignments, refusals
	}
	return append(assignments, c.assign(call, chosen, now)), refusals
}

// waitForBetter reports whether a call stays queued for a full engine whose total, wait
// included, is below that of the best free engine: waiting for the engine that has the
// prefix cached then costs less than prefilling on another one. The wait is at most the
// time that it may save, counted from its start.
func (c *Core) waitForBetter(call *queuedCall, free int, now time.Time) bool {
	if c.policy != ProgramAware {
		return false
	}
	better := c.chooseTotal(func(cand *candidate) bool { return cand.usable() && cand.full })
	if better < 0 || c.candidates[better].total >= c.candidates[free].total {
		return false
	}
	full := &c.candidates[better]
	if call.waitUntil.IsZero() {
		gain := c.candidates[free].total - (full.total - full.scores[waitScorer])
		call.waitUntil = now.Add(millis(gain))
		call.firstWaitEngine = full.engine.view.Name
		c.recordWait(call, full, &c.candidates[free], now)
	}
	if !now.Before(call.waitUntil) {
		return false
	}
	call.waitsFor = full.engine
	call.waitsFor.waitingFor++
	call.recheckAt = call.waitUntil
	if expected := now.Add(millis(full.scores[waitScorer] / c.weights.wait)); expected.After(now) && expected.Before(call.recheckAt) {
		call.recheckAt = expected
	}
	return true
}

// recordWait records the decision that a call waits for a full engine.
func (c *Core) recordWait(call *queuedCall, full, free *candidate, now time.Time) {
	if c.recorder == nil {
		return
	}
	decision := c.newDecision(explain.Queued, &call.call, now.Sub(call.queued), now)
	decision.Reason = fmt.Sprintf("waits for %s, which is full: %.0f ms there with the wait, %.0f ms on %s, the best free engine",
		full.engine.view.Name, full.total, free.total, free.engine.view.Name)
	c.explainCandidates(&decision, "")
	c.record(decision)
}

// assign assigns a queued call to the candidate at a position.
func (c *Core) assign(call *queuedCall, position int, now time.Time) Assignment {
	chosen := &c.candidates[position]
	e := chosen.engine
	firstWait := call.firstWaitEngine
	c.dequeue(call)
	service := millis(e.prefillMillis(chosen.missing) + e.decodeMillis(&call.call))
	account := call.tenantQueue.tenant
	account.inFlight++
	account.charge(service)
	c.inFlight[call.call.ID] = inFlightCall{engine: e, tenant: account, assigned: now, charged: service}
	c.lastRoundRobin = e.view.Name

	decision := c.newDecision(explain.Placed, &call.call, now.Sub(call.queued), now)
	decision.Chosen = e.view.Name
	decision.Reason = c.placementReason(&call.call, position, firstWait)
	c.explainCandidates(&decision, e.view.Name)

	e.setInFlight(e.inFlight+1, now)
	sendBy := c.cold.Assigned(e.view.Name, now)
	e.rememberPrefix(call.call.PrefixBlocks, now)
	for _, queue := range c.queues {
		if slices.Contains(e.view.Models, queue.model) {
			queue.free--
		}
	}
	return Assignment{Call: call.call, Engine: e.view.Name, SendBy: sendBy, Decision: decision}
}

// millis converts estimated milliseconds to a duration between zero and one hour; NaN gives zero.
func millis(value float64) time.Duration {
	const hour = float64(time.Hour / time.Millisecond)
	if math.IsNaN(value) {
		return 0
	}
	return time.Duration(min(hour, max(0, value)) * float64(time.Millisecond))
}
