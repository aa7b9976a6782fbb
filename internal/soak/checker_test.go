package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"
)

const (
	node       = "node-1"
	testEngine = "models1-1"
)

// turnScenario is the expected history of one turn that continues from another. Each test mutates it.
type turnScenario struct {
	sent    Attempt
	arrival Arrival
	outcome Outcome
}

// turnOf returns a turn and its expected observations.
func turnOf(id, previous, body string) turnScenario {
	scenario := turnScenario{
		sent: Attempt{ID: id, Process: node, Route: routeKept, Path: "/kept/x", Body: body, PreviousTurn: previous, Program: "p",
			Budget: 3 * maxTokens, MaxTokens: maxTokens, Events: eventsPerTurn, Deadline: callerDeadline},
		arrival: Arrival{ID: id, Engine: testEngine, Path: "/kept/x", Body: body},
		outcome: Outcome{Status: http.StatusOK, ID: id, Seal: Seal(testEngine, id), Complete: true},
	}
	for number := 1; number <= eventsPerTurn; number++ {
		scenario.outcome.Events = append(scenario.outcome.Events, EventData(id, testEngine, number, false))
	}
	return scenario
}

// play reports the scenario to a checker, starting at the given time.
func (s turnScenario) play(c *Checker, at time.Duration) {
	c.AttemptSent(at, s.sent)
	c.RequestArrived(at+time.Millisecond, s.arrival)
	c.EngineAnswers(s.arrival.Engine, s.sent.ID, http.StatusOK)
	c.AttemptEnded(at+100*time.Millisecond, s.sent.ID, s.outcome)
}

// wantBroken demands that exactly the given promises were violated.
func wantBroken(t *testing.T, c *Checker, want ...Promise) {
	t.Helper()
	var got []Promise
	for _, finding := range c.TakeFindings() {
		if !slices.Contains(got, finding.Promise) {
			got = append(got, finding.Promise)
		}
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("violated promises: %v, want %v", got, want)
	}
}

