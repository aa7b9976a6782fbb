package soak

import (
	"fmt"
	"testing"
	"time"
)

// fatalSeed: two requests that end their engines, each with a kill of all processes after one of the first tries.
const fatalSeed = 1

// TestCheckerFindsFourthEndedEngine has a request reach three engines, which end under it, and a fourth one.
func TestCheckerFindsFourthEndedEngine(t *testing.T) {
	c := NewChecker(1)
	for number := range maxEndedEngines {
		c.FatalRequestArrived(time.Second, "f", "fatal x", fmt.Sprint("portal-", number))
		c.FatalRequestArrived(time.Second, "g", "fatal y", "other")
	}
	wantBroken(t, c)
	if ended := c.EndedUnder("fatal x"); ended != maxEndedEngines {
		t.Errorf("%d engines ended, want %d", ended, maxEndedEngines)
	}
	c.FatalRequestArrived(time.Second, "f", "fatal x", "portal-3")
	wantBroken(t, c, EnginesEnded)
}

// TestShortSoakOfFatalRequests kills all processes at once while requests end their engines. No engine gets one of them under which three
// have ended.
func TestShortSoakOfFatalRequests(t *testing.T) {
	report := runShortSoak(t, Options{Seed: fatalSeed, Duration: steadyDuration, Processes: 3, Program: build(t), Kinds: []Kind{FatalRequest}})
	if report.Injected[string(FatalRequest)] != fatalPerCycle {
		t.Errorf("want %d requests that end their engines: %v", fatalPerCycle, report.Injected)
	}
	wantChecked(t, report, EnginesEnded, Answered)
}
