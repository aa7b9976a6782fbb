package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/conversations"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/placement"
	"github.com/pewtermill/pewtermill/internal/requestmemory"
)

// maxBeginWait is how long a turn may wait for its program's rows before it is rejected.
const maxBeginWait = 1200 * time.Millisecond

// How long clients wait for a stream to continue or to end: the longest of minClientTimeout,
// clientTimeoutGoals times the route's latency goal and clientTimeoutGaps times its goal for the gap
// between events. The values are those of the operators' platform.
const (
	minClientTimeout    = 2 * time.Second
	clientTimeoutGoals  = 4
	clientTimeoutGaps   = 8
	clientTimeoutMargin = 120 * time.Millisecond // of the client's timeout, reserved for the end to reach it
	minSettleTimeout    = 100 * time.Millisecond
	// answerEndMargin is reserved, of the client's timeout, for the last bytes of a complete answer. If
	// its record comes that late, aborting the answer any sooner would lose it needlessly.
	answerEndMargin = 20 * time.Millisecond
)

// settleTimeout returns how long the end of a complete answer may wait for the turn's record. A client
// that has waited longer has disconnected.
func (r *request) settleTimeout(now time.Time) time.Duration {
	return max(minSettleTimeout, min(r.clientTimeout(), r.deadline.Sub(now))-answerEndMargin)
}

// recordTimeout is settleTimeout for a turn that is recorded. A long input takes several writes, so its record has all the
// time that the client has stated.
func (s *stream) recordTimeout(now time.Time) time.Duration {
	r := s.request
	if !ledger.IsLongInput(len(s.input)) {
		return r.settleTimeout(now)
	}
	return max(r.settleTimeout(now), r.deadline.Sub(now)-answerEndMargin)
}

// clientTimeout returns how long the client waits for a stream to start or to continue.
func (r *request) clientTimeout() time.Duration {
	return max(minClientTimeout, clientTimeoutGoals*r.route.LatencyGoal, clientTimeoutGaps*r.route.EventGapGoal)
}

// responseTimeout returns how long after the request's arrival an answer may start that still reaches
// its client.
func (r *request) responseTimeout() time.Duration {
	return min(r.clientTimeout(), r.deadline.Sub(r.arrived)) - clientTimeoutMargin
}

// stream is the answer of one turn in progress.
type stream struct {
	request       *request
	run           *ledger.RunningTurn // nil if the request is not a program's turn
	input         []byte              // as sent by the client
	output        []byte              // data of the turn's events, if it is retained
	events        int64               // with data, also those that the client had received before
	lastEvent     string
	reachedClient bool // the engine has made the event that the client had received before
	// eventsWithoutData counts the other events of all engines.
	eventsWithoutData int64
	optimistic        *optimisticRun // nil if the turn's reservation is confirmed
}

// serveTurn serves a request whose answer is a stream of events: a turn of a program, or a stream
// outside any program.
func (r *request) serveTurn(ctx context.Context) *api.Error {
	s := &stream{request: r, input: r.body}
	s.lastEvent = s.startAfter()
	if problem := r.findOrigin(ctx); problem != nil {
		return problem
	}
	if problem := s.admitEarly(); problem != nil {
		return problem
	}
	if problem := s.begin(ctx); problem != nil {
		return s.failed(ctx, problem, false)
	}
	if problem := s.admitAfterReserve(); problem != nil {
		return s.failed(ctx, problem, false)
	}
	if problem := r.admit(ctx, s.beginsProgram()); problem != nil {
		return s.failed(ctx, problem, false)
	}
	var attempts attemptTracker
	for {
		current, problem := r.send(ctx, &attempts, s.resumeAfter())
		if problem != nil {
			return s.failed(ctx, problem, attempts.mayHaveRun)
		}
		if s.mayRetryAfter(current, &attempts) {
			attempts.countRun(current, placement.ServerError)
			current.finish(placement.ServerError, current.serverErrorText())
			continue
		}
		if current.answer.StatusCode != http.StatusOK {
			s.dropOptimistic()
			s.settle(ctx, nil)
			return r.passFailure(current)
		}
		err := s.pass(current)
		if err == nil {
			if problem := s.checkReachedClient(); problem != nil {
				current.finish(placement.Cancelled, problem.Detail)
				return s.failed(ctx, problem, true)
			}
			return s.complete(ctx, current)
		}
		var ledgerProblem *api.Error
		if errors.As(err, &ledgerProblem) { // the ledger rejected an optimistic run
			current.finish(placement.Cancelled, errorText(err))
			return s.failed(ctx, ledgerProblem, true)
		}
		outcome := current.classifyFailure(ctx, err)
		attempts.countRun(current, outcome)
		current.finish(outcome, errorText(err))
		if ctx.Err() != nil || !r.route.Repeatable() {
			return s.failed(ctx, r.unknownOutcomeProblem(ctx, err), attempts.mayHaveRun)
		}
		if problem := s.checkResumable(ctx); problem != nil {
			return s.failed(ctx, problem, attempts.mayHaveRun)
		}
	}
}

