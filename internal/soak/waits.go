package soak

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Times of the checks on processes' threads.
const (
	waitSampleInterval = 100 * time.Millisecond
	// processStallBound is how long a thread of a process may wait for a processor: as long as the shortest injected
	// pause of a process.
	processStallBound = minStepDuration
)

// threadSample is what the system says about a thread. A thread that is runnable in two samples with the same run time
// and the same number of time slices has waited for a processor from the first until the second.
type threadSample struct {
	runnable bool
	runTime  int64 // in ns
	slices   int64
}

// threadWaits tracks for how long threads have been waiting for a processor.
type threadWaits struct {
	samples map[string]threadSample  // by thread
	since   map[string]time.Duration // first of the equal samples
}

// add records samples of all threads of a process and returns how long the thread that waits longest has waited.
func (w *threadWaits) add(now time.Duration, samples map[string]threadSample) time.Duration {
	longest := time.Duration(0)
	since := make(map[string]time.Duration)
	for thread, sample := range samples {
		before, known := w.samples[thread]
		switch {
		case !sample.runnable:
			continue
		case known && before == sample:
			since[thread] = w.since[thread]
		default:
			since[thread] = now
		}
		longest = max(longest, now-since[thread])
	}
	w.samples, w.since = samples, since
	return longest
}

// readThreads returns samples of all threads of a process. It leaves out threads that end meanwhile, and all threads on a
// system that says nothing about them. No process has ID 0.
func readThreads(processID int64) map[string]threadSample {
	samples := make(map[string]threadSample)
	threads, err := filepath.Glob(filepath.Join("/proc", strconv.FormatInt(processID, 10), "task", "*"))
	if err != nil {
		return samples
	}
	for _, thread := range threads {
		if sample, ok := readThread(thread); ok {
			samples[thread] = sample
		}
	}
	return samples
}

// readThread reads the sample of one thread: the state from "pid (name) state ...", and run time, wait time and number of
// time slices.
func readThread(directory string) (sample threadSample, ok bool) {
	times, timesErr := os.ReadFile(filepath.Join(directory, "schedstat"))
	status, statusErr := os.ReadFile(filepath.Join(directory, "stat"))
	fields := strings.Fields(string(times))
	afterName := strings.LastIndex(string(status), ") ")
	if timesErr != nil || statusErr != nil || len(fields) != 3 || afterName < 0 {
		return threadSample{}, false
	}
	runTime, runErr := strconv.ParseInt(fields[0], 10, 64)
	slices, slicesErr := strconv.ParseInt(fields[2], 10, 64)
	sample = threadSample{runnable: strings.HasPrefix(string(status)[afterName+2:], "R "), runTime: runTime, slices: slices}
	return sample, runErr == nil && slicesErr == nil
}

// startWatchingWaits starts to watch for how long threads wait for a processor. It goes on after the end of the soak until
// stop is called, since processes that were told to stop may not have exited by then.
func (d *deployment) startWatchingWaits(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var watching sync.WaitGroup
	watching.Go(func() { d.watchWaits(ctx) })
	return func() {
		cancel()
		watching.Wait()
	}
}

// watchWaits reports for how long threads of the processes, and of the soak itself, wait for a processor to the checker,
// until the context ends.
func (d *deployment) watchWaits(ctx context.Context) {
	waits := make([]threadWaits, len(d.processes)+1)
	for backoff.Wait(ctx, waitSampleInterval) {
		for i, p := range d.processes {
			d.reportWait(p.settings.Node, &waits[i], p.processID())
		}
		d.reportWait(soakName, &waits[len(d.processes)], int64(os.Getpid()))
	}
}

func (d *deployment) reportWait(name string, waits *threadWaits, processID int64) {
	now := d.now()
	d.checker.ThreadWaited(now, name, waits.add(now, readThreads(processID)))
}
