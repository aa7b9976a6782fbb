package commitgroup

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// oddPart reports whether a part is one of every second one.
func oddPart(part string) bool { return strings.ContainsAny(part[len(part)-1:], "13579") }

// timedService records when it is called.
type timedService struct {
	tablestore.Table
	mutex sync.Mutex
	calls []time.Time
}

// Commit implements tablestore.Table.
func (s *timedService) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	s.mutex.Lock()
	s.calls = append(s.calls, time.Now())
	s.mutex.Unlock()
	return s.Table.Commit(ctx, transaction)
}

// mostInASecond returns the largest number of times within any second. The times are in order.
func mostInASecond(times []time.Time) int {
	most, oldest := 0, 0
	for i, at := range times {
		for !at.Before(times[oldest].Add(time.Second)) {
			oldest++
		}
		most = max(most, i-oldest+1)
	}
	return most
}

// TestLostGroupsKeepToTheSendRateInAnySecond: half of 32 parts reset all calls, from the start or after one or two seconds.
// The groups that find them must not exceed the send rate in any second.
func TestLostGroupsKeepToTheSendRateInAnySecond(t *testing.T) {
	for _, quiet := range []time.Duration{0, time.Second, 2 * time.Second} {
		virtualtime.Test(t, func(t *testing.T) {
			fails := time.Now().Add(quiet)
			resetting := &resettingService{faultyTable: newFaultyTable(1, 0), resets: func(part string) bool { return oddPart(part) && !time.Now().Before(fails) }}
			service := &timedService{Table: resetting}
			writesOfManyParts(t, NewGroup(service, true, nil), func(int, time.Duration, error) {})
			if most, allowed := mostInASecond(service.calls), int(time.Second/minGroupInterval); most > allowed {
				t.Errorf("parts fail after %s: %d calls in a second, the send rate allows %d", quiet, most, allowed)
			}
		})
	}
}

// TestPartsThatFailAtABusyWriterDelayNoOthers: half of 32 parts reset all calls, after a second or two in which the writer sent as
// many groups as the send rate allows. All writes to the others must commit, on time.
func TestPartsThatFailAtABusyWriterDelayNoOthers(t *testing.T) {
	for _, quiet := range []time.Duration{time.Second, 2 * time.Second} {
		virtualtime.Test(t, func(t *testing.T) {
			fails := time.Now().Add(quiet)
			service := &resettingService{faultyTable: newFaultyTable(1, 0), resets: func(part string) bool { return oddPart(part) && !time.Now().Before(fails) }}
			failed, slowest := 0, time.Duration(0)
			writesOfManyParts(t, NewGroup(service, true, nil), func(part int, took time.Duration, err error) {
				if part%2 == 1 {
					return
				}
				slowest = max(slowest, took)
				if err != nil {
					failed++
				}
			})
			if failed > 0 || slowest > onTime {
				t.Errorf("parts fail after %s: of the writes to the others, %d failed, and the slowest took %s", quiet, failed, slowest)
			}
		})
	}
}

// TestPartThatResetsHasTurns: one part resets all calls, while the others have as many writes as fill all groups. Its write must
// have a result on time, too.
func TestPartThatResetsHasTurns(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &resettingService{faultyTable: newFaultyTable(1, 0), resets: func(part string) bool { return part == "1" }}
		slowest := time.Duration(0)
		writesOfManyParts(t, NewGroup(service, true, nil), func(part int, took time.Duration, _ error) {
			if part == 1 {
				slowest = max(slowest, took)
			}
		})
		if slowest > onTime {
			t.Errorf("a write to the part that resets had its result after %s", slowest)
		}
	})
}

// unavailableService is a table service some of whose parts reject each call to them after 4 ms.
type unavailableService struct {
	*faultyTable
	rejects func(part string) bool
}

// Commit implements tablestore.Table.
func (u *unavailableService) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	for _, write := range transaction.Writes {
		if u.rejects(partOf(write.Key)) {
			time.Sleep(4 * time.Millisecond) // virtual
			return tablestore.Receipt{}, errors.Mark(errors.New("503"), tablestore.ErrUnavailable)
		}
	}
	return u.faultyTable.Commit(ctx, transaction)
}

// TestHalfOfManyPartsThatRejectDelayNoOthers: every second one of 32 parts rejects all calls for three seconds. All writes
// to the others must commit, on time.
func TestHalfOfManyPartsThatRejectDelayNoOthers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &unavailableService{faultyTable: newFaultyTable(1, 0), rejects: oddPart}
		failed, slowest := 0, time.Duration(0)
		writesOfManyParts(t, NewGroup(service, true, nil), func(part int, took time.Duration, err error) {
			if part%2 == 1 {
				return
			}
			slowest = max(slowest, took)
			if err != nil {
				failed++
			}
		})
		if failed > 0 || slowest > onTime {
			t.Errorf("of the writes to parts that are well, %d failed, and the slowest took %s", failed, slowest)
		}
	})
}
