package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// queuedCall is a call that waits for an engine.
type queuedCall struct {
	call     Call
	queued   time.Time // of Submit
	rank     float64   // higher runs first
	arrival  uint64    // breaks ties
	late     bool      // it is ranked as late
	owner    *tenantQueue
	position int // in the heap of deadlines, -1 if not there

	waitsFor       *engine   // full engine that it waits for, or nil
	recheckAt      time.Time // when to judge again although waitsFor is still full
	patienceEnds   time.Time // no waiting for a full engine after this; zero before the first wait
	patienceEngine string    // first engine that it waited for
}

// compareCalls orders by rank, then by arrival.
func compareCalls(a, b *queuedCall) int {
	if order := cmp.Compare(b.rank, a.rank); order != 0 {
		return order
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// tenantQueue holds one tenant's queued calls for one model, best first.
type tenantQueue struct {
	tenant *tenant
	model  *modelQueue
	calls  []*queuedCall
	cursor int // calls before it have been looked at in this pass
}

// insert adds a call at its place.
func (q *tenantQueue) insert(call *queuedCall) {
	at, _ := slices.BinarySearchFunc(q.calls, call, compareCalls)
	q.calls = slices.Insert(q.calls, at, call)
}

// remove takes a call out.
func (q *tenantQueue) remove(call *queuedCall) {
	at, found := slices.BinarySearchFunc(q.calls, call, compareCalls)
	if !found {
		return
	}
	q.calls = slices.Delete(q.calls, at, at+1)
	if at < q.cursor {
		q.cursor--
	}
}

// next returns the best call not yet looked at in this pass, passing over
// those that still wait for a full engine; nil if none is left.
func (q *tenantQueue) next(now time.Time) *queuedCall {
	for ; q.cursor < len(q.calls); q.cursor++ {
		call := q.calls[q.cursor]
		if call.waitsFor == nil || !now.Before(call.recheckAt) || call.waitsFor.freeSlots(now) > 0 {
			return call
		}
	}
	return nil
}

// modelQueue holds the queued calls for one model.
type modelQueue struct {
	model         string
	tenants       []*tenantQueue // sorted by tenant name
	length        int
	free          int       // free slots at the model's engines in this pass
	strandedSince time.Time // since when no engine could serve the model; zero if one can
	capacity      modelCapacity
}

// forTenant returns the tenant's queue, made on first use.
func (q *modelQueue) forTenant(owner *tenant) *tenantQueue {
	at, found := slices.BinarySearchFunc(q.tenants, owner.name, func(t *tenantQueue, name string) int {
		return cmp.Compare(t.tenant.name, name)
	})
	if !found {
		q.tenants = slices.Insert(q.tenants, at, &tenantQueue{tenant: owner, model: q})
	}
	return q.tenants[at]
}

// deadlineHeap orders queued calls with a deadline by it.
type deadlineHeap []*queuedCall

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].call.Deadline.Equal(h[j].call.Deadline) {
		return h[i].arrival < h[j].arrival
	}
	return h[i].call.Deadline.Before(h[j].call.Deadline)
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	call := x.(*queuedCall)
	call.position = len(*h)
	*h = append(*h, call)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	call := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	call.position = -1
	return call
}

// enqueue puts a call into its queue.
func (c *Core) enqueue(call *queuedCall) {
	call.owner.insert(call)
	call.owner.model.length++
	call.owner.tenant.activate(c.virtualTime)
	call.owner.tenant.queued++
	c.queuedByID[call.call.ID] = call
	if !call.call.Deadline.IsZero() {
		heap.Push(&c.deadlines, call)
	}
}

// dequeue takes a call out of its queue.
func (c *Core) dequeue(call *queuedCall) {
	c.stopWaiting(call)
	call.owner.remove(call)
	call.owner.model.length--
	call.owner.tenant.queued--
	delete(c.queuedByID, call.call.ID)
	if call.position >= 0 {
		heap.Remove(&c.deadlines, call.position)
	}
}

// stopWaiting ends a call's wait for a full engine.
func (c *Core) stopWaiting(call *queuedCall) {
	if call.waitsFor != nil {
		call.waitsFor.waitingFor--
		call.waitsFor = nil
	}
}
