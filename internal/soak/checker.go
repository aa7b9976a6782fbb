package soak

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"
)

// tokensPerEvent is the number of tokens that a stand-in engine reports for each event.
const tokensPerEvent = 9

// attemptRetention is how long an attempt is kept after its end. A request of its ID that reaches an engine later
// counts as sent by no caller.
const attemptRetention = 60 * time.Second

// turnRetention is how long a program can continue from a turn.
const turnRetention = 60 * time.Second

// Limits on the findings that are kept; violations beyond them are only counted.
const (
	maxFindingsPerPromise = 60
	maxFindingsPerEngine  = 3 // of one promise and one engine
)

// enginePromise is a promise that was violated at an engine.
type enginePromise struct {
	promise Promise
	engine  string
}

// attempt is an attempt and what was observed of it.
type attempt struct {
	Attempt
	sent         time.Duration
	ended        time.Duration  // 0 while it is in flight
	status       int            // status of the response to its caller
	complete     bool           // answered in full
	ranAt        []string       // engines
	engineStatus map[string]int // status that each engine answered with
	interrupted  bool           // an engine aborted the answer or crashed, or the process that carried the request was killed
}

// spending counts the tokens delivered to a program's callers.
type spending struct {
	budget, maxTurn, delivered int64
	last                       time.Duration
}

// Checker checks observations against the promises. Times count from the start of the soak. Safe for concurrent use.
type Checker struct {
	seed uint64

	mutex          sync.Mutex
	attempts       map[string]*attempt
	programs       map[string]*spending
	bounds         bounds
	cold           coldLimits
	tenantWindows  map[string]*sendWindow // of tenants with a limit
	servedByEngine map[string]int64       // requests by engine
	terminated     map[string]bool        // engines that were, or are about to be, terminated
	connections    connections
	streams        streams
	stalls         stalls
	processStalls  map[string]*processStall
	excused        map[Promise]int64 // violations while the soak stalled
	checked        map[Promise]int64
	broken         map[Promise]int64
	brokenByEngine map[enginePromise]int64
	endedUnder     map[string][]string // engines that ended under requests which end all, by the body
	findings       []Finding
	lastSweep      time.Duration
}

// NewChecker returns a checker without observations.
func NewChecker(seed uint64) *Checker {
	return &Checker{
		seed:           seed,
		attempts:       make(map[string]*attempt),
		programs:       make(map[string]*spending),
		bounds:         newBounds(),
		cold:           newColdLimits(),
		tenantWindows:  make(map[string]*sendWindow),
		servedByEngine: make(map[string]int64),
		terminated:     make(map[string]bool),
		connections:    newConnections(),
		streams:        newStreams(),
		processStalls:  make(map[string]*processStall),
		excused:        make(map[Promise]int64),
		checked:        make(map[Promise]int64),
		broken:         make(map[Promise]int64),
		brokenByEngine: make(map[enginePromise]int64),
		endedUnder:     make(map[string][]string),
	}
}

// check counts a check and records a finding if it does not hold. The caller holds the mutex.
func (c *Checker) check(holds bool, promise Promise, now time.Duration, a *attempt, engine, format string, arguments ...any) {
	c.checked[promise]++
	if holds {
		return
	}
	c.broken[promise]++
	c.brokenByEngine[enginePromise{promise, engine}]++
	if c.broken[promise] > maxFindingsPerPromise || engine != "" && c.brokenByEngine[enginePromise{promise, engine}] > maxFindingsPerEngine {
		return
	}
	finding := Finding{Seed: c.seed, Second: now.Seconds(), Promise: promise, Seen: fmt.Sprintf(format, arguments...), Engine: engine}
	if a != nil {
		finding.Request, finding.Process, finding.Build = a.ID, a.Process, a.Build
	}
	c.findings = append(c.findings, finding)
}

// TakeFindings returns the findings since its previous call.
func (c *Checker) TakeFindings() []Finding {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	findings := c.findings
	c.findings = nil
	return findings
}

// Counts returns how often each promise was checked and violated.
func (c *Checker) Counts() (checked, broken map[Promise]int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.checked), maps.Clone(c.broken)
}

