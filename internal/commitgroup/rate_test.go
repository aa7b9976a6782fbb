package commitgroup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// rateLimitedService is a table service that accepts a limited rate of calls, each taking 110 ms, and throttles the
// others. It counts both.
type rateLimitedService struct {
	*faultyTable
	rate            float64
	mutex           sync.Mutex
	allowance       float64
	at              time.Time
	calls, accepted int
}

// Commit implements tablestore.Table.
func (r *rateLimitedService) Commit(_ context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	time.Sleep(110 * time.Millisecond) // virtual
	if !r.admit() {
		return tablestore.Receipt{}, errors.Mark(errors.New("429"), tablestore.ErrThrottled)
	}
	return r.apply(transaction)
}

// admit counts a call, and reports whether the rate limit allows it.
func (r *rateLimitedService) admit() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	r.allowance = min(r.rate/10, r.allowance+now.Sub(r.at).Seconds()*r.rate)
	r.at = now
	r.calls++
	if r.allowance < 1 {
		return false
	}
	r.allowance--
	r.accepted++
	return true
}

// commitAtRandom commits the given number of transactions of random parts at random times within period, each with
// a timeout of 1.8 s. It calls done for each of them.
func commitAtRandom(t *testing.T, group *Group, callers *sync.WaitGroup, seed uint64, members int, period time.Duration, done func(part int, took time.Duration, err error)) {
	const (
		parts   = 32
		timeout = 1800 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(36, seed))
	for i := range members {
		at, part := time.Duration(random.Int64N(int64(period))), random.IntN(parts)
		callers.Go(func() {
			time.Sleep(at) // virtual
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			began := time.Now()
			_, err := group.Commit(ctx, row(part, fmt.Sprint(seed, "-", i), 0))
			done(part, time.Since(began), err)
		})
	}
}

// counts returns how many calls were made and how many of them were accepted.
func (r *rateLimitedService) counts() (calls, taken int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.calls, r.accepted
}

// TestNodesOfASlowServiceKeepItsRate: 36 nodes write to a service whose calls take 110 ms and whose rate limit is
// below their number of transactions. Throttling of many parts must reduce the send rate of all calls, so that at
// least two in three calls are accepted and nine in ten transactions are written.
func TestNodesOfASlowServiceKeepItsRate(t *testing.T) {
	const (
		nodes   = 36
		rate    = 400.0
		members = 100 // per node; in total nearly twice what the rate limit allows one by one
		period  = 5 * time.Second
	)
	virtualtime.Test(t, func(t *testing.T) {
		service := &rateLimitedService{faultyTable: newFaultyTable(1, 0), rate: rate, at: time.Now()}
		var callers sync.WaitGroup
		var written atomic.Int64
		for node := range nodes {
			group := NewGroup(service, true, nil)
			commitAtRandom(t, group, &callers, uint64(node), members, period, func(_ int, _ time.Duration, err error) {
				if err == nil {
					written.Add(1)
				}
			})
		}
		callers.Wait()
		time.Sleep(commitTimeout) // no call is in flight
		calls, accepted := service.counts()
		if 2*calls > 3*accepted || 10*written.Load() < 9*nodes*members {
			t.Errorf("%d calls were made, of which %d were accepted; %d of %d transactions written",
				calls, accepted, written.Load(), nodes*members)
		}
	})
}

// throttlingPartsService is a table service whose calls take 150 ms, and whose first parts throttle everything.
type throttlingPartsService struct {
	*faultyTable
	throttling int
}

// Commit implements tablestore.Table.
func (f *throttlingPartsService) Commit(_ context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	time.Sleep(150 * time.Millisecond) // virtual
	for _, write := range transaction.Writes {
		if part, err := strconv.Atoi(partOf(write.Key)); err != nil || part < f.throttling {
			return tablestore.Receipt{}, errors.Mark(errors.New("429"), tablestore.ErrThrottled)
		}
	}
	return f.apply(transaction)
}

// TestThrottledPartsOfSlowServiceDelayNoOthers: one to four parts of 32 throttle all groups of their own. Writes to
// the others must be committed in time.
func TestThrottledPartsOfSlowServiceDelayNoOthers(t *testing.T) {
	for throttling := 1; throttling <= 4; throttling++ {
		virtualtime.Test(t, func(t *testing.T) {
			group := NewGroup(&throttlingPartsService{faultyTable: newFaultyTable(1, 0), throttling: throttling}, true, nil)
			var callers sync.WaitGroup
			commitAtRandom(t, group, &callers, 9, 500, 5*time.Second, func(part int, took time.Duration, err error) {
				if part >= throttling && err != nil {
					t.Errorf("%d parts throttle, part %d after %s: %v", throttling, part, took, err)
				}
			})
			callers.Wait()
			time.Sleep(commitTimeout) // no call is in flight
		})
	}
}

// TestSlowServiceThrottlingAllGetsFewCalls: all parts throttle for five seconds. The send rate of all calls must
// fall, although each part is also paused on its own.
func TestSlowServiceThrottlingAllGetsFewCalls(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		group := NewGroup(&throttlingPartsService{faultyTable: newFaultyTable(1, 0), throttling: 32}, true, nil)
		var callers sync.WaitGroup
		commitAtRandom(t, group, &callers, 9, 1000, 5*time.Second, func(int, time.Duration, error) {})
		callers.Wait()
		time.Sleep(commitTimeout) // no call is in flight
		if calls := group.Stats().Groups; calls > 150 {
			t.Errorf("%d calls to a service that throttled all of them", calls)
		}
	})
}

// TestOldThrottlingDoesNotHideNew: all parts throttle, and again an hour later without an accepted group of a
// single part in between. The second time must reduce the send rate as well.
func TestOldThrottlingDoesNotHideNew(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		group := NewGroup(newFaultyTable(1, 0), true, nil)
		for round := range 2 {
			group.responseTime = 300 * time.Millisecond
			counted := 0
			for part := range 32 {
				if group.recordThrottled(&inFlightGroup{members: []*member{{part: strconv.Itoa(part)}}}, time.Now()) {
					counted++
				}
			}
			if counted != 31 {
				t.Errorf("round %d: all 32 parts throttle, and %d of them count for the send rate", round, counted)
			}
			time.Sleep(time.Hour) // virtual
		}
	})
}
