package commitgroup

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestPartThatResetsFailsAlone: one part resets all calls. Writes to the others must commit, whichever part it is, and
// the outcome of its own write must be unknown.
func TestPartThatResetsFailsAlone(t *testing.T) {
	eachKindOfCalls(t, newResettingService, func(t *testing.T, service *failingService) {
		for resetting := range 4 {
			service.faultyTable = newFaultyTable(1, 0)
			service.fails = func(part string) bool { return part == fmt.Sprint(resetting) }
			group := NewGroup(service, true, nil)
			errs := commitAll(t, group, time.Second, row(1, "a", 0), row(2, "b", 0), row(3, "c", 0))
			for i, err := range errs {
				if (i+1 == resetting) != errors.Is(err, tablestore.ErrUnknownOutcome) || (i+1 != resetting && err != nil) {
					t.Errorf("part %d resets, part %d: %v", resetting, i+1, err)
				}
			}
		}
	})
}

// TestLostGroupThatWasAppliedConflictsAsUnknown: a group takes effect and its response is lost. Its members are sent
// again, and their conflict is with themselves: it must be reported as of unknown outcome, with the row as it is.
func TestLostGroupThatWasAppliedConflictsAsUnknown(t *testing.T) {
	eachKindOfCalls(t, newResettingService, func(t *testing.T, service *failingService) {
		var down atomic.Bool
		service.fails, service.applies = func(part string) bool { return part == "2" && !down.Swap(true) }, true
		group := NewGroup(service, true, nil)
		for i, err := range commitAll(t, group, time.Second, row(1, "a", 0), row(2, "b", 0)) {
			var conflict *tablestore.ConflictError
			if !errors.As(err, &conflict) || !errors.Is(err, tablestore.ErrUnknownOutcome) || conflict.Current.Revision == 0 {
				t.Errorf("member %d: %v", i, err)
			}
		}
		for key, times := range service.applied {
			if times != 1 {
				t.Errorf("%s was written %d times", key, times)
			}
		}
	})
}

// TestCancelledGroupIsNotLost: the caller of a group leaves before its response is overdue, and its call is cancelled.
// The part must not be kept apart from the others for that.
func TestCancelledGroupIsNotLost(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &hangingService{faultyTable: newFaultyTable(1, 0), hangs: func(part string) bool { return part == "1" }}
		group := NewGroup(service, true, nil)
		ctx, cancel := context.WithTimeout(t.Context(), minOverdue/2)
		defer cancel()
		if _, err := group.Commit(ctx, row(1, "x", 0)); !errors.Is(err, tablestore.ErrUnknownOutcome) {
			t.Fatal(err)
		}
		time.Sleep(minOverdue) // virtual: the cancelled call has ended
		group.mutex.Lock()
		defer group.mutex.Unlock()
		if group.queue.isIsolated("1", time.Now()) {
			t.Error("the part is written in groups of its own")
		}
	})
}

// TestPartsThatResetFailOnlyTheirOwnWrites: a third of the parts reset all calls, or all writes, for three seconds. All
// writes to the others must commit, on time, and the parts that reset must get few calls more than they have writes.
func TestPartsThatResetFailOnlyTheirOwnWrites(t *testing.T) {
	eachKindOfCalls(t, newResettingService, func(t *testing.T, service *failingService) {
		service.fails = func(part string) bool { return len(part) == 2 }
		own := int64(0)
		writesEach(t, NewGroup(service, true, nil), 15, 5*time.Millisecond, func(part int, took time.Duration, err error) {
			switch {
			case part >= 10:
				own++
				if !errors.Is(err, tablestore.ErrUnknownOutcome) {
					t.Errorf("part %d resets: %v", part, err)
				}
			case err != nil:
				t.Errorf("part %d: %v", part, err)
			case took > onTime:
				t.Errorf("part %d: committed after %s", part, took)
			}
		})
		if calls := service.calls.Load(); calls > own*11/10 {
			t.Errorf("%d calls were reset for %d writes", calls, own)
		}
	})
}

// TestServiceThatResetsAllGetsLittleTwice: all parts reset all calls for three seconds. Only few transactions may be
// sent again, and once the service answers, all writes must commit.
func TestServiceThatResetsAllGetsLittleTwice(t *testing.T) {
	eachKindOfCalls(t, newResettingService, func(t *testing.T, service *failingService) {
		var down atomic.Bool
		service.fails = func(string) bool { return down.Load() }
		group := NewGroup(service, true, nil)
		if _, err := group.Commit(t.Context(), row(0, "first", 0)); err != nil {
			t.Fatal(err)
		}
		down.Store(true)
		lost := int64(0)
		writesEach(t, group, 15, 5*time.Millisecond, func(_ int, _ time.Duration, err error) {
			lost++
			if !errors.Is(err, tablestore.ErrUnknownOutcome) {
				t.Errorf("all parts reset: %v", err)
			}
		})
		if written := service.written.Load(); written > lost*13/10 {
			t.Errorf("%d transactions were sent for %d", written, lost)
		}
		down.Store(false)
		writesBefore := group.Stats().Groups
		for i, err := range commitAll(t, group, time.Second, row(1, "x", 0), row(2, "x", 0), row(3, "x", 0), row(4, "x", 0), row(5, "x", 0)) {
			if err != nil {
				t.Errorf("after the outage, member %d: %v", i, err)
			}
		}
		if groups := group.Stats().Groups - writesBefore; groups > 3 {
			t.Errorf("after the outage, %d groups for five writes", groups)
		}
	})
}
