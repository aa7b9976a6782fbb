package soak

import (
	"maps"
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

// StallCounts counts the times in which the soak's own process got no processor time.
type StallCounts struct {
	Count     int64 `json:"count"`
	TotalMS   int64 `json:"total_ms"`
	LongestMS int64 `json:"longest_ms"`
}

// stalls records when the soak's own process stalled, by the beats of a timer. Without beats there are no stalls.
type stalls struct {
	beating   bool
	lastBeat  time.Duration
	anyEnded  bool
	lastEnded time.Duration
	counts    StallCounts
}

// beat records a beat of the timer.
func (s *stalls) beat(now time.Duration) {
	if late := s.lateBy(now); late > stallBound {
		s.anyEnded, s.lastEnded = true, now
		s.counts.Count++
		s.counts.TotalMS += late.Milliseconds()
		s.counts.LongestMS = max(s.counts.LongestMS, late.Milliseconds())
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

// StallTotals returns how often the soak stalled, and how many violations of each promise that excused.
func (c *Checker) StallTotals() (StallCounts, map[Promise]int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stalls.counts, maps.Clone(c.excused)
}

// excuseStalled reports whether a stall after since excuses a violation, and counts it. The caller holds the mutex.
func (c *Checker) excuseStalled(promise Promise, since, now time.Duration) bool {
	stalled := c.stalls.stalledAfter(since, now)
	if stalled {
		c.excused[promise]++
	}
	return stalled
}

// beat reports the beats of the soak's own timer to the checker until the soak ends.
func (d *deployment) beat() {
	for backoff.Wait(d.context, beatInterval) {
		d.checker.Beat(d.now())
	}
}
