package commitgroup

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// cancellableService is a table service that takes 20 ms per call, or ends with the context of its caller.
type cancellableService struct{ *faultyTable }

// Commit implements tablestore.Table.
func (c cancellableService) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	select {
	case <-ctx.Done():
		return tablestore.Receipt{}, errors.Mark(ctx.Err(), tablestore.ErrUnknownOutcome)
	case <-time.After(20 * time.Millisecond):
		return c.faultyTable.Commit(ctx, transaction)
	}
}

// TestCancelledGroupIsolatesNoPart: all callers of a group cancel before its response is due, so that the group cancels
// its call. This shows nothing about its parts: later writes to them must share groups.
func TestCancelledGroupIsolatesNoPart(t *testing.T) {
	for _, parts := range []int{1, 10} {
		t.Run(fmt.Sprint(parts, " parts"), func(t *testing.T) { virtualtime.Test(t, func(t *testing.T) { cancelGroup(t, parts) }) })
	}
}

// cancelGroup has the callers of a group cancel 15 ms after it was sent, and checks that no part is isolated.
func cancelGroup(t *testing.T, parts int) {
	group := NewGroup(cancellableService{newFaultyTable(1, 0)}, true, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	callers.Go(func() { _, _ = group.Commit(t.Context(), row(20, "first", 0)) })
	synctest.Wait()
	for part := range parts {
		callers.Go(func() { _, _ = group.Commit(ctx, row(part, "cancelled", 0)) })
	}
	for group.Stats().Groups < 2 {
		time.Sleep(time.Millisecond) // virtual
	}
	time.Sleep(15 * time.Millisecond) // virtual
	cancel()
	callers.Wait()
	synctest.Wait()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if isolated := len(group.queue.isolatedUntil); isolated > 0 {
		t.Errorf("%d of %d parts are isolated after their callers cancelled", isolated, parts)
	}
}
