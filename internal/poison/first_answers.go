package poison

import (
	"sync"
	"time"
)

// firstAnswers tracks what the first peers that a node has found since its start tell it. A peer that has ended tells nothing and
// is not waited for; one that does not answer in time may be late, and knows what happened before this node started. Safe for
// concurrent use.
type firstAnswers struct {
	done chan struct{} // closed once enough is known, or the limit has passed

	mutex    sync.Mutex
	waiting  int  // peers that have neither answered nor ended
	answered bool // any peer has answered
	late     bool // reportTimeout has passed, so one answer is enough
	complete bool // done is closed
}

// newFirstAnswers returns the answers of a number of peers that are about to be asked. It calls onDone when done is closed.
func newFirstAnswers(peers int, onDone func()) *firstAnswers {
	a := &firstAnswers{done: make(chan struct{}), waiting: peers}
	time.AfterFunc(reportTimeout, func() { a.update(func() { a.late = true }) })
	time.AfterFunc(maxAnswerWait, func() { a.update(func() { a.waiting = 0 }) })
	go func() {
		<-a.done
		onDone()
	}()
	return a
}

// peerAnswered records that a peer has answered. A nil receiver ignores it.
func (a *firstAnswers) peerAnswered() {
	a.update(func() { a.waiting, a.answered = a.waiting-1, true })
}

// peerEnded records that a peer has ended. A nil receiver ignores it.
func (a *firstAnswers) peerEnded() { a.update(func() { a.waiting-- }) }

// update applies a change, and closes done if enough is known.
func (a *firstAnswers) update(change func()) {
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	change()
	if !a.complete && (a.waiting <= 0 || a.answered && a.late) {
		a.complete = true
		close(a.done)
	}
}
