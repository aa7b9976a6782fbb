package commitgroup

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestThrottledResendIsReportedAsThrottled: a lost group is sent again, and the service throttles it until the caller
// leaves. The outcome is unknown, and the error must tell that the service is up, as for any throttled transaction.
func TestThrottledResendIsReportedAsThrottled(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &throttlingService{hangingService: &hangingService{faultyTable: newFaultyTable(1, 0), hangs: func(string) bool { return false }}}
		service.remaining.Store(1)
		var lost atomic.Bool
		group := NewGroup(onceResetting{service, &lost}, true, nil)
		for i, err := range commitAll(t, group, time.Second, row(1, "a", 0), row(2, "b", 0)) {
			if !errors.Is(err, tablestore.ErrUnknownOutcome) || !errors.Is(err, tablestore.ErrWasThrottled) {
				t.Errorf("member %d: %v; was throttled: %v", i, err, errors.Is(err, tablestore.ErrWasThrottled))
			}
		}
	})
}

// onceResetting resets the first transaction of several parts.
type onceResetting struct {
	*throttlingService
	lost *atomic.Bool
}

// Commit implements tablestore.Table.
func (o onceResetting) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	if transaction.Across && !o.lost.Swap(true) {
		return tablestore.Receipt{}, errors.Mark(errors.New("reset"), tablestore.ErrUnknownOutcome)
	}
	return o.throttlingService.Commit(ctx, transaction)
}
