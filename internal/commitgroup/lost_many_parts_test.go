package commitgroup

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// onTime is how long a write may take that is not to wait for parts that reset all calls, as in
// TestPartsThatResetFailOnlyTheirOwnWrites.
const onTime = 100 * time.Millisecond

// writesOfManyParts commits 800 writes a second to 32 parts for three seconds, and calls each with the result.
func writesOfManyParts(t *testing.T, group *Group, each func(part int, took time.Duration, err error)) {
	var callers sync.WaitGroup
	var mutex sync.Mutex
	for i := range 2400 {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 1250 * time.Microsecond) // virtual
			start := time.Now()
			_, err := group.Commit(t.Context(), row(i%32, fmt.Sprint(i), 0))
			took := time.Since(start)
			mutex.Lock()
			defer mutex.Unlock()
			each(i%32, took, err)
		})
	}
	callers.Wait()
}

// TestHalfOfManyPartsThatResetDelayNoOthers: every second one of 32 parts resets all calls for three seconds. All writes
// to the others must commit, on time.
func TestHalfOfManyPartsThatResetDelayNoOthers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &resettingService{faultyTable: newFaultyTable(1, 0), resets: func(part string) bool { return strings.ContainsAny(part[len(part)-1:], "13579") }}
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

// TestWritesToServiceThatResetsAllFailOnTime: all of 32 parts reset all calls for three seconds. Every write must fail on
// time, so that its caller can do something else.
func TestWritesToServiceThatResetsAllFailOnTime(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &resettingService{faultyTable: newFaultyTable(1, 0), resets: func(string) bool { return true }}
		slowest := time.Duration(0)
		writesOfManyParts(t, NewGroup(service, true, nil), func(_ int, took time.Duration, _ error) { slowest = max(slowest, took) })
		if slowest > onTime {
			t.Errorf("the slowest write failed after %s", slowest)
		}
	})
}
