package fleet

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Memory is the memory of the process after a garbage collection, in bytes.
type Memory struct {
	Heap       uint64 `json:"heap"`     // live objects
	Stacks     uint64 `json:"stacks"`   // of goroutines
	Resident   uint64 `json:"resident"` // as the system counts it; 0 if unknown
	Goroutines int    `json:"goroutines"`
}

// readMemory collects garbage and measures what is left.
func readMemory() Memory {
	runtime.GC()
	runtime.GC() // the second frees what finalizers of the first let go
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return Memory{
		Heap:       stats.HeapAlloc,
		Stacks:     stats.StackInuse,
		Resident:   residentBytes(),
		Goroutines: runtime.NumGoroutine(),
	}
}

// residentBytes reads the resident set where the system shows it.
func residentBytes() uint64 {
	content, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * uint64(os.Getpagesize())
}

// processorTime returns the user and system time of the process so far.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
