package commitgroup

import (
	"testing"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// evenPart reports whether a part is none of every second one.
func evenPart(part string) bool { return !oddPart(part) }

// eachKindOfCalls runs a test with a service whose odd parts fail all calls, and with one whose odd parts fail all writes.
func eachKindOfCalls(t *testing.T, newService func(fails func(part string) bool) *failingService, test func(t *testing.T, service *failingService)) {
	for _, readable := range []bool{false, true} {
		name := "all_calls"
		if readable {
			name = "writes"
		}
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := newService(oddPart)
				service.readable = readable
				test(t, service)
			})
		})
	}
}

// TestHalfOfManyPartsThatResetDelayNoOthers: every second one of 32 parts resets all calls, or all writes, for three
// seconds. All writes to the others must commit, on time.
func TestHalfOfManyPartsThatResetDelayNoOthers(t *testing.T) {
	eachKindOfCalls(t, newResettingService, func(t *testing.T, service *failingService) {
		failed, slowest := writesOfManyParts(t, service, evenPart)
		expectOthersOnTime(t, failed, slowest)
	})
}

// TestWritesToServiceThatResetsAllFailOnTime: all of 32 parts reset all calls, or all writes, for three seconds. Every
// write must fail on time, so that its caller can do something else.
func TestWritesToServiceThatResetsAllFailOnTime(t *testing.T) {
	for _, readable := range []bool{false, true} {
		virtualtime.Test(t, func(t *testing.T) {
			all := func(string) bool { return true }
			service := newResettingService(all)
			service.readable = readable
			if _, slowest := writesOfManyParts(t, service, all); slowest > onTime {
				t.Errorf("reads are answered: %t: the slowest write failed after %s", readable, slowest)
			}
		})
	}
}
