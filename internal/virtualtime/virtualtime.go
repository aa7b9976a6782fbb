// Package virtualtime runs tests in virtual time, as testing/synctest does, also with the race detector.
package virtualtime

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs a test in a bubble of virtual time; see synctest.Test. It is safe for tests that run in parallel.
//
// With the race detector the process uses one processor until the test ends. The runtime keeps one state of the detector
// for the timers of a bubble and updates it without a lock when a goroutine receives from an expired timer. Two goroutines
// that do so on two processors corrupt that state, and the process ends in the detector ("CHECK failed: tsan_rtl.cpp",
// SIGSEGV). The detector finds races by the order of synchronization, which does not need several processors.
func Test(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	if raceEnabled {
		useOneProcessor()
		defer restoreProcessors()
	}
	synctest.Test(t, test)
}

// processors holds how many tests need the process to use one processor, and how many it used before.
var processors struct {
	sync.Mutex
	tests  int
	before int
}

func useOneProcessor() {
	processors.Lock()
	defer processors.Unlock()
	if processors.tests == 0 {
		processors.before = runtime.GOMAXPROCS(1)
	}
	processors.tests++
}

func restoreProcessors() {
	processors.Lock()
	defer processors.Unlock()
	processors.tests--
	if processors.tests == 0 {
		runtime.GOMAXPROCS(processors.before)
	}
}
