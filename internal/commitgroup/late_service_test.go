package commitgroup

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// lateService is a table service that executes each call at once, and whose responses are late, to writes and reads
// alike. It counts how often each row was sent.
type lateService struct {
	*faultyTable
	latency func(transaction tablestore.Transaction) time.Duration
	mutex   sync.Mutex
	sent    map[string]int
	reads   int
}

func newLateService(latency func(tablestore.Transaction) time.Duration) *lateService {
	return &lateService{faultyTable: newFaultyTable(1, 0), latency: latency, sent: make(map[string]int)}
}

// lateBy returns a latency that is the same for all calls.
func lateBy(latency time.Duration) func(tablestore.Transaction) time.Duration {
	return func(tablestore.Transaction) time.Duration { return latency }
}

// Commit implements tablestore.Table.
func (l *lateService) Commit(_ context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	l.mutex.Lock()
	for _, write := range transaction.Writes {
		l.sent[write.Key]++
	}
	l.mutex.Unlock()
	receipt, err := l.apply(transaction)
	time.Sleep(l.latency(transaction)) // virtual
	return receipt, err
}

// Get implements tablestore.Table.
func (l *lateService) Get(ctx context.Context, key string) (tablestore.Row, error) {
	l.mutex.Lock()
	l.reads++
	l.mutex.Unlock()
	select {
	case <-time.After(l.latency(tablestore.Transaction{})):
		return l.faultyTable.Get(ctx, key)
	case <-ctx.Done():
		return tablestore.Row{}, ctx.Err()
	}
}

// checkSentOnce fails the test for each row that was sent again.
func (l *lateService) checkSentOnce(t *testing.T) {
	t.Helper()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for key, sent := range l.sent {
		if sent > 1 {
			t.Errorf("%s was sent %d times", key, sent)
		}
	}
}

// commitAt commits transactions of one row, each of a part and at a time, and returns how long each took.
func commitAt(t *testing.T, group *Group, parts []int, at func(i int) time.Duration) []time.Duration {
	took := make([]time.Duration, len(parts))
	var callers sync.WaitGroup
	for i, part := range parts {
		callers.Go(func() {
			time.Sleep(at(i)) // virtual
			start := time.Now()
			if _, err := group.Commit(t.Context(), row(part, fmt.Sprint(i), 0)); err != nil {
				t.Errorf("member %d: %v", i, err)
			}
			took[i] = time.Since(start)
		})
	}
	callers.Wait()
	time.Sleep(commitTimeout) // no call is in flight
	return took
}

// TestLateServiceGetsNothingTwice: all responses of the service become late, to reads as well. Groups of several parts
// are overdue then, but nothing shows that one of their parts does not respond, and nothing may be sent again.
func TestLateServiceGetsNothingTwice(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := newLateService(lateBy(600 * time.Millisecond))
		group := NewGroup(service, true, nil)
		commitAt(t, group, []int{0, 1, 2, 3, 4, 5, 6, 7}, func(i int) time.Duration { return time.Duration(i/4) * 15 * time.Millisecond })
		service.checkSentOnce(t)
		service.mutex.Lock()
		defer service.mutex.Unlock()
		if maxReads := 2 * probeReads; service.reads > maxReads {
			t.Errorf("%d reads for two overdue groups, want at most %d", service.reads, maxReads)
		}
	})
}

// TestUnresponsivePartIsFoundByReads: one part of a group does not respond. The others must commit soon, although no
// other group shows that the service responds.
func TestUnresponsivePartIsFoundByReads(t *testing.T) {
	for unresponsive := range 3 {
		virtualtime.Test(t, func(t *testing.T) {
			service := &hangingService{faultyTable: newFaultyTable(1, 0), hangs: func(part string) bool { return part == fmt.Sprint(unresponsive) }}
			group := NewGroup(service, true, nil)
			var callers sync.WaitGroup
			for part := range 3 {
				callers.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
					defer cancel()
					if _, err := group.Commit(ctx, row(part, "x", 0)); (err == nil) != (part != unresponsive) {
						t.Errorf("part %d does not respond, part %d: %v", unresponsive, part, err)
					}
				})
			}
			callers.Wait()
			time.Sleep(commitTimeout) // no call is in flight
		})
	}
}

