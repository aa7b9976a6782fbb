package commitgroup

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// onTime is how long a write may take that is not to wait for parts that fail, as in
// TestPartsThatResetFailOnlyTheirOwnWrites.
const onTime = 100 * time.Millisecond

// oddPart reports whether a part is one of every second one.
func oddPart(part string) bool { return strings.ContainsAny(part[len(part)-1:], "13579") }

// failingService is a table service some of whose parts fail each call to them after 4 ms, or each transaction only if
// readable is set. It does nothing for such a call, or all of it if applies is set.
type failingService struct {
	*faultyTable
	fails    func(part string) bool
	failure  error // of each such call
	applies  bool
	readable bool
	calls    atomic.Int64 // transactions that failed
	written  atomic.Int64 // transactions of one row each
}

// newResettingService returns a service some of whose parts reset the connection of each call to them.
func newResettingService(resets func(part string) bool) *failingService {
	return &failingService{faultyTable: newFaultyTable(1, 0), fails: resets, failure: errors.Mark(errors.New("reset"), tablestore.ErrUnknownOutcome)}
}

// newRejectingService returns a service some of whose parts reject each call to them.
func newRejectingService(rejects func(part string) bool) *failingService {
	return &failingService{faultyTable: newFaultyTable(1, 0), fails: rejects, failure: errors.Mark(errors.New("503"), tablestore.ErrUnavailable)}
}

// Commit implements tablestore.Table.
func (s *failingService) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	s.written.Add(int64(len(transaction.Writes)))
	for _, write := range transaction.Writes {
		if !s.fails(partOf(write.Key)) {
			continue
		}
		s.calls.Add(1)
		time.Sleep(4 * time.Millisecond) // virtual
		if s.applies {
			_, _ = s.apply(transaction)
		}
		return tablestore.Receipt{}, s.failure
	}
	return s.faultyTable.Commit(ctx, transaction)
}

// Get implements tablestore.Table.
func (s *failingService) Get(ctx context.Context, key string) (tablestore.Row, error) {
	time.Sleep(4 * time.Millisecond) // virtual
	if !s.readable && s.fails(partOf(key)) {
		return tablestore.Row{}, s.failure
	}
	return s.faultyTable.Get(ctx, key)
}

// writesOfManyParts commits 800 writes a second to 32 parts for three seconds. It returns how many of those to the
// given parts failed, and how long the slowest of them took.
func writesOfManyParts(t *testing.T, table tablestore.Table, counts func(part string) bool) (failed int, slowest time.Duration) {
	group := NewGroup(table, true, nil)
	writesEach(t, group, 32, 1250*time.Microsecond, func(part int, took time.Duration, err error) {
		if !counts(fmt.Sprint(part)) {
			return
		}
		slowest = max(slowest, took)
		if err != nil {
			failed++
		}
	})
	return failed, slowest
}

// writesEach commits a write to one of the parts in turn after each interval, for three seconds, and calls each with the
// result, one at a time.
func writesEach(t *testing.T, group *Group, parts int, interval time.Duration, each func(part int, took time.Duration, err error)) {
	var callers sync.WaitGroup
	var mutex sync.Mutex
	for i := range int(3 * time.Second / interval) {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * interval) // virtual
			start := time.Now()
			_, err := group.Commit(t.Context(), row(i%parts, fmt.Sprint(i), 0))
			took := time.Since(start)
			mutex.Lock()
			defer mutex.Unlock()
			each(i%parts, took, err)
		})
	}
	callers.Wait()
}

// expectOthersOnTime reports writes to parts that are well that failed or were late.
func expectOthersOnTime(t *testing.T, failed int, slowest time.Duration) {
	t.Helper()
	if failed > 0 || slowest > onTime {
		t.Errorf("of the writes to parts that are well, %d failed, and the slowest took %s", failed, slowest)
	}
}