// TestCheckerFindsEachMutation reports a correct history, and each mutation of it.
func TestCheckerFindsEachMutation(t *testing.T) {
	tests := []struct {
		name   string
		mutate func(*turnScenario)
		want   []Promise
	}{
		{"correct", func(*turnScenario) {}, nil},
		{"history is missing", func(s *turnScenario) { s.arrival.Body = "second" }, []Promise{History}},
		{"path was changed", func(s *turnScenario) { s.arrival.Path = "/kept/y" }, []Promise{UnalteredRequest}},
		{"id was changed", func(s *turnScenario) { s.arrival.ID = "unknown" }, []Promise{UnalteredRequest}},
		{"an event is missing", func(s *turnScenario) { s.outcome.Events = s.outcome.Events[:3] }, []Promise{IntactAnswer}},
		{"an event is another's", func(s *turnScenario) { s.outcome.Events[1] = EventData("other", testEngine, 2, false) }, []Promise{IntactAnswer}},
		{"an event came twice", func(s *turnScenario) { s.outcome.Events[2] = s.outcome.Events[1] }, []Promise{IntactAnswer}},
		{"a surplus event", func(s *turnScenario) {
			s.outcome.Events = append(s.outcome.Events, EventData(s.sent.ID, testEngine, eventsPerTurn+1, false))
			s.outcome.Complete = false
		}, []Promise{IntactAnswer}},
		{"cut and marked incomplete", func(s *turnScenario) { s.outcome.Events = s.outcome.Events[:3]; s.outcome.Complete = false }, nil},
		{"no seal", func(s *turnScenario) { s.outcome.Seal = "" }, []Promise{IntactAnswer}},
		{"another request's answer", func(s *turnScenario) { s.outcome.ID = "other" }, []Promise{IntactAnswer}},
		{"rejected though it ran", func(s *turnScenario) { s.outcome = Outcome{Status: 503} }, []Promise{NotRun}},
		{"budget spent though it ran", func(s *turnScenario) { s.outcome = Outcome{Status: 402} }, []Promise{NotRun}},
		{"throttled though it ran", func(s *turnScenario) { s.outcome = Outcome{Status: 429} }, []Promise{NotRun}},
		{"previous turn unknown though retained", func(s *turnScenario) { s.outcome = Outcome{Status: 404} }, []Promise{Retained}},
		{"expired previous turn unknown", func(s *turnScenario) { s.sent.PreviousTurn = "long ago"; s.outcome = Outcome{Status: 404} }, nil},
		{"previous turn gone though retained", func(s *turnScenario) { s.outcome = Outcome{Status: 410} }, []Promise{Retained}},
		{"denied", func(s *turnScenario) { s.sent.PreviousTurn = ""; s.outcome = Outcome{Status: 403} }, []Promise{ValidNotRejected}},
		{"denied, with a previous turn", func(s *turnScenario) { s.outcome = Outcome{Status: 403} }, []Promise{ValidNotRejected}},
		{"unknown, without a previous turn", func(s *turnScenario) { s.sent.PreviousTurn = ""; s.outcome = Outcome{Status: 404} }, []Promise{ValidNotRejected}},
		{"redirected", func(s *turnScenario) { s.outcome = Outcome{Status: 302} }, []Promise{ValidNotRejected, IntactAnswer}},
		{"failed", func(s *turnScenario) { s.outcome = Outcome{Status: 502} }, nil},
		{"body of a first turn altered", func(s *turnScenario) { s.sent.PreviousTurn = ""; s.arrival.Body = "second" }, []Promise{UnalteredRequest}},
		{"seal of another request", func(s *turnScenario) { s.outcome.Seal = Seal(testEngine, "other") }, []Promise{IntactAnswer}},
		{"another engine's answer", func(s *turnScenario) { s.outcome.Seal = Seal("models2-1", s.sent.ID) }, []Promise{IntactAnswer}},
		{"seal of an engine that answered another status", func(s *turnScenario) { s.outcome.Status = 500 }, []Promise{IntactAnswer}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := NewChecker(1)
			turnOf("t1", "", "first").play(c, time.Second)
			second := turnOf("t2", "t1", "firstanswersecond")
			test.mutate(&second)
			second.play(c, 2*time.Second)
			wantBroken(t, c, test.want...)
		})
	}
}

// TestCheckerFindsAnAlteredBody alters the body of an answer that is no stream.
func TestCheckerFindsAnAlteredBody(t *testing.T) {
	for body, want := range map[string][]Promise{AnswerBody("u1", testEngine): nil, "answer of": {IntactAnswer}} {
		c := NewChecker(1)
		c.AttemptSent(0, Attempt{ID: "u1", Path: "/unsafe/x"})
		c.RequestArrived(0, Arrival{ID: "u1", Engine: testEngine, Path: "/unsafe/x"})
		c.EngineAnswers(testEngine, "u1", http.StatusOK)
		c.AttemptEnded(time.Second, "u1", Outcome{Status: 200, ID: "u1", Seal: Seal(testEngine, "u1"), Body: body, Complete: true})
		wantBroken(t, c, want...)
	}
}

// TestCheckerFindsASuccessThatTheEngineDidNotSend reports a success to the caller and a failure of the engine.
func TestCheckerFindsASuccessThatTheEngineDidNotSend(t *testing.T) {
	c := NewChecker(1)
	turn := turnOf("t1", "", "x")
	c.AttemptSent(0, turn.sent)
	c.RequestArrived(1, turn.arrival)
	c.EngineAnswers(testEngine, "t1", http.StatusInternalServerError)
	c.AttemptEnded(2, "t1", turn.outcome)
	wantBroken(t, c, IntactAnswer)
}

// TestCheckerFindsASecondRun runs repeatable and non-repeatable requests twice.
func TestCheckerFindsASecondRun(t *testing.T) {
	for repeatable, want := range map[bool][]Promise{true: nil, false: {AtMostOnce}} {
		c := NewChecker(1)
		turn := turnOf("t1", "", "x")
		turn.sent.Repeatable = repeatable
		c.AttemptSent(0, turn.sent)
		c.RequestArrived(1, turn.arrival)
		c.RequestArrived(2, Arrival{ID: "t1", Engine: "models2-1", Path: "/kept/x", Body: "x"})
		wantBroken(t, c, want...)
	}
}

