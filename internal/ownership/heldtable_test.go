package ownership

import (
	"context"
	"sync"

	standin "github.com/pewtermill/pewtermill/internal/standin/platform"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// heldTable is the table as one run of a node reaches it. Its next commit can
// be held back, as by a service that applies a write long after it was sent.
type heldTable struct {
	*standin.Platform

	mutex sync.Mutex
	next  *heldCommit
}

// heldCommit is a commit that is held back until it is let go.
type heldCommit struct {
	arrived chan struct{} // closed when it has come
	leave   chan struct{} // closed to let it go
	applied chan struct{} // closed when the table has done or declined it
}

// holdNext holds the next commit back.
func (h *heldTable) holdNext() *heldCommit {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.next = &heldCommit{arrived: make(chan struct{}), leave: make(chan struct{}), applied: make(chan struct{})}
	return h.next
}

// Commit implements tablestore.Table.
func (h *heldTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	h.mutex.Lock()
	held := h.next
	h.next = nil
	h.mutex.Unlock()
	if held == nil {
		return h.Platform.Commit(ctx, transaction)
	}
	close(held.arrived)
	<-held.leave
	defer close(held.applied)
	return h.Platform.Commit(ctx, transaction)
}
