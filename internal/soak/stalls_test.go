package soak

import (
	"slices"
	"testing"
	"time"
)

// beatUntil reports punctual beats from one time to another, both included.
func beatUntil(c *Checker, from, to time.Duration) {
	for at := from; at <= to; at += beatInterval {
		c.Beat(at)
	}
}

// A soak beside busy processes found processes in touch not ready, whose store had stood still together with the soak.
//
// TestReadinessIsExcusedByAStallOnly reports a process as not ready around a beat of the soak's own timer that is late by
// no more than the bound, or by more. A process that was asked before the stall, or has had contactBound to recover from
// it, is a finding.
func TestReadinessIsExcusedByAStallOnly(t *testing.T) {
	const begin = 20 * time.Second
	const late = begin + beatInterval + stallBound + 1 // the earliest late beat
	tests := []struct {
		name                  string
		beatAt                time.Duration // the beat after begin; later ones are punctual
		requestedAt, answered time.Duration
		want                  []Promise
	}{
		{"punctual beats", begin + beatInterval, begin + time.Second, begin + time.Second, []Promise{ReportsReady}},
		{"as late as allowed", late - 1, late, late, []Promise{ReportsReady}},
		{"later than allowed", late, late, late, nil},
		{"during the late beat", late, begin, late, nil},
		{"before the stall", late, begin - time.Second, begin, []Promise{ReportsReady}},
		{"still recovering", late, late + contactBound - 1, late + contactBound, nil},
		{"recovered", late, late + contactBound, late + contactBound + 1, []Promise{ReportsReady}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := NewChecker(1)
			beatUntil(c, 0, begin)
			if test.answered < test.beatAt {
				c.Readiness(test.requestedAt, test.answered, node, false)
			}
			beatUntil(c, test.beatAt, max(test.beatAt, test.answered))
			if test.answered >= test.beatAt {
				c.Readiness(test.requestedAt, test.answered, node, false)
			}
			wantBroken(t, c, test.want...)
			_, excused := c.StallTotals()
			if wantExcused := int64(1 - len(test.want)); excused[ReportsReady] != wantExcused {
				t.Errorf("%d violations were excused, want %d", excused[ReportsReady], wantExcused)
			}
		})
	}
}

// TestReadinessIsExcusedWhileTheStallLasts reports a process as not ready before the late beat, which the same stall
// holds up.
func TestReadinessIsExcusedWhileTheStallLasts(t *testing.T) {
	for after, want := range map[time.Duration][]Promise{stallBound: {ReportsReady}, stallBound + 1: nil} {
		c := NewChecker(1)
		beatUntil(c, 0, 20*time.Second)
		at := 20*time.Second + beatInterval + after
		c.Readiness(at, at, node, false)
		wantBroken(t, c, want...)
	}
}

// TestReadinessWithoutBeatsIsNotExcused reports a process as not ready to a checker that gets no beats.
func TestReadinessWithoutBeatsIsNotExcused(t *testing.T) {
	c := NewChecker(1)
	c.Readiness(time.Minute, time.Minute, node, false)
	wantBroken(t, c, ReportsReady)
}

// TestStallsAreCounted reports two late beats and a punctual one between them.
func TestStallsAreCounted(t *testing.T) {
	c := NewChecker(1)
	at := time.Duration(0)
	for _, late := range []time.Duration{0, 300 * time.Millisecond, stallBound, 500 * time.Millisecond} {
		at += beatInterval + late
		c.Beat(at)
	}
	want := StallCounts{Count: 2, TotalMS: 800, LongestMS: 500}
	if got, _ := c.StallTotals(); got.Soak != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	wantWaits := []ThreadWait{{timerName, .02, .32}, {timerName, .54, 1.04}}
	if got := c.ThreadWaits(); !slices.Equal(got, wantWaits) {
		t.Errorf("got %v, want %v", got, wantWaits)
	}
}

// TestStallExcusesNothingElse stalls the soak around answers that are wrong, and around a request that its caller left.
func TestStallExcusesNothingElse(t *testing.T) {
	c := NewChecker(1)
	c.Beat(0)
	c.Beat(time.Second)
	altered := turnOf("t1", "", "first")
	altered.outcome.Events = altered.outcome.Events[:3]
	altered.play(c, time.Second)
	refused := turnOf("t2", "", "first")
	refused.outcome = Outcome{Status: 503}
	refused.play(c, time.Second)
	unanswered := turnOf("t3", "", "first")
	unanswered.outcome = Outcome{GaveUp: true}
	unanswered.play(c, time.Second)
	wantBroken(t, c, IntactAnswer, NotRun, Answered)
}
