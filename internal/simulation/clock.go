package simulation

import (
	"container/heap"
	"time"
)

// epoch is when every simulation begins, in virtual time.
var epoch = time.Date(2025, time.January, 1, 0, 0, 0, 0, time.UTC)

// clock runs scheduled actions in the order of their times; actions of the
// same time run in the order in which they were scheduled.
type clock struct {
	now     time.Time
	arrived uint64
	actions actionHeap
}

// action is something that happens at a time.
type action struct {
	at      time.Time
	arrival uint64
	run     func()
}

// at schedules an action; one in the past runs next.
func (c *clock) at(when time.Time, run func()) {
	if when.Before(c.now) {
		when = c.now
	}
	c.arrived++
	heap.Push(&c.actions, action{at: when, arrival: c.arrived, run: run})
}

// after schedules an action a while from now.
func (c *clock) after(delay time.Duration, run func()) { c.at(c.now.Add(delay), run) }

// step runs the next action; there must be one.
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
		return h[i].arrival < h[j].arrival
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
