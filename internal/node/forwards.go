package node

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errMemberDead ends the wait for a member that counts as dead: it may be
// paused with its connections open, and would never answer.
var errMemberDead = errors.New("member counts as dead")

// forwards are the requests that wait for an answer, by member. Safe for
// concurrent use; the mutex is held for a few instructions only.
type forwards struct {
	mutex   sync.Mutex
	next    uint64
	waiting map[string]map[uint64]context.CancelCauseFunc
}

func newForwards() *forwards {
	return &forwards{waiting: make(map[string]map[uint64]context.CancelCauseFunc)}
}

// begin returns a context that ends when the member dies, and a function to
// call when the answer is there.
func (f *forwards) begin(ctx context.Context, member string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.next++
	number := f.next
	if f.waiting[member] == nil {
		f.waiting[member] = make(map[uint64]context.CancelCauseFunc)
	}
	f.waiting[member][number] = cancel
	return ctx, func() {
		cancel(nil)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.waiting[member], number)
		if len(f.waiting[member]) == 0 {
			delete(f.waiting, member)
		}
	}
}

// memberDied ends every wait for the member.
func (f *forwards) memberDied(member string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, cancel := range f.waiting[member] {
		cancel(errMemberDead)
	}
}