// mayRetryAfter reports whether the engine failed, and the turn may run at another one.
func (s *stream) mayRetryAfter(current *attempt, attempts *attemptTracker) bool {
	return !s.request.headWritten && s.request.mayRetryAfter(current, attempts)
}

// begin reserves the turn's budget and prepends the conversation's history.
func (s *stream) begin(ctx context.Context) *api.Error {
	r := s.request
	if r.call.Program == "" || (r.call.Budget == 0 && !r.route.Retain) {
		return nil
	}
	if problem := r.rejectIfIsolated(); problem != nil {
		return problem
	}
	turn := ledger.TurnRequest{Program: r.program(), Session: r.call.Session, Budget: r.call.Budget, MaxTokens: r.call.MaxTokens, Deadline: r.deadline}
	if r.route.Retain {
		turn.Previous, turn.InputBytes, turn.Retention = r.call.PreviousTurn, len(s.input), r.route.RetainFor
		turn.Turn, turn.Input = r.call.ID, s.input
	}
	beginContext, cancel := context.WithTimeout(ctx, maxBeginWait)
	defer cancel()
	run, problem := s.beginTurn(beginContext, turn)
	r.report.Timings.Ledger = time.Since(r.arrived)
	if problem != nil {
		if s.runOptimistically(ctx, turn, problem) {
			return nil
		}
		return problem
	}
	s.run = run
	r.report.Owner = run.Owner()
	r.handler.conversations.Set(r.conversation(), run.LastLocation()) // an owner is notified of all turns
	s.putHistory(run.History)
	return nil
}

// beginTurn begins the turn at the ledger. The memory of the history is held for the request, and that of the rows it was read from until
// it has been built.
func (s *stream) beginTurn(ctx context.Context, turn ledger.TurnRequest) (*ledger.RunningTurn, *api.Error) {
	memory, held := s.request.held, int64(0)
	turn.HoldMemory = func(bytes int64) bool {
		if !memory.Hold(bytes) {
			return false
		}
		held += bytes
		return true
	}
	run, problem := s.request.handler.options.Ledger.Begin(ctx, turn)
	if problem != nil {
		memory.ReleaseBytes(held)
		return nil, problem
	}
	memory.ReleaseBytes(held - int64(len(run.History)))
	return run, nil
}

// prependHistory puts the history of the conversation in front of the client's input. It returns a problem if there is no memory for
// it; otherwise its memory is held.
func (s *stream) prependHistory(history []byte) *api.Error {
	if len(history) == 0 {
		return nil
	}
	if !s.request.held.Hold(int64(len(history))) {
		return bodyProblem(requestmemory.ErrFull, 0)
	}
	s.putHistory(history)
	return nil
}

// putHistory is prependHistory for a history whose memory is held.
func (s *stream) putHistory(history []byte) {
	if len(history) > 0 {
		s.request.body = append(history, s.input...)
	}
}

// beginsProgram reports whether neither this node nor the node that reserves the turn's budget has seen
// a turn of the turn's program. It must be called after begin.
func (s *stream) beginsProgram() bool {
	r := s.request
	return r.call.Program != "" && r.call.PreviousTurn == "" && r.handler.conversations.Get(r.conversation()).Engine == ""
}

// resumeAfter returns the event after which another engine continues; empty if the client's own header
// names it, or the stream starts from the beginning.
func (s *stream) resumeAfter() string {
	if s.events == 0 {
		return ""
	}
	return s.lastEvent
}

// pass forwards events as they arrive. It returns nil if the engine's answer was complete.
func (s *stream) pass(current *attempt) error {
	reader := newEventReader(current.answer.Body)
	for {
		next, err := reader.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if !next.follows(s.lastEvent) {
			continue
		}
		if err := s.checkEvent(next); err != nil {
			return err
		}
		current.recordActivity()
		if !s.request.headWritten && current.ctx.Err() != nil {
			if reader, err = reader.readRest(context.Cause(current.ctx)); err != nil {
				return err // nothing was sent that lacks its end
			}
		}
		if err := s.passEvent(current, next); err != nil {
			return err
		}
	}
}