// AttemptSent records an attempt that is about to be sent.
func (c *Checker) AttemptSent(now time.Duration, sent Attempt) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sweep(now)
	c.attempts[sent.ID] = &attempt{Attempt: sent, sent: now, engineStatus: make(map[string]int)}
	if sent.Budget == 0 {
		return
	}
	program := c.programs[sent.Program]
	if program == nil {
		program = &spending{budget: sent.Budget}
		c.programs[sent.Program] = program
	}
	program.maxTurn, program.last = max(program.maxTurn, sent.MaxTokens), now
}

// sweep drops state that has expired. The caller holds the mutex.
func (c *Checker) sweep(now time.Duration) {
	if now-c.lastSweep < time.Second {
		return
	}
	c.lastSweep = now
	maps.DeleteFunc(c.attempts, func(_ string, a *attempt) bool { return a.ended > 0 && now-a.ended > attemptRetention })
	maps.DeleteFunc(c.programs, func(_ string, p *spending) bool { return now-p.last > attemptRetention })
	c.cold.dropWarm(now)
	c.streams.dropExpired(now)
}

// RequestArrived records that an engine starts to run a request.
func (c *Checker) RequestArrived(now time.Duration, arrival Arrival) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	a := c.attempts[arrival.ID]
	c.check(a != nil, UnalteredRequest, now, nil, arrival.Engine, "engine ran request %q, which no caller sent lately", arrival.ID)
	if a == nil {
		return
	}
	a.ranAt = append(a.ranAt, arrival.Engine)
	if a.Incomplete {
		c.check(false, NotRun, now, a, arrival.Engine, "ran without the end of its body")
		return
	}
	if c.terminated[arrival.Engine] {
		a.interrupted = true // it arrived between the report of the engine's end and the end of its connections
	}
	c.servedByEngine[arrival.Engine]++
	c.check(arrival.Path == a.Path, UnalteredRequest, now, a, arrival.Engine, "path %q became %q", a.Path, arrival.Path)
	promise := UnalteredRequest
	if a.PreviousTurn != "" {
		promise = History
	}
	c.check(arrival.Body == a.Body, promise, now, a, arrival.Engine, "engine got %.300q, due was %.300q", arrival.Body, a.Body)
	if !a.Repeatable {
		c.check(len(a.ranAt) == 1, AtMostOnce, now, a, arrival.Engine, "ran at %s", strings.Join(a.ranAt, ", "))
	}
	c.check(!promisesNotRun(a.status), NotRun, now, a, arrival.Engine, "ran after it was answered %d", a.status)
	c.checkBounds(now, a, arrival.Engine)
	c.checkLimit(now, a)
	count, limit, cold := c.cold.recordArrival(now, a.sent, arrival.Engine)
	if cold {
		c.check(float64(count) <= limit, ColdLimit, now, a, arrival.Engine, "%d requests in a second at a cold engine, %.1f at most", count, limit)
	}
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	return status == 402 || status == 408 || status == 421 || status == 429 || status == 503
}

// EngineAnswers records the status that an engine is about to answer with.
func (c *Checker) EngineAnswers(engine, id string, status int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if a := c.attempts[id]; a != nil {
		a.engineStatus[engine] = status
	}
}

// AnswerAborted records that an engine is about to abort an answer.
func (c *Checker) AnswerAborted(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if a := c.attempts[id]; a != nil {
		a.interrupted = true
	}
}

// ClientDisconnected records that an engine's client disconnected before the end of the answer. If a process other
// than the caller's own was killed just then, that process carried the request, and a request that must not be
// repeated cannot be resent.
func (c *Checker) ClientDisconnected(now time.Duration, id, engine string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	a := c.attempts[id]
	if a == nil || a.Repeatable || len(a.ranAt) == 0 || a.ranAt[len(a.ranAt)-1] != engine {
		return
	}
	if c.bounds.otherJustKilled(a.Process, now) {
		a.interrupted = true
	}
}

