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

// hangingService is a table service some of whose parts do not respond. A call to one of them ends with the context of
// its caller and does nothing.
type hangingService struct {
	*faultyTable
	hangs func(part string) bool
	calls atomic.Int64 // calls to parts that hang
}

// Commit implements tablestore.Table.
func (h *hangingService) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	for _, write := range transaction.Writes {
		if h.hangs(partOf(write.Key)) {
			h.calls.Add(1)
			<-ctx.Done()
			return tablestore.Receipt{}, errors.Mark(ctx.Err(), tablestore.ErrUnknownOutcome)
		}
	}
	return h.faultyTable.Commit(ctx, transaction)
}

// TestLostGroupDoesNotBlockRetries: the service stops responding temporarily. A caller that times out and sends its
// transaction again must not wait for another member of the same group whose caller waits longer, and that member must
// commit as soon as the service responds to anything.
func TestLostGroupDoesNotBlockRetries(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var outage atomic.Bool
		service := &hangingService{faultyTable: newFaultyTable(1, 0), hangs: func(string) bool { return outage.Load() }}
		group := NewGroup(service, true, nil)
		patient := make(chan error, 1)
		if _, err := group.Commit(t.Context(), row(0, "first", 0)); err != nil {
			t.Fatal(err)
		}
		outage.Store(true)
		go func() {
			_, err := group.Commit(t.Context(), row(2, "patient", 0))
			patient <- err
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
		defer cancel()
		if _, err := group.Commit(ctx, row(1, "hasty", 0)); !errors.Is(err, tablestore.ErrUnknownOutcome) {
			t.Fatalf("got %v", err)
		}
		outage.Store(false)
		retried := time.Now()
		_, err := group.Commit(t.Context(), row(1, "hasty", 0))
		if took := time.Since(retried); err != nil || took > 100*time.Millisecond {
			t.Errorf("resent: %v after %s", err, took)
		}
		if err := <-patient; err != nil || time.Since(retried) > 200*time.Millisecond {
			t.Errorf("the patient caller got %v after %s", err, time.Since(retried))
		}
	})
}

// TestUnresponsivePartsDelayOnlyTheirOwnWrites: a third of the parts do not respond for three seconds. Writes to the
// other parts must be on time, the unresponsive parts must get few calls, and waiting writes must commit soon after
// these parts recover.
func TestUnresponsivePartsDelayOnlyTheirOwnWrites(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var down atomic.Bool
		down.Store(true)
		service := &hangingService{faultyTable: newFaultyTable(1, 0), hangs: func(part string) bool { return len(part)%2 == 0 && down.Load() }}
		group := NewGroup(service, true, nil)
		const outage = 3 * time.Second
		began := time.Now()
		var callers sync.WaitGroup
		var mutex sync.Mutex
		var slowest time.Duration
		for i := range 300 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond) // virtual
				part := i % 15                                       // 10 to 14 do not respond
				start := time.Now()
				_, err := group.Commit(t.Context(), row(part, fmt.Sprint(i), 0))
				mutex.Lock()
				defer mutex.Unlock()
				if part < 10 {
					slowest = max(slowest, time.Since(start))
				}
				if err != nil && part < 10 {
					t.Errorf("part %d: %v", part, err)
				}
			})
		}
		time.AfterFunc(outage, func() { down.Store(false) })
		callers.Wait()
		if slowest > 200*time.Millisecond {
			t.Errorf("a transaction of a responsive part took %s", slowest)
		}
		if after := time.Since(began) - outage; after > 400*time.Millisecond {
			t.Errorf("writes of unresponsive parts were committed %s after the parts recovered", after)
		}
		if calls := service.calls.Load(); calls > 120 {
			t.Errorf("%d calls to unresponsive parts", calls)
		}
	})
}

// TestSlowServiceGetsLittleTwice: the service becomes forty times as slow for all parts. Groups are overdue then, and
// only few transactions may be resent.
func TestSlowServiceGetsLittleTwice(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &slowedService{faultyTable: newFaultyTable(1, 0)}
		group := NewGroup(service, true, nil)
		var callers sync.WaitGroup
		const members = 400
		for i := range members {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond) // virtual
				if i == 100 {
					service.extraLatency.Store(int64(160 * time.Millisecond))
				}
				if _, err := group.Commit(t.Context(), row(i%20, fmt.Sprint(i), 0)); err != nil {
					var conflict *tablestore.ConflictError
					if !errors.As(err, &conflict) { // conflict of the transaction with itself, as the overdue group applied it
						t.Errorf("member %d: %v", i, err)
					}
				}
			})
		}
		callers.Wait()
		if written := service.written.Load(); written > members*13/10 {
			t.Errorf("%d transactions were sent for %d", written, members)
		}
	})
}

// slowedService is a table service with extra latency. It counts the transactions that it is sent.
type slowedService struct {
	*faultyTable
	extraLatency atomic.Int64
	written      atomic.Int64 // transactions of one row each
}

// Commit implements tablestore.Table.
func (s *slowedService) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	s.written.Add(int64(len(transaction.Writes)))
	time.Sleep(time.Duration(s.extraLatency.Load()))
	return s.faultyTable.Commit(ctx, transaction)
}
