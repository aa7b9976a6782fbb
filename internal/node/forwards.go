package node

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errMemberDead ends the wait for a member that is considered dead. The member may be
// paused with its connections open and would then never reply.
var errMemberDead = errors.New("member is considered dead")

// forwards holds the requests that wait for a reply, by member. Safe for
// concurrent use; the mutex is held for a few instructions only.
type forwards struct {
	mutex   sync.Mutex
	next    uint64
	pending map[string]map[uint64]context.CancelCauseFunc
}

func newForwards() *forwards {
	return &forwards{pending: make(map[string]map[uint64]context.CancelCauseFunc)}
}

// begin returns a context that ends when the member dies, and a function to
// call when the reply has arrived.
func (f *forwards) begin(ctx context.Context, member string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.next++
	number := f.next
	if f.pending[member] == nil {
		f.pending[member] = make(map[uint64]context.CancelCauseFunc)
	}
	f.pending[member][number] = cancel
	return ctx, func() {
		cancel(nil)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.pending[member], number)
		if len(f.pending[member]) == 0 {
			delete(f.pending, member)
		}
	}
}

// cancelMember ends every wait for the member.
func (f *forwards) cancelMember(member string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, cancel := range f.pending[member] {
		cancel(errMemberDead)
	}
}
