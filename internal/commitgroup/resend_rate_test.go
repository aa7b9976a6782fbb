package commitgroup

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// throttlingService is a table service that accepts some calls, and then throttles all of them, each after 4 ms,
// until over is set.
type throttlingService struct {
	*hangingService
	remaining atomic.Int64
	over      atomic.Bool
	throttled atomic.Int64
}

// Commit implements tablestore.Table.
func (r *throttlingService) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	if r.remaining.Load() <= 0 && !r.over.Load() {
		time.Sleep(4 * time.Millisecond)
		r.throttled.Add(1)
		return tablestore.Receipt{}, errors.Mark(errors.New("429"), tablestore.ErrThrottled)
	}
	receipt, err := r.hangingService.Commit(ctx, transaction)
	if err == nil {
		r.remaining.Add(-1)
	}
	return receipt, err
}

// TestResendsKeepReducedSendRate: a group of ten parts gets no response, and once one part of it was resent and
// answered, the service throttles all calls for two seconds. Resends must keep the reduced send rate as all other
// groups do.
func TestResendsKeepReducedSendRate(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &throttlingService{hangingService: &hangingService{faultyTable: newFaultyTable(1, 0), hangs: func(part string) bool { return part == "0" }}}
		service.remaining.Store(2) // the first, and one part
		group := NewGroup(service, true, nil)
		if _, err := group.Commit(t.Context(), row(20, "first", 0)); err != nil {
			t.Fatal(err)
		}
		var callers sync.WaitGroup
		for part := range 10 {
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if _, err := group.Commit(ctx, row(part, "waits", 0)); err != nil && part > 0 {
					t.Errorf("part %d: %v", part, err)
				}
			})
		}
		const throttling = 2 * time.Second
		time.Sleep(throttling) // virtual
		service.over.Store(true)
		calls := service.throttled.Load()
		callers.Wait()
		if calls == 0 || calls > 40 { // 100 per second, halved every 0.1 s down to 4
			t.Errorf("%d calls in %s to a service that throttled all of them", calls, throttling)
		}
	})
}
