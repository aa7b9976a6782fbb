package simulation

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every simulation starts.
var epoch = time.Date(2025, time.January, 1, 0, 0, 0, 0, time.UTC)

// clock runs scheduled actions in the order of their times. Actions with the same time run in the
// order in which they were scheduled.
type clock struct {
	now          time.Time
	lastSequence uint64
	actions      actionHeap
}

// action is a function to run at a virtual time.
type action struct {
	at       time.Time
	sequence uint64
	run      func()
}

// at schedules run for a time. A time in the past is replaced by the current time.
func (c *clock) at(when time.Time, run func()) {
	if when.Before(c.now) {
		when = c.now
	}
	c.lastSequence++
	heap.Push(&c.actions, action{at: when, sequence: c.lastSequence, run: run})
}

// after schedules run for delay from now.
func (c *clock) after(delay time.Duration, run func()) { c.at(c.now.Add(delay), run) }

// step advances the time to the next action and runs it. It panics if no action is scheduled.
func (c *clock) step() {
	next := heap.Pop(&c.actions).(action)
	c.now = next.at
	next.run()
}

// actionHeap implements heap.Interface.
type actionHeap []action

func (h actionHeap) Len() int { return len(h) }

func (h actionHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *actionHeap) Push(x any) { *h = append(*h, x.(action)) }

// Pop implements heap.Interface.
func (h *actionHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = action{}
	*h = (*h)[:last]
	return popped
}