// passEvent forwards one event at once.
func (s *stream) passEvent(current *attempt, next event) error {
	s.recordEvent(current, next)
	if !s.clientLacks(next) {
		return nil
	}
	if s.optimistic != nil {
		return s.passOptimistic(current, next)
	}
	return s.write(current, next)
}

// write writes one event to the client.
func (s *stream) write(current *attempt, next event) error {
	r := s.request
	if !r.headWritten {
		r.awaitReplication()
		r.firstByte()
		r.writeHead(current.answer.StatusCode, current.answer.Header)
	}
	r.recordBegun()
	if _, err := r.writer.Write(next.raw); err != nil {
		return err
	}
	return r.flush()
}

// recordEvent counts an event and stores its data if the turn is retained.
func (s *stream) recordEvent(current *attempt, next event) {
	if next.id != "" {
		s.lastEvent = next.id
	}
	if !next.hasData {
		return
	}
	s.request.origin.bindTo(current)
	s.events++
	current.tokens += s.tokensPerEvent()
	if s.request.route.Retain {
		s.output = append(append(s.output, next.data...), '\n')
	}
}

// flush sends what has been written so far.
func (r *request) flush() error { return http.NewResponseController(r.writer).Flush() }

// complete records the turn before its answer ends.
func (s *stream) complete(ctx context.Context, current *attempt) *api.Error {
	r := s.request
	location := s.location(current)
	r.handler.conversations.Set(r.conversation(), location)
	current.finish(placement.Served, "")
	if s.optimistic != nil {
		if problem := s.awaitConfirmation(current); problem != nil {
			return problem
		}
	}
	if s.run != nil {
		s.run.SetLocation(location)
	}
	if !r.headWritten {
		r.firstByte()
		r.writeHead(current.answer.StatusCode, current.answer.Header)
	}
	var record *ledger.Turn
	if r.route.Retain && s.run != nil {
		record = &ledger.Turn{ID: r.call.ID, Parent: r.call.PreviousTurn, Input: s.input, Output: s.output}
	}
	start := time.Now()
	err := s.settle(ctx, record)
	r.report.Timings.Settlement = time.Since(start)
	if err != nil && record != nil {
		r.abortAnswer("the turn could not be recorded: " + err.Error())
	}
	return nil
}

// location returns which engine has the conversation's prompt cached, and how many of its tokens.
func (s *stream) location(current *attempt) conversations.Location {
	return conversations.Location{
		Engine: current.placed.Engine.ID,
		Tokens: s.request.call.PromptTokens + s.events*s.tokensPerEvent(),
	}
}

// settle charges the tokens of the forwarded events, and records the turn if record is not nil.
func (s *stream) settle(ctx context.Context, record *ledger.Turn) error {
	s.request.report.Events = int(s.events)
	if s.run == nil {
		return nil
	}
	run := s.run
	s.run = nil
	timeout := s.request.settleTimeout(time.Now())
	if record != nil {
		timeout = s.recordTimeout(time.Now())
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	return run.Settle(ctx, s.events*s.tokensPerEvent(), record)
}

// tokensPerEvent returns how many tokens one event counts for.
func (s *stream) tokensPerEvent() int64 {
	r := s.request
	return max(1, r.view.Table.Configuration.Services[r.service].TokensPerEvent)
}

// failed ends a stream that no engine completed.
func (s *stream) failed(ctx context.Context, problem *api.Error, ran bool) *api.Error {
	s.dropOptimistic()
	if !ran && s.run != nil {
		s.run.Abandon()
		s.run = nil
	}
	_ = s.settle(ctx, nil) // tokens that could not be settled stay charged
	if s.request.headWritten {
		s.request.abortAnswer(problem.Detail)
		return nil
	}
	return problem
}

// passFailure forwards an engine's answer that is not a stream.
func (r *request) passFailure(current *attempt) *api.Error {
	content, err := io.ReadAll(io.LimitReader(current.answer.Body, maxBufferedAnswer))
	if r.headWritten {
		current.finish(placement.Failed, "answered a failure")
		r.abortAnswer("the engine that was to go on answered a failure")
		return nil
	}
	if err != nil {
		current.finish(placement.Failed, errorText(err))
		return r.unknownOutcomeProblem(r.http.Context(), err)
	}
	r.passBuffered(current, content)
	return nil
}