// TestResponsesThatArriveTogetherAreNotLost: the response to an overdue group arrives shortly after that to a later
// group. The overdue one must not be sent again.
func TestResponsesThatArriveTogetherAreNotLost(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const usual, apart = 250 * time.Millisecond, 100 * time.Millisecond
		service := newLateService(func(transaction tablestore.Transaction) time.Duration {
			if partOf(transaction.Writes[0].Key) == "0" {
				return overdueFactor*usual + reorderTime/2
			}
			return overdueFactor*usual - apart
		})
		group := NewGroup(service, true, nil)
		group.responseTime = usual
		commitAt(t, group, []int{0, 1}, func(i int) time.Duration { return time.Duration(i) * apart })
		service.checkSentOnce(t)
	})
}

// TestSilentServiceGetsOneMoreGroup: responses become late by 900 ms while two groups of a part are in flight. A write
// that comes then must not wait for the first response before it is sent.
func TestSilentServiceGetsOneMoreGroup(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const late = 900 * time.Millisecond
		group := NewGroup(newLateService(lateBy(late)), true, nil)
		took := commitAt(t, group, []int{0, 0, 0}, func(i int) time.Duration { return time.Duration(i) * 150 * time.Millisecond })
		for i, each := range took {
			if limit := late + silenceThreshold; each > limit {
				t.Errorf("member %d took %s, want at most %s", i, each, limit)
			}
		}
	})
}

// TestSlowPartGetsTwoGroupsAtATime: all responses take 900 ms. Once responses arrive, a part may have at most two groups
// in flight: nothing shows that its work is not what they wait for.
func TestSlowPartGetsTwoGroupsAtATime(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const late, writes, pause = 900 * time.Millisecond, 30, 100 * time.Millisecond
		service := newLateService(lateBy(late))
		group := NewGroup(service, true, nil)
		commitAt(t, group, make([]int, writes), func(i int) time.Duration { return time.Duration(i) * pause })
		const maxGroups = 1 + 2*(uint64(writes*pause/late)+2) // one more while nothing is answered
		if groups := group.Stats().Groups; groups > maxGroups {
			t.Errorf("%d groups of a part in %s, want at most %d", groups, writes*pause, maxGroups)
		}
		service.checkSentOnce(t)
	})
}

// TestPeerLearnsWhenItsTransactionIsSent: a peer's transaction is queued behind two groups of its part. The writer must
// acknowledge it soon, and once more when it sends it. A transaction that is sent at once is acknowledged once.
func TestPeerLearnsWhenItsTransactionIsSent(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const late = 300 * time.Millisecond
		table := NewTable(Options{Table: newLateService(lateBy(late)), AllowMultiPart: true, DirectPathLost: func() bool { return false }, Observer: silentObserver{}})
		start := time.Now()
		var mutex sync.Mutex
		var acks [3][]time.Duration
		var callers sync.WaitGroup
		for i := range acks {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond) // virtual
				table.Answer(t.Context(), "peer", encode(row(0, fmt.Sprint(i), 0), time.Minute), func() {
					mutex.Lock()
					defer mutex.Unlock()
					acks[i] = append(acks[i], time.Since(start))
				})
			})
		}
		callers.Wait()
		mutex.Lock()
		defer mutex.Unlock()
		if len(acks[0]) != 1 || len(acks[1]) != 1 {
			t.Errorf("transactions that were sent at once were acknowledged at %v and %v, want once each", acks[0], acks[1])
		}
		if want := []time.Duration{200*time.Millisecond + ackAfter, late}; fmt.Sprint(acks[2]) != fmt.Sprint(want) {
			t.Errorf("a queued transaction was acknowledged at %v, want %v", acks[2], want)
		}
	})
}
