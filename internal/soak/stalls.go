package soak

import (
	"maps"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Times of the soak's own timer.
const (
	beatInterval = 10 * time.Millisecond
	// stallBound is how late a beat may be. The stand-ins for the store and the engines run in the soak's process, so a
	// later beat shows that they responded late as well: by at least as much as under StoreSlow, which counts as a
	// disruption of the store.
	stallBound = 200 * time.Millisecond
)

// StallCounts counts times without processor time.
type StallCounts struct {
	Count     int64 `json:"count"`
	TotalMS   int64 `json:"total_ms"`
	LongestMS int64 `json:"longest_ms"`
}

// StallTotals holds the stalls of a soak.
type StallTotals struct {
	Soak      StallCounts            `json:"soak"`      // late beats of its own timer
	Processes map[string]StallCounts `json:"processes"` // waits of threads, of the processes under test and of the soak's own
}

// add counts a stall.
func (s *StallCounts) add(took time.Duration) {
	s.Count++
	s.TotalMS += took.Milliseconds()
	s.LongestMS = max(s.LongestMS, took.Milliseconds())
}

// stalls records when the soak's own process stalled, by the beats of a timer. Without beats there are no stalls.
type stalls struct {
	beating   bool
	lastBeat  time.Duration
	anyEnded  bool
	lastEnded time.Duration
	counts    StallCounts
	late      []wait // from when a late beat was due until it came
}

// beat records a beat of the timer.
func (s *stalls) beat(now time.Duration) {
	if late := s.lateBy(now); late > stallBound {
		s.anyEnded, s.lastEnded = true, now
		s.counts.add(late)
		s.late = append(s.late, wait{now - late, now})
	}
	s.beating, s.lastBeat = true, now
}

// lateBy returns by how much the next beat is late; negative if it is not due yet.
func (s *stalls) lateBy(now time.Duration) time.Duration {
	if !s.beating {
		return 0
	}
	return now - s.lastBeat - beatInterval
}

// stalledAfter reports whether a stall has ended after since, or is in progress.
func (s *stalls) stalledAfter(since, now time.Duration) bool {
	return s.anyEnded && s.lastEnded > since || s.lateBy(now) > stallBound
}

// Beat records that the soak's own timer, which beats every beatInterval, has beaten.
func (c *Checker) Beat(now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stalls.beat(now)
}

// soakName stands for the soak's own process among those whose threads wait.
const soakName = "soak"

// timerName stands for the soak's own timer among the waits.
const timerName = "soak's timer"

// threadWaitBound returns how long a thread of a process may wait for a processor. Waits of the soak's own threads, on
// which the stand-ins run, are only counted; they excuse nothing.
func threadWaitBound(process string) time.Duration {
	if process == soakName {
		return stallBound
	}
	return processStallBound
}

// ThreadWait is a time in which a thread waited for a processor, in seconds since the start of the soak.
type ThreadWait struct {
	Process string  `json:"process"` // soakName for a thread of the soak, timerName for a late beat
	From    float64 `json:"from"`
	Until   float64 `json:"until"`
}

// wait is a time in which a thread of a process waited for a processor.
type wait struct{ from, until time.Duration }

// processStall records when threads of a process waited for a processor for longer than threadWaitBound.
type processStall struct {
	waiting   time.Duration // how long a thread has been waiting; 0 without a stall
	anySeen   bool
	lastSeen  time.Duration
	completed StallCounts
	waits     []wait // completed ones
}

// stalledAfter reports whether a thread has waited too long after since.
func (s *processStall) stalledAfter(since time.Duration) bool {
	return s != nil && s.anySeen && s.lastSeen > since
}

// ThreadWaited records for how long a thread of a process has been waiting for a processor.
func (c *Checker) ThreadWaited(now time.Duration, process string, waited time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stall := c.processStalls[process]
	if stall == nil {
		stall = &processStall{}
		c.processStalls[process] = stall
	}
	if stall.waiting > 0 && waited < stall.waiting {
		stall.completed.add(stall.waiting)
		stall.waits = append(stall.waits, wait{stall.lastSeen - stall.waiting, stall.lastSeen})
		stall.waiting = 0
	}
	if waited > threadWaitBound(process) {
		stall.waiting, stall.anySeen, stall.lastSeen = waited, true, now
	}
}

// all returns the completed waits and the one that lasts.
func (s *processStall) all() []wait {
	if s == nil {
		return nil
	}
	if s.waiting > 0 {
		return append(slices.Clone(s.waits), wait{s.lastSeen - s.waiting, s.lastSeen})
	}
	return s.waits
}

// WaitedSince returns for how long threads of a process have waited for a processor after since, in waits of more than
// threadWaitBound each.
func (c *Checker) WaitedSince(since time.Duration, process string) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.processStalls[process].waitedSince(since)
}

// waitedSince returns for how long after since a thread was waiting. Time in which several threads waited counts once.
func (s *processStall) waitedSince(since time.Duration) time.Duration {
	total, counted := time.Duration(0), since
	for _, w := range s.all() { // ordered by their ends
		total += max(0, w.until-max(w.from, counted))
		counted = max(counted, w.until)
	}
	return total
}

// excuseWaited reports whether threads of the process waited for a processor for longer than margin since, which excuses a
// violation, and counts it. The caller holds the mutex.
func (c *Checker) excuseWaited(promise Promise, process string, since, margin time.Duration) bool {
	excused := c.processStalls[process].waitedSince(since) > margin
	if excused {
		c.excused[promise]++
	}
	return excused
}

// ThreadWaits returns the late beats of the soak's timer and all waits of more than threadWaitBound, by process and time.
func (c *Checker) ThreadWaits() []ThreadWait {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var waits []ThreadWait
	for _, w := range c.stalls.late {
		waits = append(waits, ThreadWait{timerName, w.from.Seconds(), w.until.Seconds()})
	}
	for _, process := range slices.Sorted(maps.Keys(c.processStalls)) {
		for _, w := range c.processStalls[process].all() {
			waits = append(waits, ThreadWait{process, w.from.Seconds(), w.until.Seconds()})
		}
	}
	return waits
}

// StallTotals returns the completed stalls, and how many violations of each promise were excused.
func (c *Checker) StallTotals() (StallTotals, map[Promise]int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	totals := StallTotals{Soak: c.stalls.counts, Processes: make(map[string]StallCounts)}
	for process, stall := range c.processStalls {
		if stall.completed.Count > 0 {
			totals.Processes[process] = stall.completed
		}
	}
	return totals, maps.Clone(c.excused)
}

// excuseStalled reports whether a stall of the soak or of the process after since excuses a violation, and counts it. The
// caller holds the mutex.
func (c *Checker) excuseStalled(promise Promise, process string, since, now time.Duration) bool {
	stalled := c.stalls.stalledAfter(since, now) || c.processStalls[process].stalledAfter(since)
	if stalled {
		c.excused[promise]++
	}
	return stalled
}

// ExcuseLateExit counts an exit that was late by no more than its process's threads had waited for a processor.
func (c *Checker) ExcuseLateExit() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.excused[ExpectedExit]++
}

// beat reports the beats of the soak's own timer to the checker until the soak ends.
func (d *deployment) beat() {
	for backoff.Wait(d.context, beatInterval) {
		d.checker.Beat(d.now())
	}
}
