package soak

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// TestOnlyAThreadThatDoesNotRunWaits reports two samples of a thread that are alike, or differ in one respect.
func TestOnlyAThreadThatDoesNotRunWaits(t *testing.T) {
	waiting := threadSample{runnable: true, runTime: 5, slices: 7}
	for name, test := range map[string]struct {
		before, after threadSample
		want          time.Duration
	}{
		"waits":       {waiting, waiting, time.Second},
		"runs":        {waiting, threadSample{runnable: true, runTime: 6, slices: 7}, 0},
		"ran":         {waiting, threadSample{runnable: true, runTime: 5, slices: 8}, 0},
		"sleeps":      {threadSample{runTime: 5, slices: 7}, threadSample{runTime: 5, slices: 7}, 0},
		"fell asleep": {waiting, threadSample{runTime: 5, slices: 7}, 0},
		"woke up":     {threadSample{runTime: 5, slices: 7}, waiting, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var waits threadWaits
			waits.add(time.Second, map[string]threadSample{"a": test.before})
			idle := threadSample{runTime: 1, slices: 1}
			if got := waits.add(2*time.Second, map[string]threadSample{"a": test.after, "b": idle}); got != test.want {
				t.Errorf("waited %s, want %s", got, test.want)
			}
		})
	}
}

// TestWaitLastsOverManySamples reports a thread that waits in three samples and then runs, beside one that ends.
func TestWaitLastsOverManySamples(t *testing.T) {
	var waits threadWaits
	waiting := threadSample{runnable: true, runTime: 5, slices: 7}
	waits.add(0, map[string]threadSample{"a": waiting, "ended": waiting})
	for _, at := range []time.Duration{time.Second, 2 * time.Second} {
		if got := waits.add(at, map[string]threadSample{"a": waiting}); got != at {
			t.Errorf("waited %s, want %s", got, at)
		}
	}
	if got := waits.add(3*time.Second, map[string]threadSample{"a": {runnable: true, runTime: 6, slices: 8}}); got != 0 {
		t.Errorf("waited %s after it ran, want 0", got)
	}
}

// TestReadThread reads a thread whose name looks like the end of a name and a state.
func TestReadThread(t *testing.T) {
	for status, runnable := range map[string]bool{"12 (a) R b) S 1 2": false, "12 (a) S b) R 1 2": true} {
		directory := t.TempDir()
		for name, content := range map[string]string{"stat": status, "schedstat": "635451 77189 8\n"} {
			if err := os.WriteFile(filepath.Join(directory, name), []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want := threadSample{runnable: runnable, runTime: 635451, slices: 8}
		if got, ok := readThread(directory); !ok || got != want {
			t.Errorf("%s: got %+v, %t, want %+v", status, got, ok, want)
		}
	}
	if _, ok := readThread(t.TempDir()); ok {
		t.Error("a thread that is gone has a sample")
	}
}

// A process whose threads waited 1.5 s for a processor did not answer whether it is ready, and the soak took it for one
// in touch.
//
// TestReadinessIsExcusedByAProcessStallOnly reports a process as not ready after one of its threads, or one of another
// process, has waited for a processor.
func TestReadinessIsExcusedByAProcessStallOnly(t *testing.T) {
	const waitedAt = 20 * time.Second
	for name, test := range map[string]struct {
		process string
		waited  time.Duration
		askedAt time.Duration
		want    []Promise
	}{
		"as long as allowed":   {node, processStallBound, waitedAt, []Promise{ReportsReady}},
		"longer than allowed":  {node, processStallBound + 1, waitedAt, nil},
		"another process":      {"node-2", time.Second, waitedAt, []Promise{ReportsReady}},
		"a thread of the soak": {soakName, time.Second, waitedAt, []Promise{ReportsReady}},
		"still recovering":     {node, time.Second, waitedAt + contactBound - 1, nil},
		"recovered":            {node, time.Second, waitedAt + contactBound, []Promise{ReportsReady}},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewChecker(1)
			c.ThreadWaited(waitedAt, test.process, test.waited)
			c.Readiness(test.askedAt, test.askedAt+time.Second, node, false)
			wantBroken(t, c, test.want...)
			if _, excused := c.StallTotals(); excused[ReportsReady] != int64(1-len(test.want)) {
				t.Errorf("%d violations were excused", excused[ReportsReady])
			}
		})
	}
}

