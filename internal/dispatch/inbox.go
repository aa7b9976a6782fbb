package dispatch

import (
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// operation is something that a call wants of the scheduler's core.
type operation interface {
	// perform does it and adds the answers that follow at once. The queue's
	// mutex is held.
	perform(q *queue, deliveries []delivery, now time.Time) []delivery
}

// submit queues a call. Its waiter, of capacity 1, gets exactly one answer.
type submit struct {
	call   scheduler.Call
	waiter chan<- answer
}

func (s submit) perform(q *queue, deliveries []delivery, now time.Time) []delivery {
	if refusal := q.core.Submit(s.call, now); refusal != nil {
		return append(deliveries, delivery{waiter: s.waiter, answer: answer{refusal: refusal.Error}, decision: &refusal.Decision})
	}
	q.waiting[s.call.ID] = s.waiter
	return deliveries
}

// withdraw answers a queued call with a refusal; a call that has its answer
// keeps it.
type withdraw struct {
	callID  string
	refusal *api.Error
}

func (w withdraw) perform(q *queue, deliveries []delivery, now time.Time) []delivery {
	if _, queued := q.waiting[w.callID]; !queued {
		return deliveries
	}
	q.core.Withdraw(w.callID, now)
	return q.answered(deliveries, w.callID, answer{refusal: w.refusal}, nil)
}

// finish gives back the place of a call that has ended.
type finish struct {
	callID string
	result scheduler.Result
}

func (f finish) perform(q *queue, deliveries []delivery, now time.Time) []delivery {
	q.core.Finish(f.callID, f.result, now)
	return deliveries
}

// inbox holds the operations that wait for the core, in order, and knows
// whether a goroutine is at work on them. Safe for concurrent use.
type inbox struct {
	mutex      sync.Mutex
	operations []operation
	working    bool
}

// add puts an operation in. It is true if nobody is at work; then the caller
// has to be.
func (i *inbox) add(wanted operation) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.operations = append(i.operations, wanted)
	if i.working {
		return false
	}
	i.working = true
	return true
}

// take empties the inbox. Only who is at work may call it.
func (i *inbox) take() []operation {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	taken := i.operations
	i.operations = nil
	return taken
}

// leave ends the work if the inbox is empty. Otherwise it is true, and the
// work has to go on.
func (i *inbox) leave() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.working = len(i.operations) > 0
	return i.working
}
