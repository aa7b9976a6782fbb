package soak

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// keepAliveOutcome returns the outcome of a request on a keep-alive connection whose last bytes were sent at the given
// time.
func keepAliveOutcome(at time.Duration, status int) Outcome {
	return Outcome{FirstBytesSent: true, AllBytesSent: true, LastBytesAt: at, Status: status, Complete: status != 0}
}

// TestCheckerFindsUnansweredOpenConnections closes a connection with a request on it, during planned stops and at
// other times.
func TestCheckerFindsUnansweredOpenConnections(t *testing.T) {
	const stop, sent, exited = 10 * time.Second, 12 * time.Second, 14 * time.Second
	for name, test := range map[string]struct {
		before  func(*Checker)
		outcome Outcome
		after   func(*Checker)
		want    []Promise
	}{
		"during a stop": {
			func(c *Checker) { c.Stopping(stop, node) }, keepAliveOutcome(sent, 0), func(c *Checker) { c.Stopped(exited, node) }, []Promise{OpenConnection},
		},
		"during a stop, exit reported first": {
			func(c *Checker) { c.Stopping(stop, node); c.Stopped(exited, node) }, keepAliveOutcome(sent, 0), func(*Checker) {}, []Promise{OpenConnection},
		},
		"within the headers": {
			func(c *Checker) { c.Stopping(stop, node) }, Outcome{FirstBytesSent: true, LastBytesAt: sent}, func(c *Checker) { c.Stopped(exited, node) }, []Promise{OpenConnection},
		},
		"while the process exits": {
			func(c *Checker) { c.Stopping(stop, node) }, keepAliveOutcome(exited-unreadMargin+1, 0), func(c *Checker) { c.Stopped(exited, node) }, nil,
		},
		"without a stop": {func(*Checker) {}, keepAliveOutcome(sent, 0), func(*Checker) {}, []Promise{OpenConnection}},
		"long after a stop": {
			func(c *Checker) { c.Stopping(1, node); c.Stopped(2, node); c.Restarted(node) }, keepAliveOutcome(sent, 0), func(*Checker) {}, []Promise{OpenConnection},
		},
		"after a kill":        {func(c *Checker) { c.DisruptionStarted(node, false) }, keepAliveOutcome(sent, 0), func(*Checker) {}, nil},
		"not connected":       {func(*Checker) {}, Outcome{ConnectFailed: true}, func(*Checker) {}, nil},
		"rejected":            {func(c *Checker) { c.Stopping(stop, node) }, keepAliveOutcome(sent, 503), func(c *Checker) { c.Stopped(exited, node) }, nil},
		"client disconnected": {func(*Checker) {}, Outcome{FirstBytesSent: true, GaveUp: true}, func(*Checker) {}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewChecker(1)
			test.before(c)
			c.AttemptSent(sent, Attempt{ID: "s1", Process: node, Path: "/safe/x", Deadline: callerDeadline, Repeatable: true})
			c.AttemptEnded(exited, "s1", test.outcome)
			test.after(c)
			wantBroken(t, c, test.want...)
		})
	}
}

// A caller that got no processor time within the pause of its headers sent the rest after HeaderTimeout, when the process
// had closed the connection as too slow; the soak took that for a request that was dropped.
//
// TestOverdueHeadersMayBeClosed closes a connection on which a request's headers have taken a given time.
func TestOverdueHeadersMayBeClosed(t *testing.T) {
	const sent = 10 * time.Second
	for took, want := range map[time.Duration][]Promise{operators.HeaderTimeout: {OpenConnection}, operators.HeaderTimeout + 1: nil} {
		c := NewChecker(1)
		c.AttemptSent(sent, Attempt{ID: "s1", Process: node, Path: "/safe/x", Deadline: callerDeadline, Repeatable: true})
		c.AttemptEnded(sent+took, "s1", Outcome{FirstBytesSent: true, LastBytesAt: sent + took, SendingTook: took})
		wantBroken(t, c, want...)
		if _, excused := c.StallTotals(); excused[OpenConnection] != int64(1-len(want)) {
			t.Errorf("headers of %s: %d violations were excused", took, excused[OpenConnection])
		}
	}
}

// TestReusableIdleKeepsToTheShortestTimeout decreases and increases the idle timeout.
func TestReusableIdleKeepsToTheShortestTimeout(t *testing.T) {
	var idle setting
	idle.add(0, 15*time.Second)
	for _, step := range []struct{ at, idle, want time.Duration }{
		{10 * time.Second, 5 * time.Second, 4 * time.Second},
		{20 * time.Second, 10 * time.Second, 4 * time.Second},
		{60 * time.Second, 10 * time.Second, 8 * time.Second},
	} {
		idle.add(step.at, step.idle)
		if got := maxReusableIdle(&idle, step.at); got != step.want {
			t.Errorf("after %s: reusable for %s, want %s", step.at, got, step.want)
		}
	}
}
