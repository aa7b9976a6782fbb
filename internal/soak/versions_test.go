package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// playStream reports an attempt of a stream to a checker that got events of a version, from a number on.
func playStream(c *Checker, at time.Duration, id, resumes string, received, events int, version string) {
	engine := "models-of-" + version
	sent := Attempt{ID: id, Process: node, Build: buildBeside, Route: routeOnce, Path: "/once/x", Events: eventsPerTurn, Repeatable: true, ResumesID: resumes, EventsReceived: received, Deadline: callerDeadline}
	outcome := Outcome{Status: http.StatusOK, ID: id, Seal: Seal(engine, id), Complete: received+events == eventsPerTurn}
	for number := received + 1; number <= received+events; number++ {
		outcome.Events = append(outcome.Events, VersionedEvent(EventData(id, engine, number, true), version))
	}
	if events == 0 {
		outcome = Outcome{Status: http.StatusServiceUnavailable}
	}
	c.AttemptSent(at, sent)
	if events > 0 {
		c.RequestArrived(at+time.Millisecond, Arrival{ID: id, Engine: engine, Path: "/once/x"})
		c.EngineAnswers(engine, id, http.StatusOK)
		c.AnswerAborted(id)
	}
	c.AttemptEnded(at+100*time.Millisecond, id, outcome)
}

// TestCheckerFindsEventsOfTwoVersions resumes streams at their version, at another one, and by a third attempt that
// names the first.
func TestCheckerFindsEventsOfTwoVersions(t *testing.T) {
	c := NewChecker(1)
	playStream(c, time.Second, "a1", "", 0, 2, "v1")
	playStream(c, 2*time.Second, "a2", "a1", 2, 2, "v1")
	wantBroken(t, c)
	playStream(c, time.Second, "b1", "", 0, 2, "v1")
	playStream(c, 2*time.Second, "b2", "b1", 2, 0, "")
	playStream(c, 3*time.Second, "b3", "b1", 2, 2, "v2")
	wantBroken(t, c, OneVersion)
}

// TestFindingOfTwoVersionsNamesItsParts guards against a finding that does not tell which processes, of which build, and
// which engines the events of a stream came from.
func TestFindingOfTwoVersionsNamesItsParts(t *testing.T) {
	c := NewChecker(1)
	playStream(c, time.Second, "a1", "", 0, 2, "v1")
	playStream(c, 2*time.Second, "a2", "a1", 2, 2, "v2")
	findings := c.TakeFindings()
	want := `stream a1 has events of versions ["v1" "v2"]: a1 at node-1 (beside) got v1 v1, sent at 1.000 s, ran at models-of-v1; a2 at node-1 (beside) got v2 v2, sent at 2.000 s, ran at models-of-v2`
	if len(findings) != 1 || findings[0].Seen != want || findings[0].Build != buildBeside {
		t.Errorf("got %+v, want one that says %q", findings, want)
	}
}

// TestProcessNamesItsBuild starts processes of two builds several times.
func TestProcessNamesItsBuild(t *testing.T) {
	two, one := Options{Program: "new", SecondProgram: "old"}, Options{Program: "new"}
	for _, test := range []struct {
		options Options
		number  int
		starts  int64
		want    string
	}{
		{two, 0, 1, buildProgram}, {two, 0, 2, buildBeside}, {two, 0, 3, buildProgram},
		{two, 1, 1, buildBeside}, {two, 1, 2, buildProgram}, {one, 1, 2, ""},
	} {
		p := &process{programs: test.options.programsOf(test.number), secondProgram: test.options.SecondProgram}
		p.startCount.Store(test.starts)
		if got := p.build(); got != test.want {
			t.Errorf("process %d after %d starts of %+v: got %q, want %q", test.number, test.starts, test.options, got, test.want)
		}
	}
}

// TestCheckerFindsStreamsThatDoNotResume rejects resumed streams while two engines of their version serve, and while
// one does.
func TestCheckerFindsStreamsThatDoNotResume(t *testing.T) {
	for _, test := range []struct {
		engines, resumed, served int
		want                     []Promise
	}{
		{2, minResumed, minResumed / 2, nil},
		{2, minResumed, minResumed/2 - 1, []Promise{StreamResumes}},
		{2, minResumed - 1, 0, nil},
		{1, minResumed, 0, nil},
	} {
		c := NewChecker(1)
		for number := range test.engines {
			c.EngineVersion(fmt.Sprint("models", number), "v1")
		}
		c.EngineVersion("other", "v2")
		for number := range test.resumed {
			events := 0
			if number < test.served {
				events = 2
			}
			firstID, resumingID := fmt.Sprint("a", number), fmt.Sprint("b", number)
			playStream(c, time.Second, firstID, "", 0, 2, "v1")
			playStream(c, 2*time.Second, resumingID, firstID, 2, events, "v1")
		}
		c.CheckResumedShare(3 * time.Second)
		wantBroken(t, c, test.want...)
	}
}
