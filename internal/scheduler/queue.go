package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// queuedCall is a call that waits for an engine.
type queuedCall struct {
	call        Call
	queued      time.Time // time of Submit
	rank        float64   // higher runs first
	arrival     uint64    // breaks ties
	rankedLate  bool      // the rank includes latePenalty
	tenantQueue *tenantQueue
	heapIndex   int // in the heap of deadlines, -1 if not there

	waitsFor        *engine   // full engine that it waits for, or nil
	recheckAt       time.Time // when to evaluate it again although waitsFor is still full
	waitUntil       time.Time // no waiting for a full engine after this time; zero before the first wait
	firstWaitEngine string    // first engine that it waited for
}

// compareCalls orders by rank, then by arrival.
func compareCalls(a, b *queuedCall) int {
	if order := cmp.Compare(b.rank, a.rank); order != 0 {
		return order
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// tenantQueue contains one tenant's queued calls for one model, best first.
type tenantQueue struct {
	tenant *tenant
	model  *modelQueue
	calls  []*queuedCall
	cursor int // calls before this index have been evaluated in this pass
}

// insert adds a call at its position.
func (q *tenantQueue) insert(call *queuedCall) {
	at, _ := slices.BinarySearchFunc(q.calls, call, compareCalls)
	q.calls = slices.Insert(q.calls, at, call)
}

// remove removes a call.
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

// next returns the best call that was not evaluated in this pass, skipping those that
// still wait for a full engine; nil if none is left.
func (q *tenantQueue) next(now time.Time) *queuedCall {
	for ; q.cursor < len(q.calls); q.cursor++ {
		call := q.calls[q.cursor]
		if call.waitsFor == nil || !now.Before(call.recheckAt) || call.waitsFor.freeSlots(now) > 0 {
			return call
		}
	}
	return nil
}

// modelQueue contains the queued calls for one model.
type modelQueue struct {
	model         string
	tenants       []*tenantQueue // sorted by tenant name
	length        int
	free          int       // free slots at the model's engines in this pass
	noEngineSince time.Time // time from which no engine could serve the model; zero if one can
	capacity      modelCapacity
}

// forTenant returns the tenant's queue and creates it on first use.
func (q *modelQueue) forTenant(account *tenant) *tenantQueue {
	at, found := slices.BinarySearchFunc(q.tenants, account.name, func(t *tenantQueue, name string) int {
		return cmp.Compare(t.tenant.name, name)
	})
	if !found {
		q.tenants = slices.Insert(q.tenants, at, &tenantQueue{tenant: account, model: q})
	}
	return q.tenants[at]
}

// deadlineHeap is a heap of the queued calls that have a deadline, earliest first.
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
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	call := x.(*queuedCall)
	call.heapIndex = len(*h)
	*h = append(*h, call)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	call := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	call.heapIndex = -1
	return call
}

// enqueue adds a call to its queue.
func (c *Core) enqueue(call *queuedCall) {
	call.tenantQueue.insert(call)
	call.tenantQueue.model.length++
	call.tenantQueue.tenant.activate(c.virtualTime)
	call.tenantQueue.tenant.queued++
	c.queuedByID[call.call.ID] = call
	if !call.call.Deadline.IsZero() {
		heap.Push(&c.deadlines, call)
	}
}

// dequeue removes a call from its queue.
func (c *Core) dequeue(call *queuedCall) {
	c.stopWaiting(call)
	call.tenantQueue.remove(call)
	call.tenantQueue.model.length--
	call.tenantQueue.tenant.queued--
	delete(c.queuedByID, call.call.ID)
	if call.heapIndex >= 0 {
		heap.Remove(&c.deadlines, call.heapIndex)
	}
}

// stopWaiting ends a call's wait for a full engine.
func (c *Core) stopWaiting(call *queuedCall) {
	if call.waitsFor != nil {
		call.waitsFor.waitingFor--
		call.waitsFor = nil
	}
}
