package soak

import (
	"testing"
	"time"
)

// kept is what became of a request on a kept connection whose last bytes were sent at some time.
func kept(at time.Duration, status int) Outcome {
	return Outcome{Begun: true, Whole: true, At: at, Status: status, Complete: status != 0}
}

// TestJudgeCatchesAnOpenConnectionThatIsClosed closes a connection with a request on it, in stops
// and beside them.
func TestJudgeCatchesAnOpenConnectionThatIsClosed(t *testing.T) {
	const stop, sent, gone = 10 * time.Second, 12 * time.Second, 14 * time.Second
	for name, test := range map[string]struct {
		before  func(*Judge)
		outcome Outcome
		after   func(*Judge)
		want    []Promise
	}{
		"in a stop": {
			func(j *Judge) { j.Stopping(stop, node) }, kept(sent, 0), func(j *Judge) { j.Gone(gone, node) }, []Promise{OpenConnection},
		},
		"in a stop whose end is told first": {
			func(j *Judge) { j.Stopping(stop, node); j.Gone(gone, node) }, kept(sent, 0), func(*Judge) {}, []Promise{OpenConnection},
		},
		"in the middle of its head": {
			func(j *Judge) { j.Stopping(stop, node) }, Outcome{Begun: true, At: sent}, func(j *Judge) { j.Gone(gone, node) }, []Promise{OpenConnection},
		},
		"while its process ends": {
			func(j *Judge) { j.Stopping(stop, node) }, kept(gone-goneMargin+1, 0), func(j *Judge) { j.Gone(gone, node) }, nil,
		},
		"without a stop": {func(*Judge) {}, kept(sent, 0), func(*Judge) {}, []Promise{OpenConnection}},
		"long after a stop": {
			func(j *Judge) { j.Stopping(1, node); j.Gone(2, node); j.Started(node) }, kept(sent, 0), func(*Judge) {}, []Promise{OpenConnection},
		},
		"after a kill":    {func(j *Judge) { j.Disrupt(node, false) }, kept(sent, 0), func(*Judge) {}, nil},
		"seen before":     {func(*Judge) {}, Outcome{Unreached: true}, func(*Judge) {}, nil},
		"refused":         {func(j *Judge) { j.Stopping(stop, node) }, kept(sent, 503), func(j *Judge) { j.Gone(gone, node) }, nil},
		"its caller left": {func(*Judge) {}, Outcome{Begun: true, GaveUp: true}, func(*Judge) {}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			j := NewJudge(1)
			test.before(j)
			j.Sent(sent, Attempt{ID: "s1", Process: node, Path: "/safe/x", Deadline: callerDeadline, Repeatable: true})
			j.Ended(gone, "s1", test.outcome)
			test.after(j)
			wantBroken(t, j, test.want...)
		})
	}
}

// TestRestKeepsToTheShortestIdleTime changes the idle time, down and up.
func TestRestKeepsToTheShortestIdleTime(t *testing.T) {
	var idle setting
	idle.changed(0, 15*time.Second)
	for _, step := range []struct{ at, idle, want time.Duration }{
		{10 * time.Second, 5 * time.Second, 4 * time.Second},
		{20 * time.Second, 10 * time.Second, 4 * time.Second},
		{60 * time.Second, 10 * time.Second, 8 * time.Second},
	} {
		idle.changed(step.at, step.idle)
		if got := usableRest(&idle, step.at); got != step.want {
			t.Errorf("after %s: %s, want %s", step.at, got, step.want)
		}
	}
}