// TestWaitsOfTheSoakAreCounted reports a wait of a thread of the soak that is longer than a beat may be late.
func TestWaitsOfTheSoakAreCounted(t *testing.T) {
	c := NewChecker(1)
	c.ThreadWaited(0, soakName, stallBound+time.Millisecond)
	c.ThreadWaited(waitSampleInterval, soakName, 0)
	want := StallCounts{Count: 1, TotalMS: 201, LongestMS: 201}
	if got, _ := c.StallTotals(); got.Processes[soakName] != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestProcessStallsAreCounted reports two waits that are longer than allowed, the first in two samples, and short ones.
func TestProcessStallsAreCounted(t *testing.T) {
	c := NewChecker(1)
	for i, waited := range []time.Duration{0, 400, 500, 100, 0, 350, 0} {
		c.ThreadWaited(time.Duration(i)*waitSampleInterval, node, waited*time.Millisecond)
	}
	want := StallCounts{Count: 2, TotalMS: 850, LongestMS: 500}
	if got, _ := c.StallTotals(); got.Processes[node] != want || len(got.Processes) != 1 || got.Soak.Count != 0 {
		t.Errorf("got %+v, want %+v of %s alone", got, want, node)
	}
}

// TestWaitsAtTheSameTimeCountOnce reports a thread that waits from 1 s until 3 s and another one from 2 s until 5 s.
func TestWaitsAtTheSameTimeCountOnce(t *testing.T) {
	c := NewChecker(1)
	c.ThreadWaited(3*time.Second, node, 2*time.Second)
	c.ThreadWaited(3100*time.Millisecond, node, 1100*time.Millisecond)
	c.ThreadWaited(5*time.Second, node, 3*time.Second)
	c.ThreadWaited(5100*time.Millisecond, node, 0)
	for since, want := range map[time.Duration]time.Duration{0: 4 * time.Second, 2 * time.Second: 3 * time.Second, 4 * time.Second: time.Second} {
		if got := c.WaitedSince(since, node); got != want {
			t.Errorf("since %s: waited %s, want %s", since, got, want)
		}
	}
}

// TestWaitedSince reports two waits of a process and one of another, and asks from before, within and after them.
func TestWaitedSince(t *testing.T) {
	c := NewChecker(1)
	c.ThreadWaited(10*time.Second, "node-2", 5*time.Second)
	report := func(at, waited time.Duration) { c.ThreadWaited(at, node, waited) }
	report(2*time.Second, time.Second)
	report(3*time.Second, 2*time.Second) // from 1 s until 3 s
	report(3100*time.Millisecond, 0)
	report(4*time.Second, processStallBound) // not long enough
	report(4100*time.Millisecond, 0)
	report(6*time.Second, time.Second) // from 5 s on, lasts
	for since, want := range map[time.Duration]time.Duration{0: 3 * time.Second, 2 * time.Second: 2 * time.Second, 3 * time.Second: time.Second, 6 * time.Second: 0} {
		if got := c.WaitedSince(since, node); got != want {
			t.Errorf("since %s: waited %s, want %s", since, got, want)
		}
	}
	want := []ThreadWait{{node, 1, 3}, {node, 5, 6}, {"node-2", 5, 10}}
	if got := c.ThreadWaits(); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Requests to a process whose threads waited 10.7 s for a processor lay in its backlog until their callers had left, and
// the soak took it for one that does not answer.
//
// TestUnansweredRequestIsExcusedByWaitsOfItsProcessOnly has a caller leave a process whose threads, or those of another one
// or of the soak, waited while it was waiting for an answer, or before.
func TestUnansweredRequestIsExcusedByWaitsOfItsProcessOnly(t *testing.T) {
	const sent, left = 20 * time.Second, 20*time.Second + clientTimeout
	for name, test := range map[string]struct {
		process     string
		from, until time.Duration
		outcome     Outcome
		want        []Promise
	}{
		"longer than the caller's patience":  {node, sent, sent + patience + 1, Outcome{GaveUp: true}, nil},
		"as long as the caller's patience":   {node, sent, sent + patience, Outcome{GaveUp: true}, []Promise{Answered}},
		"began before the request, and long": {node, 0, sent + patience + 1, Outcome{GaveUp: true}, nil},
		"mostly before the request":          {node, 0, sent + patience, Outcome{GaveUp: true}, []Promise{Answered}},
		"waits as the caller leaves":         {node, left - patience - 1, left, Outcome{GaveUp: true}, nil},
		"another process waited":             {"node-2", sent, left, Outcome{GaveUp: true}, []Promise{Answered}},
		"a thread of the soak waited":        {soakName, sent, left, Outcome{GaveUp: true}, []Promise{Answered}},
		"closed without an answer":           {node, sent, left, Outcome{}, []Promise{Answered}},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewChecker(1)
			c.AttemptSent(sent, turnOf("t1", "", "x").sent)
			c.ThreadWaited(test.until, test.process, test.until-test.from)
			if test.until < left {
				c.ThreadWaited(test.until+waitSampleInterval, test.process, 0)
			}
			c.AttemptEnded(left, "t1", test.outcome)
			wantBroken(t, c, test.want...)
			if _, excused := c.StallTotals(); excused[Answered] != int64(1-len(test.want)) {
				t.Errorf("%d violations were excused", excused[Answered])
			}
		})
	}
}