// TestCheckerFindsARunAfterARejection lets a request reach an engine after it was rejected.
func TestCheckerFindsARunAfterARejection(t *testing.T) {
	for status, want := range map[int][]Promise{502: nil, 503: {NotRun}, 429: {NotRun}, 402: {NotRun}, 408: {NotRun}, 421: {NotRun}} {
		c := NewChecker(1)
		turn := turnOf("t1", "", "x")
		c.AttemptSent(0, turn.sent)
		c.AttemptEnded(1, "t1", Outcome{Status: status})
		c.RequestArrived(2, turn.arrival)
		wantBroken(t, c, want...)
	}
}

// TestCheckerFindsOverspending delivers one turn more than the budget and one turn.
func TestCheckerFindsOverspending(t *testing.T) {
	for turns, want := range map[int][]Promise{4: nil, 5: {Budget}} {
		c := NewChecker(1)
		for i := range turns {
			turnOf(fmt.Sprintf("t%d", i), "", "x").play(c, time.Duration(i)*time.Second)
		}
		wantBroken(t, c, want...)
	}
}

// TestCheckerFindsRequestsCutByAPlannedStop cuts a turn after its process was ordered to stop.
func TestCheckerFindsRequestsCutByAPlannedStop(t *testing.T) {
	tests := []struct {
		name   string
		mutate func(c *Checker)
		end    Outcome
		want   []Promise
	}{
		{"cut", func(*Checker) {}, Outcome{Status: 200, ID: "t1", Seal: Seal(testEngine, "t1")}, []Promise{PlannedStop}},
		{"closed without an answer", func(*Checker) {}, Outcome{}, []Promise{PlannedStop}},
		{"complete", func(*Checker) {}, turnOf("t1", "", "x").outcome, nil},
		{"its engine aborted the answer", func(c *Checker) { c.AnswerAborted("t1") }, Outcome{}, nil},
		{"its engine crashed", func(c *Checker) { c.EngineCrashed(testEngine) }, Outcome{}, nil},
		{"client disconnected", func(*Checker) {}, Outcome{GaveUp: true}, nil},
		{"an unplanned fault at the same time", func(c *Checker) { c.DisruptionStarted(node, false) }, Outcome{}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := NewChecker(1)
			turn := turnOf("t1", "", "x")
			c.AttemptSent(10*time.Second, turn.sent)
			c.RequestArrived(10*time.Second, turn.arrival)
			c.EngineAnswers(testEngine, "t1", http.StatusOK)
			c.DisruptionStarted(node, true)
			c.Stopping(10*time.Second, node)
			test.mutate(c)
			c.AttemptEnded(11*time.Second, "t1", test.end)
			wantBroken(t, c, test.want...)
		})
	}
}

// TestRequestsThatArriveAtATerminatedEngineAreInterrupted cuts a turn that arrives after the report that its engine, or
// another one, is terminated, and before its connections are closed.
func TestRequestsThatArriveAtATerminatedEngineAreInterrupted(t *testing.T) {
	for crashed, want := range map[string][]Promise{testEngine: nil, testEngine + "/1": {PlannedStop}, "models2-1": {PlannedStop}} {
		t.Run(crashed, func(t *testing.T) {
			c := NewChecker(1)
			turn := turnOf("t1", "", "x")
			c.DisruptionStarted(node, true)
			c.Stopping(10*time.Second, node)
			c.AttemptSent(10*time.Second, turn.sent)
			c.EngineCrashed(crashed)
			c.RequestArrived(10*time.Second, turn.arrival)
			c.EngineAnswers(testEngine, "t1", http.StatusOK)
			c.AttemptEnded(11*time.Second, "t1", Outcome{Status: http.StatusOK, ID: "t1", Seal: Seal(testEngine, "t1")})
			wantBroken(t, c, want...)
		})
	}
}