// EngineCrashed records that an engine is about to be terminated. Until its connections are closed, requests can still
// arrive; their answers are interrupted as well.
func (c *Checker) EngineCrashed(engine string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.streams.removeEngine(engine)
	c.terminated[engine] = true
	for _, a := range c.attempts {
		if a.ended == 0 && len(a.ranAt) > 0 && a.ranAt[len(a.ranAt)-1] == engine {
			a.interrupted = true
		}
	}
}

// AttemptEnded records the outcome of an attempt.
func (c *Checker) AttemptEnded(now time.Duration, id string, outcome Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	a := c.attempts[id]
	if a == nil {
		return // dropped: it took longer than any caller waits
	}
	a.ended, a.status = now, outcome.Status
	if a.Incomplete {
		c.check(len(a.ranAt) == 0, NotRun, now, a, "", "answered %d, though it ran at %s without the end of its body", outcome.Status, strings.Join(a.ranAt, ", "))
		return
	}
	if promisesNotRun(outcome.Status) {
		c.check(len(a.ranAt) == 0, NotRun, now, a, "", "answered %d, though it ran at %s", outcome.Status, strings.Join(a.ranAt, ", "))
	}
	c.checkRejection(now, a, outcome)
	c.checkAnswer(now, a, outcome)
	c.checkBudget(now, a, outcome)
	c.checkPlannedStop(now, a, outcome)
	c.checkWithinLimit(now, a, outcome)
	c.checkConnection(now, a, outcome)
	c.checkAnswered(now, a, outcome)
	c.checkVersions(now, a, outcome)
}

// checkRejection checks responses that blame the request.
func (c *Checker) checkRejection(now time.Duration, a *attempt, outcome Outcome) {
	status := outcome.Status
	if status == 0 || outcome.Seal != "" {
		return
	}
	previousUnknown := a.PreviousTurn != "" && (status == 404 || status == 410) // status for an unknown previous turn
	previous := c.attempts[a.PreviousTurn]
	if previous != nil && previous.complete && a.sent-previous.ended < turnRetention-a.Deadline {
		c.check(!previousUnknown, Retained, now, a, "", "answered %d, though turn %s was answered whole", status, a.PreviousTurn)
	}
	rejected := status >= 300 && status < 500 && !promisesNotRun(status) && !previousUnknown
	c.check(!rejected, ValidNotRejected, now, a, "", "answered %d: %.300s", status, outcome.Body)
}

// checkAnswer checks that the caller got the answer that the engine sent.
func (c *Checker) checkAnswer(now time.Duration, a *attempt, outcome Outcome) {
	engine, _, _ := strings.Cut(outcome.Seal, ".")
	switch {
	case outcome.Status == 0:
		return
	case outcome.Status >= 400:
		if outcome.Seal != "" {
			c.check(a.engineStatus[engine] == outcome.Status, IntactAnswer, now, a, engine, "answered %d with a seal of an engine that gave %d", outcome.Status, a.engineStatus[engine])
		}
		return
	}
	problem := answerProblem(a, engine, outcome)
	c.check(problem == "", IntactAnswer, now, a, engine, "%s", problem)
	a.complete = problem == "" && outcome.Complete
}

// answerProblem describes what is wrong with a successful answer; empty if it is correct.
func answerProblem(a *attempt, engine string, outcome Outcome) string {
	switch {
	case outcome.Seal != Seal(engine, a.ID) || engine == "":
		return fmt.Sprintf("success with seal %q", outcome.Seal)
	case outcome.ID != a.ID:
		return fmt.Sprintf("answer to request %q", outcome.ID)
	case a.engineStatus[engine] != outcome.Status:
		return fmt.Sprintf("success %d, its engine gave %d", outcome.Status, a.engineStatus[engine])
	case a.Events == 0 && outcome.Complete && outcome.Body != AnswerBody(a.ID, engine):
		return fmt.Sprintf("body %.200q looks whole", outcome.Body)
	case a.Events > 0 && outcome.Complete && len(outcome.Events) != a.Events-a.EventsReceived:
		return fmt.Sprintf("%d of %d events look whole", len(outcome.Events), a.Events-a.EventsReceived)
	case len(outcome.Events) > a.Events-a.EventsReceived:
		return fmt.Sprintf("%d events, the engine made %d", len(outcome.Events), a.Events-a.EventsReceived)
	}
	for i, data := range outcome.Events {
		number := a.EventsReceived + i + 1
		if a.Repeatable {
			data, _ = splitVersion(data)
		}
		if expected := EventData(a.ID, engine, number, a.Repeatable); data != expected {
			return fmt.Sprintf("event %d is %.200q, due was %q", number, data, expected)
		}
	}
	return ""
}

