package commitgroup

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// randomlyResetting resets every second call, whatever its parts.
type randomlyResetting struct {
	*faultyTable
	calls atomic.Int64
}

// Commit implements tablestore.Table.
func (r *randomlyResetting) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	if call := r.calls.Add(1); call%2 == 0 {
		time.Sleep(4 * time.Millisecond) // virtual
		return tablestore.Receipt{}, errors.Mark(errors.New("reset"), tablestore.ErrUnknownOutcome)
	}
	return r.faultyTable.Commit(ctx, transaction)
}

// TestServiceThatResetsHalfGetsCallsAtTheSendRate: the service resets every second call for three seconds. It must get
// no more calls than the send rate allows.
func TestServiceThatResetsHalfGetsCallsAtTheSendRate(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &randomlyResetting{faultyTable: newFaultyTable(1, 0)}
		group := NewGroup(service, true, nil)
		start := time.Now()
		var callers sync.WaitGroup
		for i := range 2400 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 1250 * time.Microsecond) // virtual
				_, _ = group.Commit(t.Context(), row(i%32, fmt.Sprint(i), 0))
			})
		}
		callers.Wait()
		took := time.Since(start)
		allowed := int64(took/minGroupInterval) + 1
		if calls := service.calls.Load(); calls > allowed {
			t.Errorf("%d calls in %s, the send rate allows %d", calls, took, allowed)
		}
	})
}
