package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// startProgress is how far a process has come that was just started.
type startProgress struct {
	age        time.Duration // since its start
	handled    bool          // whether its runtime handles signals
	ran        time.Duration // for which its threads have run
	ranBefore  time.Duration // the part of ran before its runtime handled signals, as of the last poll that saw none handled
	slept      time.Duration // since its runtime handles signals, in which no thread ran or waited for a processor
	sleeping   bool          // at the last poll
	subscribed bool          // whether the program had subscribed to the signal when it was sent
}

// add records a poll: whether the runtime handles signals, and samples of all threads.
func (s *startProgress) add(age time.Duration, handled bool, samples map[string]threadSample) {
	ran, runnable := time.Duration(0), len(samples) == 0
	for _, sample := range samples {
		ran += time.Duration(sample.runTime)
		runnable = runnable || sample.runnable
	}
	sleeping := handled && !runnable
	if s.sleeping && sleeping {
		s.slept += min(age-s.age, maxCountedSleep)
	}
	if !handled {
		s.ranBefore = ran
	}
	s.age, s.handled, s.ran, s.sleeping = age, handled, ran, sleeping
}

// maySignal reports whether the process may get signals.
func (s *startProgress) maySignal() bool {
	hasRun := s.age >= firstSignalAge && s.ran-s.ranBefore >= firstSignalRunTime
	return s.handled && (hasRun || s.slept >= maxStartSleep)
}

// String tells what allowed the first signal.
func (s *startProgress) String() string {
	const unit = float64(time.Millisecond)
	return fmt.Sprintf("first SIGHUP %.1f ms after the start: ran %.1f ms, %.1f ms of them since signals are handled, slept %.1f ms, subscribed: %t",
		float64(s.age)/unit, float64(s.ran)/unit, float64(s.ran-s.ranBefore)/unit, float64(s.slept)/unit, s.subscribed)
}

// handlesSignal reports whether a process has a handler of a signal. The Go runtime has one of most signals from its start on, and ends
// the process by those that the program has not subscribed to. No process has ID 0.
func handlesSignal(processID int64, signal syscall.Signal) bool {
	caught, ok := signalMask(filepath.Join("/proc", strconv.FormatInt(processID, 10), "status"), "SigCgt")
	return ok && hasSignal(caught, signal)
}

// subscribesToSignal reports whether a Go program has subscribed to a signal: the runtime has a thread that blocks all signals but these
// and those that cannot be blocked. SIGUSR2 stands for the blocked ones.
func subscribesToSignal(processID int64, signal syscall.Signal) bool {
	for thread := range readThreads(processID) {
		blocked, ok := signalMask(filepath.Join(thread, "status"), "SigBlk")
		if ok && hasSignal(blocked, syscall.SIGUSR2) && !hasSignal(blocked, signal) {
			return true
		}
	}
	return false
}

// signalMask reads a mask of signals from the status of a process or thread. It returns false if that has just exited.
func signalMask(path, name string) (mask uint64, ok bool) {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, false
	}
	_, rest, _ := strings.Cut(string(content), "\n"+name+":")
	digits, _, _ := strings.Cut(rest, "\n")
	mask, err = strconv.ParseUint(strings.TrimSpace(digits), 16, 64)
	return mask, err == nil
}

func hasSignal(mask uint64, signal syscall.Signal) bool { return mask>>(signal-1)&1 == 1 }