// checkAnswered checks that a connected process responds while its caller waits, which is longer than the request's
// deadline by patience. A process whose threads waited for a processor meanwhile may answer that much after the deadline.
// Keep-alive callers may send late; checkConnection covers them.
func (c *Checker) checkAnswered(now time.Duration, a *attempt, outcome Outcome) {
	if outcome.FirstBytesSent || outcome.ConnectFailed || !c.bounds.undisturbed(a.Process, a.sent, now, false) {
		return
	}
	if outcome.GaveUp && c.excuseWaited(Answered, a.Process, a.sent, patience) {
		return
	}
	what := "closed without an answer"
	if outcome.GaveUp {
		what = "its caller left without a whole answer"
	}
	c.check(!outcome.GaveUp && outcome.Status != 0, Answered, now, a, "", "%s after %.2f s (%s; at an engine: %s)", what, (now - a.sent).Seconds(), outcome.Progress, strings.Join(a.ranAt, ", "))
}

// checkBudget counts the tokens delivered to a program's callers.
func (c *Checker) checkBudget(now time.Duration, a *attempt, outcome Outcome) {
	program := c.programs[a.Program]
	if program == nil || a.Budget == 0 {
		return
	}
	program.delivered += tokensPerEvent * int64(len(outcome.Events))
	c.check(program.delivered <= program.budget+program.maxTurn, Budget, now, a, "", "program %s was handed %d tokens, its budget is %d and the most of a turn %d",
		a.Program, program.delivered, program.budget, program.maxTurn)
}

// stopMargin is how long before a planned stop a request must have been sent to have been read for certain. A request
// may be cut if its deadline is closer than this.
const stopMargin = time.Second

// checkPlannedStop checks requests around a planned stop that end without a complete answer.
func (c *Checker) checkPlannedStop(now time.Duration, a *attempt, outcome Outcome) {
	stopped, wasStopped := c.bounds.stops[a.Process]
	if !wasStopped || now < stopped || outcome.ConnectFailed {
		return
	}
	wasRead := len(a.ranAt) > 0 || !outcome.FirstBytesSent && a.sent < stopped-stopMargin // checkConnection covers requests of keep-alive callers
	if !wasRead || a.interrupted || now-a.sent > a.Deadline-stopMargin || !c.bounds.undisturbed(a.Process, a.sent, now, true) {
		return
	}
	c.check(outcome.Complete || outcome.GaveUp, PlannedStop, now, a, "", "cut %.2f s after the process was told to stop (status %d)", (now - stopped).Seconds(), outcome.Status)
}

// Readiness records a process's response to a readiness request that was sent at requestedAt. A process whose store
// stood still together with the soak may rightly report that it is not ready, and one without processor time reports
// nothing.
func (c *Checker) Readiness(requestedAt, now time.Duration, process string, ready bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.bounds.undisturbed(process, requestedAt, now, false) {
		return
	}
	if ready || !c.excuseStalled(ReportsReady, process, min(requestedAt, now)-contactBound, now) {
		c.check(ready, ReportsReady, now, &attempt{Attempt: Attempt{Process: process}}, "", "is in touch and does not say that it is ready")
	}
}

// ProcessEnded records that a process has exited. The exit is expected if the process was ordered to stop and exited in
// time.
func (c *Checker) ProcessEnded(now time.Duration, process string, expected bool, how string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.check(expected, ExpectedExit, now, &attempt{Attempt: Attempt{Process: process}}, "", "%s", how)
}
