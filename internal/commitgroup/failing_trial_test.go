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

// recoveryTime is how long after a part is well again, while fifteen others fail, its writes may still fail with theirs: for
// as long as it may wait for its turn to have a group of its own.
const recoveryTime = time.Second

// TestFailingPartThatIsWellAgainIsTriedAlone: half of 32 parts fail all calls, and one of them is well again after a second,
// or all of them are. Its writes must commit from then on, though the other parts go on to fail.
func TestFailingPartThatIsWellAgainIsTriedAlone(t *testing.T) {
	for name, newService := range map[string]func(func(string) bool) *failingService{"reset": newResettingService, "reject": newRejectingService} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/all_%t", name, all), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					well := time.Now().Add(time.Second)
					service := newService(func(part string) bool {
						return oddPart(part) && (time.Now().Before(well) || (!all && part != "17"))
					})
					failed := 0
					writesEach(t, NewGroup(service, true, nil), 32, 1250*time.Microsecond, func(part int, took time.Duration, err error) {
						if part == 17 && err != nil && time.Now().Add(-took).After(well.Add(recoveryTime)) {
							failed++
						}
					})
					if failed > 0 {
						t.Errorf("%d writes failed later than %s after their part was well again", failed, recoveryTime)
					}
				})
			})
		}
	}
}

// TestWritesThatShareAFailedGroupHaveTheirOutcome: several parts fail, so that their writes share groups. Each write must be told
// what became of it: a rejected one was not applied, and one whose response was lost may have been.
func TestWritesThatShareAFailedGroupHaveTheirOutcome(t *testing.T) {
	for _, want := range []error{tablestore.ErrUnavailable, tablestore.ErrUnknownOutcome} {
		virtualtime.Test(t, func(t *testing.T) {
			service := newRejectingService(oddPart)
			if errors.Is(want, tablestore.ErrUnknownOutcome) {
				service = newResettingService(oddPart)
				service.applies = true
			}
			sharing := &sharedGroups{Table: service}
			writesEach(t, NewGroup(sharing, true, nil), 32, 1250*time.Microsecond, func(part int, _ time.Duration, err error) {
				if part%2 == 1 && !errors.Is(err, want) {
					t.Errorf("part %d: %v, want %v", part, err, want)
				}
			})
			if sharing.failed.Load() == 0 {
				t.Error("no writes of failing parts shared a group")
			}
			for key, times := range service.applied {
				if times > 1 {
					t.Errorf("%s was written %d times", key, times)
				}
			}
		})
	}
}

// sharedGroups counts the transactions of several odd parts only.
type sharedGroups struct {
	tablestore.Table
	failed atomic.Int64
}

// Commit implements tablestore.Table.
func (s *sharedGroups) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	only := transaction.Across
	for _, write := range transaction.Writes {
		only = only && oddPart(partOf(write.Key))
	}
	if only {
		s.failed.Add(1)
	}
	return s.Table.Commit(ctx, transaction)
}

// TestFailingPartsThatFallSilentDelayNoOthers: eight of 32 parts reset all calls, and stop responding after a second. Writes to the
// others must commit, in the time that is allowed beside silent parts.
func TestFailingPartsThatFallSilentDelayNoOthers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		silentFrom := time.Now().Add(time.Second)
		fails := func(part string) bool { return len(part) == 2 && part >= "24" }
		resetting := newResettingService(func(part string) bool { return fails(part) && time.Now().Before(silentFrom) })
		service := silentTable{resetting, func(part string) bool { return fails(part) && !time.Now().Before(silentFrom) }}
		failed, slowest := 0, time.Duration(0)
		group := NewGroup(service, true, nil)
		writesEach(t, group, 32, 1250*time.Microsecond, func(part int, took time.Duration, err error) {
			if part >= 24 {
				return
			}
			slowest = max(slowest, took)
			if err != nil {
				failed++
			}
		})
		if failed > 0 || slowest > 200*time.Millisecond {
			t.Errorf("of the writes to parts that are well, %d failed, and the slowest took %s", failed, slowest)
		}
	})
}

// silentTable is a table service some of whose parts do not respond to transactions, until their time is over.
type silentTable struct {
	tablestore.Table
	isSilent func(part string) bool
}

// Commit implements tablestore.Table.
func (s silentTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	for _, write := range transaction.Writes {
		if s.isSilent(partOf(write.Key)) {
			<-ctx.Done()
			return tablestore.Receipt{}, errors.Mark(ctx.Err(), tablestore.ErrUnknownOutcome)
		}
	}
	return s.Table.Commit(ctx, transaction)
}
