package tablestore

import (
	"slices"
	"time"
)

// submission is one transaction waiting for its result.
type submission struct {
	transaction Transaction
	queuedAt    time.Time
	dequeued    bool        // out of the queue
	throttled   bool        // rejected by the rate limit at least once
	cancelled   bool        // its submitter no longer waits
	answers     chan answer // holds one
}

// answer is the result that a submitter gets.
type answer struct {
	receipt Receipt
	err     error
}

func newSubmission(transaction Transaction, now time.Time) *submission {
	return &submission{transaction: transaction, queuedAt: now, answers: make(chan answer, 1)}
}

// rejection returns the error of a submission that was not applied and never will be.
func (s *submission) rejection() error {
	if s.throttled {
		return ErrThrottled
	}
	return ErrUnavailable
}

// KeyLocks are the locks on the keys of transactions in flight. Transactions may
// share a key that all of them only read, in a condition. Not safe for concurrent use.
type KeyLocks struct {
	written map[string]bool
	readers map[string]int
}

// NewKeyLocks returns an empty set of locks.
func NewKeyLocks() KeyLocks {
	return KeyLocks{written: make(map[string]bool), readers: make(map[string]int)}
}

// Collides reports whether the transaction must wait for one that holds a lock.
func (k KeyLocks) Collides(transaction Transaction) bool {
	for _, write := range transaction.Writes {
		if k.written[write.Key] || k.readers[write.Key] > 0 {
			return true
		}
	}
	for _, condition := range transaction.Conditions {
		if k.written[condition.Key] {
			return true
		}
	}
	return false
}

// Lock locks the transaction's keys.
func (k KeyLocks) Lock(transaction Transaction) {
	for _, write := range transaction.Writes {
		k.written[write.Key] = true
	}
	for _, condition := range transaction.Conditions {
		k.readers[condition.Key]++
	}
}

// Unlock unlocks the transaction's keys.
func (k KeyLocks) Unlock(transaction Transaction) {
	for _, write := range transaction.Writes {
		delete(k.written, write.Key)
	}
	for _, condition := range transaction.Conditions {
		k.readers[condition.Key]--
		if k.readers[condition.Key] == 0 {
			delete(k.readers, condition.Key)
		}
	}
}

// queue holds submissions in order of arrival. It is not safe for concurrent
// use.
type queue struct {
	waiting []*submission
	rows    int // written by all queued submissions
}

func (q *queue) push(s *submission) {
	q.waiting = append(q.waiting, s)
	q.rows += len(s.transaction.Writes)
}

// pushFront puts submissions back at the front of the queue.
func (q *queue) pushFront(submissions []*submission) {
	q.waiting = slices.Concat(submissions, q.waiting)
	for _, s := range submissions {
		s.dequeued = false
		q.rows += len(s.transaction.Writes)
	}
}

// next returns, oldest first, the submissions that may form one group now: at
// most maxRows rows, except that a larger submission forms a group alone.
// Transactions that collide with locked keys, with each other or with an older
// one that has to wait stay in the queue, so that the order of arrival holds
// for each key.
func (q *queue) next(held KeyLocks, maxRows int) (group []*submission, rows int) {
	claimed := NewKeyLocks()
	for _, s := range q.waiting {
		size := len(s.transaction.Writes)
		if len(group) > 0 && rows+size > maxRows {
			break
		}
		if !held.Collides(s.transaction) && !claimed.Collides(s.transaction) {
			group = append(group, s)
			rows += size
		}
		claimed.Lock(s.transaction)
	}
	return group, rows
}

// remove removes submissions from the queue.
func (q *queue) remove(submissions ...*submission) {
	for _, s := range submissions {
		s.dequeued = true
		q.rows -= len(s.transaction.Writes)
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(s *submission) bool { return s.dequeued })
}

// removeAll removes and returns all submissions.
func (q *queue) removeAll() []*submission {
	all := q.waiting
	for _, s := range all {
		s.dequeued = true
	}
	*q = queue{}
	return all
}