// TestJudgeKnowsThatACarrierWasKilled cuts a turn of a stopping process that reached its engine through another
// process, the carrier. Only the kill of the carrier excuses the cut, only at the turn's engine, and only for a
// request that may not be resent.
func TestJudgeKnowsThatACarrierWasKilled(t *testing.T) {
	const (
		stop    = 10 * time.Second
		killed  = stop + time.Second
		carrier = "node-2"
	)
	for _, test := range []struct {
		name           string
		process        string // process that was killed
		disconnectedAt time.Duration
		engine         string // engine whose client disconnected; empty for none
		repeatable     bool
		want           []Promise
	}{
		{"when the carrier was killed", carrier, killed + killVisibleFor, testEngine, false, nil},
		{"later", carrier, killed + killVisibleFor + 1, testEngine, false, []Promise{PlannedStop}},
		{"before", carrier, killed - 1, testEngine, false, []Promise{PlannedStop}},
		{"its engine saw no disconnect", carrier, 0, "", false, []Promise{PlannedStop}},
		{"another engine saw the disconnect", carrier, killed, "models2-1", false, []Promise{PlannedStop}},
		{"the stopping process itself disconnected", node, killed, testEngine, false, []Promise{PlannedStop}},
		{"it may be resent", carrier, killed, testEngine, true, []Promise{PlannedStop}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := NewChecker(1)
			turn := turnOf("t1", "", "x")
			turn.sent.Repeatable = test.repeatable
			c.AttemptSent(stop, turn.sent)
			c.RequestArrived(stop, turn.arrival)
			c.EngineAnswers(testEngine, "t1", http.StatusOK)
			c.DisruptionStarted(node, true)
			c.Stopping(stop, node)
			c.Killed(killed, test.process)
			if test.engine != "" {
				c.ClientDisconnected(test.disconnectedAt, "t1", test.engine)
			}
			c.AttemptEnded(killed+time.Second, "t1", Outcome{})
			wantBroken(t, c, test.want...)
		})
	}
}

// TestCheckerExpectsTurnsWithinTheirRetention reports a turn as unknown that was cut, or that was answered completely
// some time before.
func TestCheckerExpectsTurnsWithinTheirRetention(t *testing.T) {
	const retention = turnRetention - callerDeadline
	for _, test := range []struct {
		name     string
		complete bool
		after    time.Duration // since the end of the turn before it
		want     []Promise
	}{
		{"complete, within the retention", true, retention - 1, []Promise{Retained}},
		{"complete, at the end of the retention", true, retention, nil},
		{"cut", false, time.Second, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := NewChecker(1)
			previous := turnOf("t1", "", "first")
			previous.outcome.Complete = test.complete
			previous.play(c, 0)
			next := turnOf("t2", "t1", "firstanswersecond")
			next.outcome = Outcome{Status: http.StatusNotFound}
			c.AttemptSent(100*time.Millisecond+test.after, next.sent) // a scenario ends after 100 ms
			c.AttemptEnded(101*time.Millisecond+test.after, "t2", next.outcome)
			wantBroken(t, c, test.want...)
		})
	}
}

// TestCheckerFindsCutRequestsThatHaveNotRun cuts requests by a planned stop before they run.
func TestCheckerFindsCutRequestsThatHaveNotRun(t *testing.T) {
	const stop = 10 * time.Second
	for _, test := range []struct {
		name        string
		sent, ended time.Duration
		outcome     Outcome
		want        []Promise
	}{
		{"certainly read", stop - stopMargin - 1, stop + 1, Outcome{}, []Promise{PlannedStop}},
		{"possibly not read", stop - stopMargin, stop + 1, Outcome{}, nil},
		{"on a keep-alive connection", stop - stopMargin - 1, stop + 1, Outcome{FirstBytesSent: true, Status: 502}, nil},
		{"not sent", stop - stopMargin - 1, stop + 1, Outcome{ConnectFailed: true}, nil},
		{"before the stop", stop - stopMargin - 2, stop - 1, Outcome{}, nil},
		{"near its deadline", stop + 1 - callerDeadline + stopMargin - 1, stop + 1, Outcome{}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := NewChecker(1)
			c.AttemptSent(test.sent, turnOf("t1", "", "x").sent)
			c.DisruptionStarted(node, true)
			c.Stopping(stop, node)
			c.AttemptEnded(test.ended, "t1", test.outcome)
			wantBroken(t, c, test.want...)
		})
	}
}

