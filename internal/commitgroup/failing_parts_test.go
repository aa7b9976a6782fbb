package commitgroup

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

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

// TestLostGroupsKeepToTheSendRateInAnySecond: half of 32 parts reset all calls, or all writes, from the start or after one
// or two seconds. The groups that find them must not exceed the send rate in any second.
func TestLostGroupsKeepToTheSendRateInAnySecond(t *testing.T) {
	for _, quiet := range []time.Duration{0, time.Second, 2 * time.Second} {
		eachKindOfCalls(t, newResettingService, func(t *testing.T, resetting *failingService) {
			resetting.fails = oddPartAfter(quiet)
			service := &timedService{Table: resetting}
			writesOfManyParts(t, service, oddPart)
			if most, allowed := mostInASecond(service.calls), int(time.Second/minGroupInterval); most > allowed {
				t.Errorf("parts fail after %s: %d calls in a second, the send rate allows %d", quiet, most, allowed)
			}
		})
	}
}

// oddPartAfter returns a function that reports whether a part is one of every second one, from a time from now.
func oddPartAfter(quiet time.Duration) func(part string) bool {
	fails := time.Now().Add(quiet)
	return func(part string) bool { return oddPart(part) && !time.Now().Before(fails) }
}

// TestPartsThatFailAtABusyWriterDelayNoOthers: half of 32 parts reset all calls, or all writes, after a second or two in
// which the writer sent as many groups as the send rate allows. All writes to the others must commit, on time.
func TestPartsThatFailAtABusyWriterDelayNoOthers(t *testing.T) {
	eachKindOfCalls(t, newResettingService, func(t *testing.T, kind *failingService) {
		for _, quiet := range []time.Duration{time.Second, 2 * time.Second} {
			service := newResettingService(oddPartAfter(quiet))
			service.readable = kind.readable
			failed, slowest := writesOfManyParts(t, service, evenPart)
			expectOthersOnTime(t, failed, slowest)
		}
	})
}

// TestPartThatResetsHasTurns: one part resets all calls, or all writes, while the others have as many writes as fill all
// groups. Its write must have a result on time, too.
func TestPartThatResetsHasTurns(t *testing.T) {
	eachKindOfCalls(t, newResettingService, func(t *testing.T, service *failingService) {
		service.fails = func(part string) bool { return part == "1" }
		if _, slowest := writesOfManyParts(t, service, service.fails); slowest > onTime {
			t.Errorf("a write to the part that resets had its result after %s", slowest)
		}
	})
}

// TestHalfOfManyPartsThatRejectDelayNoOthers: every second one of 32 parts rejects all calls, or all writes, for three
// seconds. All writes to the others must commit, on time.
func TestHalfOfManyPartsThatRejectDelayNoOthers(t *testing.T) {
	eachKindOfCalls(t, newRejectingService, func(t *testing.T, service *failingService) {
		failed, slowest := writesOfManyParts(t, service, evenPart)
		expectOthersOnTime(t, failed, slowest)
	})
}
