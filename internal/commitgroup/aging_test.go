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

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// variableLatencyService is a table service whose calls take a time that the test changes.
type variableLatencyService struct {
	*faultyTable
	latency atomic.Int64 // ns
}

// Commit implements tablestore.Table.
func (c *variableLatencyService) Commit(_ context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	time.Sleep(time.Duration(c.latency.Load())) // virtual
	return c.apply(transaction)
}

// slowTable returns a table that considers the service slow.
func slowTable(t *testing.T) *Table {
	table := NewTable(Options{DirectPathLost: func() bool { return false }, Observer: silentObserver{}})
	for _, part := range []string{"1", "2", "3"} {
		table.recordTime(part, 300*time.Millisecond)
	}
	if !table.isSlow() {
		t.Fatal("three parts are slow, but the service does not count as slow")
	}
	return table
}

// TestOneFastPartEndsTableSlowness: after a slow period only one part is written, with fast responses. The old times of
// other parts must not keep the service slow.
func TestOneFastPartEndsTableSlowness(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := slowTable(t)
		for range 10000 {
			time.Sleep(time.Second) // virtual
			end := table.measureTime("1")
			time.Sleep(10 * time.Millisecond)
			end(nil)
		}
		if table.isSlow() {
			t.Error("still slow after 10,000 fast transactions of one part, hours later")
		}
	})
}

// TestOneFastPartEndsGroupSlowness is the same for a group.
func TestOneFastPartEndsGroupSlowness(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &variableLatencyService{faultyTable: newFaultyTable(1, 0)}
		service.latency.Store(int64(500 * time.Millisecond))
		group := NewGroup(service, true, nil)
		var callers sync.WaitGroup
		commitAtRandom(t, group, &callers, 9, 200, 5*time.Second, func(int, time.Duration, error) {})
		callers.Wait()
		time.Sleep(commitTimeout) // no call is in flight
		service.latency.Store(int64(8 * time.Millisecond))
		const commits, warmUp = 2000, 100
		slow, longest := 0, time.Duration(0)
		for i := range commits {
			if _, err := group.Commit(t.Context(), row(3, fmt.Sprint("x", i), 0)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // virtual
			if i < warmUp {
				continue
			}
			group.mutex.Lock()
			longest = max(longest, group.responseTime)
			if group.isSlow() {
				slow++
			}
			group.mutex.Unlock()
		}
		if slow > 0 {
			t.Errorf("slow at %d of %d fast responses of 8 ms, smoothed response time up to %s", slow, commits-warmUp, longest)
		}
	})
}

// TestDistantWritersDoNotKeepTableSlow: while the service is slow, the path to the writers of single parts alone takes
// 160 ms, and that to the writer of the node's zone 10 ms. The slow state must end.
func TestDistantWritersDoNotKeepTableSlow(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := slowTable(t)
		for i := range 10000 {
			end := table.measureTime(fmt.Sprint(i % 32))
			if table.isSlow() {
				time.Sleep(160 * time.Millisecond) // virtual
			} else {
				time.Sleep(10 * time.Millisecond)
			}
			end(nil)
		}
		if table.isSlow() {
			t.Error("kept slow by the path to distant writers")
		}
	})
}

// TestTimesNearSlowThresholdRarelySwitch draws times around slowCommit for a minute: the writers must not change with
// each of them.
func TestTimesNearSlowThresholdRarelySwitch(t *testing.T) {
	const writes, maxChanges = 1800, 2
	for _, spread := range []int{20, 50, 90} {
		random := rand.New(rand.NewPCG(1, 2))
		var times partTimes
		now, changes := time.Unix(0, 0), 0
		for range writes {
			now = now.Add(time.Minute / writes)
			took := slowCommit + time.Duration(random.IntN(2*spread)-spread)*time.Millisecond
			next := times.with(strconv.Itoa(random.IntN(32)), took, now)
			if next.slow != times.slow {
				changes++
			}
			times = next
		}
		if changes > maxChanges {
			t.Errorf("%d switches in %d writes that take %s and up to %d ms more or less", changes, writes, slowCommit, spread)
		}
	}
}