// TestCheckerExcusesACrashOfTheLastEngineOnly cuts a turn after the crash of an engine that it had run at before its
// last one.
func TestCheckerExcusesACrashOfTheLastEngineOnly(t *testing.T) {
	c := NewChecker(1)
	turn := turnOf("t1", "", "x")
	turn.sent.Repeatable = true
	c.AttemptSent(10*time.Second, turn.sent)
	c.RequestArrived(10*time.Second, turn.arrival)
	c.RequestArrived(10*time.Second, Arrival{ID: "t1", Engine: "models2-1", Path: "/kept/x", Body: "x"})
	c.EngineCrashed(testEngine)
	c.Stopping(10*time.Second, node)
	c.AttemptEnded(11*time.Second, "t1", Outcome{})
	wantBroken(t, c, Answered, PlannedStop)
}

// TestCheckerFindsUnansweredRequests lets a process leave a request unanswered, connected and disrupted.
func TestCheckerFindsUnansweredRequests(t *testing.T) {
	const sent = 10 * time.Second
	answer := turnOf("t1", "", "x").outcome
	for _, test := range []struct {
		name    string
		before  func(c *Checker)
		outcome Outcome
		want    []Promise
	}{
		{"answered", func(*Checker) {}, answer, nil},
		{"rejected", func(*Checker) {}, Outcome{Status: 503}, nil},
		{"client gave up", func(*Checker) {}, Outcome{GaveUp: true}, []Promise{Answered}},
		{"client gave up within the answer", func(*Checker) {}, Outcome{GaveUp: true, Status: 200, ID: "t1", Seal: answer.Seal}, []Promise{Answered}},
		{"closed", func(*Checker) {}, Outcome{}, []Promise{Answered}},
		{"not connected", func(*Checker) {}, Outcome{ConnectFailed: true}, nil},
		{"sent late on a keep-alive connection", func(*Checker) {}, Outcome{FirstBytesSent: true, GaveUp: true}, nil},
		{"its process was killed", func(c *Checker) { c.DisruptionStarted(node, false) }, Outcome{}, nil},
		{"its process was told to stop", func(c *Checker) { c.DisruptionStarted(node, true) }, Outcome{}, nil},
		{"the store was unavailable", func(c *Checker) { c.DisruptionStarted(storeName, false); c.DisruptionEnded(sent, storeName, false) }, Outcome{GaveUp: true}, nil},
		{"another process was killed", func(c *Checker) { c.DisruptionStarted("node-2", false) }, Outcome{}, []Promise{Answered}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := NewChecker(1)
			turn := turnOf("t1", "", "x")
			c.AttemptSent(sent, turn.sent)
			c.RequestArrived(sent, turn.arrival)
			c.EngineAnswers(testEngine, "t1", http.StatusOK)
			test.before(c)
			if test.outcome.Status == 503 {
				delete(c.attempts, "t1") // it has not run
				c.AttemptSent(sent, turn.sent)
			}
			c.AttemptEnded(sent+time.Second, "t1", test.outcome)
			wantBroken(t, c, test.want...)
		})
	}
}

// TestCheckerCountsChecksAndFindings counts checks and violations, of which only some findings are kept.
func TestCheckerCountsChecksAndFindings(t *testing.T) {
	const count = maxFindingsPerPromise + 10
	for engine, limit := range map[string]int{"": maxFindingsPerPromise, testEngine: maxFindingsPerEngine} {
		c := NewChecker(1)
		for range count {
			c.check(false, UnalteredRequest, 0, nil, engine, "")
			c.check(true, AtMostOnce, 0, nil, engine, "")
		}
		checked, broken := c.Counts()
		if checked[UnalteredRequest] != count || checked[AtMostOnce] != count || broken[UnalteredRequest] != count || len(broken) != 1 {
			t.Errorf("checked %v, violated %v", checked, broken)
		}
		if found := c.TakeFindings(); len(found) != limit {
			t.Errorf("%d findings at engine %q were kept, want %d", len(found), engine, limit)
		}
		if again := c.TakeFindings(); len(again) != 0 {
			t.Errorf("%d findings were returned twice", len(again))
		}
	}
}

