package commitgroup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// rated is a table service that takes so many calls a second, each in 110 ms, and refuses the others
// for their rate. It counts both.
type rated struct {
	*faultyTable
	rate         float64
	mutex        sync.Mutex
	allowance    float64
	at           time.Time
	calls, taken int
}

// Commit implements tablestore.Table.
func (r *rated) Commit(_ context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	time.Sleep(110 * time.Millisecond) // virtual
	if !r.take() {
		return tablestore.Receipt{}, errors.Mark(errors.New("429"), tablestore.ErrThrottled)
	}
	return r.apply(transaction)
}

// take counts a call, and reports whether the rate has room for it.
func (r *rated) take() bool {
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
	r.taken++
	return true
}

// commitAtRandom has a group commit so many transactions of random parts within so long, each waited for
// 1.8 s. ended is told of each.
func commitAtRandom(t *testing.T, group *Group, callers *sync.WaitGroup, seed uint64, members int, within time.Duration, ended func(part int, took time.Duration, err error)) {
	const (
		parts    = 32
		patience = 1800 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(36, seed))
	for i := range members {
		at, part := time.Duration(random.Int64N(int64(within))), random.IntN(parts)
		callers.Go(func() {
			time.Sleep(at) // virtual
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			began := time.Now()
			_, err := group.Commit(ctx, row(part, fmt.Sprint(seed, "-", i), 0))
			ended(part, time.Since(began), err)
		})
	}
}

// counts returns how many calls were made, and taken.
func (r *rated) counts() (calls, taken int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.calls, r.taken
}

// TestNodesOfASlowServiceKeepItsRate has 36 nodes write to a service that takes 110 ms for a call and
// fewer calls than they have transactions. Refusals of many parts slow the pace of all calls, so that two
// in three calls are taken at least, and nine in ten transactions are written.
func TestNodesOfASlowServiceKeepItsRate(t *testing.T) {
	const (
		nodes   = 36
		rate    = 400.0
		members = 100 // of each node, in all nearly twice what the rate has room for one by one
		lasts   = 5 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		service := &rated{faultyTable: newFaultyTable(1, 0), rate: rate, at: time.Now()}
		var callers sync.WaitGroup
		var written atomic.Int64
		for node := range nodes {
			group := NewGroup(service, true, nil)
			commitAtRandom(t, group, &callers, uint64(node), members, lasts, func(_ int, _ time.Duration, err error) {
				if err == nil {
					written.Add(1)
				}
			})
		}
		callers.Wait()
		time.Sleep(commitTimeout) // no call is under way
		calls, taken := service.counts()
		if 2*calls > 3*taken || 10*written.Load() < 9*nodes*members {
			t.Errorf("%d calls were made, of which the rate has room for %d; %d of %d transactions written",
				calls, taken, written.Load(), nodes*members)
		}
	})
}

// fullParts is a table service that takes 150 ms for a call, and of which the first parts refuse all.
type fullParts struct {
	*faultyTable
	full int
}

// Commit implements tablestore.Table.
func (f *fullParts) Commit(_ context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	time.Sleep(150 * time.Millisecond) // virtual
	for _, write := range transaction.Writes {
		if part, err := strconv.Atoi(partOf(write.Key)); err != nil || part < f.full {
			return tablestore.Receipt{}, errors.Mark(errors.New("429"), tablestore.ErrThrottled)
		}
	}
	return f.apply(transaction)
}

// TestFullPartsOfASlowServiceSlowNoOther has one to four parts of 32 refuse all groups of theirs. All that
// is written to the others is written in time.
func TestFullPartsOfASlowServiceSlowNoOther(t *testing.T) {
	for full := 1; full <= 4; full++ {
		synctest.Test(t, func(t *testing.T) {
			group := NewGroup(&fullParts{faultyTable: newFaultyTable(1, 0), full: full}, true, nil)
			var callers sync.WaitGroup
			commitAtRandom(t, group, &callers, 9, 500, 5*time.Second, func(part int, took time.Duration, err error) {
				if part >= full && err != nil {
					t.Errorf("%d parts are full, part %d after %s: %v", full, part, took, err)
				}
			})
			callers.Wait()
			time.Sleep(commitTimeout) // no call is under way
		})
	}
}

// TestSlowServiceThatRefusesAllIsNotPressed has all parts refuse for five seconds: the pace of all calls
// slows though each part is left alone for a while.
func TestSlowServiceThatRefusesAllIsNotPressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := NewGroup(&fullParts{faultyTable: newFaultyTable(1, 0), full: 32}, true, nil)
		var callers sync.WaitGroup
		commitAtRandom(t, group, &callers, 9, 1000, 5*time.Second, func(int, time.Duration, error) {})
		callers.Wait()
		time.Sleep(commitTimeout) // no call is under way
		if calls := group.Stats().Groups; calls > 150 {
			t.Errorf("%d calls to a service that refused all of them", calls)
		}
	})
}

// TestOldRefusalsHideNoNewOnes has all parts refuse, and do so again an hour later without a group of one part
// taken in between. The pace has to slow again.
func TestOldRefusalsHideNoNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := NewGroup(newFaultyTable(1, 0), true, nil)
		for round := range 2 {
			group.usual = 300 * time.Millisecond
			counted := 0
			for part := range 32 {
				if group.noteRefusal(&flight{members: []*member{{part: strconv.Itoa(part)}}}, time.Now()) {
					counted++
				}
			}
			if counted != 31 {
				t.Errorf("round %d: all 32 parts refuse, and %d of that count for the pace", round, counted)
			}
			time.Sleep(time.Hour) // virtual
		}
	})
}
