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

// serialParts is a table service whose parts commit their writes one after another while it is slow: each write
// takes the time of a call and then its turn in the queue of its part, and a transaction of several parts twice
// that. It completes the call of a caller that has cancelled, and throttles writes that would wait for more than a
// second.
type serialParts struct {
	*faultyTable
	work      time.Duration // of a part for a write, and of the call before it; 0: normal
	mutex     sync.Mutex
	free      map[string]time.Time
	throttled int
}

func (s *serialParts) slowDown(work time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.work = work
}

// Commit implements tablestore.Table.
func (s *serialParts) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	s.mutex.Lock()
	work := s.work
	s.mutex.Unlock()
	if work == 0 {
		return s.faultyTable.Commit(ctx, transaction)
	}
	time.Sleep(work) // virtual
	turn, ok := s.reserve(transaction, work)
	if !ok {
		return tablestore.Receipt{}, errors.Mark(errors.New("429"), tablestore.ErrThrottled)
	}
	time.Sleep(time.Until(turn))
	return s.apply(transaction)
}

// reserve reserves a turn of each part of a transaction; ok is false if the queue of one of them is full.
func (s *serialParts) reserve(transaction tablestore.Transaction, work time.Duration) (turn time.Time, ok bool) {
	const maxBacklog = time.Second
	s.mutex.Lock()
	defer s.mutex.Unlock()
	parts := make(map[string]bool)
	for _, write := range transaction.Writes {
		parts[partOf(write.Key)] = true
	}
	if len(parts) > 1 {
		work *= 2
	}
	now := time.Now()
	for part := range parts {
		if s.free[part].Sub(now) > maxBacklog {
			s.throttled++
			return time.Time{}, false
		}
	}
	for part := range parts {
		if s.free[part].Before(now) {
			s.free[part] = now
		}
		s.free[part] = s.free[part].Add(work)
		if turn.Before(s.free[part]) {
			turn = s.free[part]
		}
	}
	return turn, true
}

// TestSlowPartsAreWrittenInTime: the service becomes slow while more is written than its parts can commit one by
// one. All of it must be written within the time for which callers wait for the final write of an answer.
func TestSlowPartsAreWrittenInTime(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &serialParts{faultyTable: newFaultyTable(1, 0), free: make(map[string]time.Time)}
		group := NewGroup(service, true, nil)
		const (
			parts   = 8
			members = 900
			pause   = 7 * time.Millisecond // 142 per second, of which parts commit 53 one by one
			timeout = 1800 * time.Millisecond
		)
		var callers sync.WaitGroup
		for i := range members {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * pause)
				if i == 100 {
					service.slowDown(150 * time.Millisecond)
				}
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				if _, err := group.Commit(ctx, row(i%parts, fmt.Sprint(i), 0)); err != nil {
					t.Errorf("member %d: %v", i, err)
				}
			})
		}
		callers.Wait()
		time.Sleep(commitTimeout) // no call is in flight
		if service.throttled > parts {
			t.Errorf("%d groups were sent to parts whose queue was full", service.throttled)
		}
	})
}

// TestPartsOfASlowServiceHaveOneWriter: nodes of all zones agree on the writer of a part, among all regions, or
// among their own region if writes must not leave it.
func TestPartsOfASlowServiceHaveOneWriter(t *testing.T) {
	zones := map[string][]Node{"a": nil, "b": nil, "far": nil}
	for zone := range zones {
		for i := range 5 {
			zones[zone] = append(zones[zone], Node{Address: fmt.Sprintf("%s-%d", zone, i), Processors: 0.8})
		}
	}
	near := map[string][]string{"a": {"b"}, "b": {"a"}, "far": nil}
	for _, regionOnly := range []bool{false, true} {
		chosen := make(map[string]map[string]bool) // writers by part and, if regionOnly, region
		for zone, nodes := range zones {
			for _, node := range nodes {
				table := NewTable(Options{Node: node.Address, DirectPathLost: func() bool { return false }, Observer: silentObserver{}, RegionOnly: func() bool { return regionOnly }})
				table.recordTime("a", slowCommit)
				table.recordTime("b", slowCommit)
				otherZones := make(map[string][]Node)
				var otherRegions []Node
				for other := range zones {
					switch {
					case other == zone:
					case len(near[zone]) > 0 && near[zone][0] == other:
						otherZones[other] = zones[other]
					default:
						otherRegions = append(otherRegions, zones[other]...)
					}
				}
				table.SetPeers(nil, node.Address, nodes, otherZones, otherRegions)
				for part := range 32 {
					name := fmt.Sprint(part)
					if regionOnly {
						name = fmt.Sprint(part, zone == "far")
					}
					if chosen[name] == nil {
						chosen[name] = make(map[string]bool)
					}
					writers := append(table.currentWriters(table.peers.Load(), fmt.Sprint(part)), node.Address)
					chosen[name][writers[0]] = true
					if reported := table.WritersOf(fmt.Sprintf("t/%d/x", part)); writers[0] != node.Address && reported[0] != writers[0] {
						t.Errorf("part %d is written by %s, but WritersOf returns %s first", part, writers[0], reported[0])
					}
				}
			}
		}
		for part, writers := range chosen {
			if len(writers) != 1 {
				t.Errorf("region only %v, part %s: writers %v", regionOnly, part, writers)
			}
		}
	}
}

// TestTransactionTimesAreRecorded checks when the service counts as slow: while transactions of two parts are slow,
// and until those of two parts are fast.
func TestTransactionTimesAreRecorded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := NewTable(Options{DirectPathLost: func() bool { return false }, Observer: silentObserver{}})
		first, second := table.measureTime("1"), table.measureTime("1")
		time.Sleep(slowCommit + time.Millisecond)
		if synctest.Wait(); table.isSlow() {
			t.Error("one slow part makes the service slow")
		}
		third := table.measureTime("2")
		time.Sleep(slowCommit + time.Millisecond)
		if synctest.Wait(); !table.isSlow() {
			t.Error("a slow transaction counts only when it ends")
		}
		time.Sleep(time.Second)
		for _, end := range []func(error){first, second, third} {
			end(nil)
		}
		table.measureTime("3")(errors.New("rejected at once"))
		table.measureTime("4")(errors.New("rejected at once"))
		if !table.isSlow() {
			t.Error("rejected transactions ended the slow state")
		}
		for range 20 {
			table.measureTime("1")(nil)
		}
		if table.measureTime("2")(nil); table.isSlow() {
			t.Error("fast responses did not end the slow state")
		}
	})
}