// TestLogsAreSavedOnFindings checks that logs are saved if, and only if, there are findings.
func TestLogsAreSavedOnFindings(t *testing.T) {
	for _, holds := range []bool{true, false} {
		d, end := storeDeployment(t, 1)
		defer end()
		d.processes[0].settings.Node, d.processes[0].log = node, &tail{}
		d.checker.check(holds, UnalteredRequest, 0, nil, "", "")
		report, directory := d.report(Options{}), filepath.Join(t.TempDir(), "logs")
		if err := d.saveLogs(directory, report); err != nil {
			t.Fatal(err)
		}
		_, err := os.Stat(filepath.Join(directory, node+".log"))
		_, waitsErr := os.Stat(filepath.Join(directory, waitsFile))
		if report.HasFindings() == holds || (err == nil) == holds || (waitsErr == nil) == holds {
			t.Errorf("holds %t: findings %t, log %v, waits %v", holds, report.HasFindings(), err, waitsErr)
		}
	}
}

// TestCheckerFindsUnexpectedExits reports an expected and an unexpected exit of a process.
func TestCheckerFindsUnexpectedExits(t *testing.T) {
	for expected, want := range map[bool][]Promise{true: nil, false: {ExpectedExit}} {
		c := NewChecker(1)
		c.ProcessEnded(0, node, expected, "how")
		wantBroken(t, c, want...)
	}
}

// TestCheckerFindsProcessesThatAreNotReady reports a process as not ready, connected and disrupted.
func TestCheckerFindsProcessesThatAreNotReady(t *testing.T) {
	for _, planned := range []bool{false, true} {
		for after, want := range map[time.Duration][]Promise{contactBound - 1: nil, contactBound: {ReportsReady}} {
			for _, ready := range []bool{false, true} {
				c := NewChecker(1)
				c.DisruptionStarted(node, planned)
				c.Readiness(time.Second, time.Second, node, ready)
				c.DisruptionEnded(10*time.Second, node, planned)
				c.Readiness(10*time.Second+after, 11*time.Second+after, node, ready)
				if ready {
					want = nil
				}
				wantBroken(t, c, want...)
			}
		}
	}
}

// TestCheckerDropsOldAttempts bounds the state that a long soak keeps.
func TestCheckerDropsOldAttempts(t *testing.T) {
	c := NewChecker(1)
	for i := range 10 * 60 {
		turn := turnOf(fmt.Sprintf("t%d", i), "", "x")
		turn.sent.Program = turn.sent.ID
		turn.play(c, time.Duration(i)*time.Second)
	}
	limit := int((attemptRetention+2*time.Second)/time.Second) + 1
	if len(c.attempts) > limit || len(c.programs) > limit {
		t.Errorf("%d attempts and %d programs are kept, want at most %d", len(c.attempts), len(c.programs), limit)
	}
	wantBroken(t, c)
}

// TestPlanDependsOnTheSeed compares plans of the same seed and of another one.
func TestPlanDependsOnTheSeed(t *testing.T) {
	kinds := slices.Concat(Disruptions, Operations)
	plan := Plan(7, time.Hour, kinds)
	if !reflect.DeepEqual(plan, Plan(7, time.Hour, kinds)) {
		t.Error("the same seed gave another plan")
	}
	if reflect.DeepEqual(plan, Plan(8, time.Hour, kinds)) {
		t.Error("another seed gave the same plan")
	}
	for _, kind := range kinds {
		if !slices.ContainsFunc(plan, func(f Fault) bool { return f.Kind == kind }) {
			t.Errorf("the plan of an hour has no %s", kind)
		}
	}
	for _, fault := range Plan(7, time.Hour, []Kind{StoreUnavailable}) {
		if fault.Kind != StoreUnavailable {
			t.Errorf("%s was drawn though not selected", fault.Kind)
		}
	}
}
