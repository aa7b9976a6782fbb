package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/ledger"
)

// A turn may run optimistically while the table is unavailable: its engine works, but no part of its
// answer is sent before the ledger has confirmed the reservation, which it normally does before the
// request is sent to an engine. Until then the answer is buffered and the client has no token and no
// event. So if this node fails, neither the budget nor the conversation's history lacks anything that
// a client has received. A turn that is not confirmed before its client times out is answered as one
// that may have run.

// Limits of optimistic execution.
const (
	// confirmInterval is the time between two requests for confirmation. When the table responds to
	// any call of this node again, all waiting turns send theirs at once. The ledger's circuit breakers
	// decide which of them reach the table.
	confirmInterval = 100 * time.Millisecond
	// minOptimisticTime is how much of the client's timeout must remain for a turn to run optimistically.
	minOptimisticTime = 300 * time.Millisecond
	// maxBuffered limits how much of one answer is buffered in memory.
	maxBuffered = 1 << 20 // bytes
	// maxBufferedTotal limits what all turns of a node buffer together. An answer has a few hundred
	// bytes, and some hundred turns may wait at once.
	maxBufferedTotal = 8 << 20 // bytes
)

// optimisticRun is the state of a turn that runs before its reservation is confirmed.
type optimisticRun struct {
	startedAt     time.Time
	firstResponse *http.Response // of the first engine that sent an event; its status and header are sent to the client
	buffered      []byte         // raw events of the answer, in order
	confirmed     chan confirmation
	cancel        context.CancelFunc // of the request for confirmation
}

// confirmation is the ledger's response to a turn that runs optimistically.
type confirmation struct {
	run     *ledger.RunningTurn
	problem *api.Error // nil if the answer may be sent to the client
}

// runOptimistically starts optimistic execution of a turn that the ledger rejected because the table
// is unavailable, if the history of its conversation is cached on this node. It reports whether it did.
func (s *stream) runOptimistically(ctx context.Context, turn ledger.TurnRequest, problem *api.Error) bool {
	r := s.request
	timeLeft := r.responseTimeout() - time.Since(r.arrived)
	if problem.Code != api.StoreDown || timeLeft < minOptimisticTime || !r.handler.options.Ledger.Failing(turn) {
		return false
	}
	if state := s.outage(turn); state.retryAfter() > 0 {
		problem.RetryAfter = state.retryAfter()
		problem.Detail += state.reason()
		return false
	}
	history, cached := r.handler.options.Ledger.CachedHistory(ctx, turn)
	if !cached {
		return false
	}
	if s.prependHistory(history) != nil {
		return false
	}
	s.startOptimistic(ctx, turn, timeLeft)
	return true
}

// outage returns the state of the current outage of the table, and of the turn.
func (s *stream) outage(turn ledger.TurnRequest) outage {
	r, now := s.request, time.Now()
	return outage{
		duration:        r.handler.options.Ledger.OutageDuration(now),
		remaining:       r.deadline.Sub(now),
		clientTimeout:   r.clientTimeout(),
		hasPreviousTurn: turn.Previous != "",
	}
}

// startOptimistic starts requesting confirmation in the background.
func (s *stream) startOptimistic(ctx context.Context, turn ledger.TurnRequest, timeLeft time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	s.optimistic = &optimisticRun{startedAt: time.Now(), confirmed: make(chan confirmation, 1), cancel: cancel}
	confirmed, ledgerClient := s.optimistic.confirmed, s.request.handler.options.Ledger
	go func() {
		confirmed <- requestConfirmation(ctx, ledgerClient, turn, s.request.handler.isolation)
	}()
}

// requestConfirmation repeats the request to the ledger until its response is other than that the
// table is unavailable. While this node's zone is isolated the table cannot be reached, so it returns
// at once: the client can retry in another zone.
func requestConfirmation(ctx context.Context, ledgerClient *ledger.Ledger, turn ledger.TurnRequest, isolation func() (time.Duration, bool)) confirmation {
	for {
		if _, isolated := isolation(); isolated {
			return confirmation{problem: api.Errorf(api.StoreDown, "this node's zone is cut off from the table")}
		}
		if !ledgerClient.AwaitRecovery(ctx, backoff.Jitter(confirmInterval)) {
			return confirmation{problem: api.Errorf(api.StoreDown, "the table did not recover before the client's timeout")}
		}
		run, problem := ledgerClient.Begin(ctx, turn)
		if problem == nil || problem.Code != api.StoreDown {
			return confirmation{run: run, problem: problem}
		}
	}
}

// bufferAnswer buffers a part of the answer.
func (s *stream) bufferAnswer(current *attempt, raw []byte) {
	if s.optimistic.firstResponse == nil {
		s.optimistic.firstResponse = current.answer
	}
	s.optimistic.buffered = append(s.optimistic.buffered, raw...)
	s.request.handler.bufferedBytes.Add(int64(len(raw)))
}

// mayBuffer reports whether more bytes of the answer may be buffered.
func (s *stream) mayBuffer(more int) bool {
	return len(s.optimistic.buffered)+more <= maxBuffered &&
		s.request.handler.bufferedBytes.Load()+int64(more) <= maxBufferedTotal
}

// flushIfConfirmed sends the buffered answer if the turn has been confirmed.
func (s *stream) flushIfConfirmed(current *attempt) error {
	select {
	case result := <-s.optimistic.confirmed:
		return s.handleConfirmation(current, result)
	default:
		return nil
	}
}

// passOptimistic forwards one event if the turn is confirmed, and buffers it otherwise. While the
// buffer is full, it does not read from the engine. The error is an *api.Error if the ledger rejected the turn.
func (s *stream) passOptimistic(current *attempt, next event) error {
	if !s.mayBuffer(len(next.raw)) {
		if problem := s.awaitConfirmation(current); problem != nil {
			return problem
		}
		return s.write(current, next)
	}
	s.bufferAnswer(current, next.raw)
	return s.flushIfConfirmed(current)
}

// awaitConfirmation waits for the confirmation when the engine has completed its answer, or the buffer
// is full.
func (s *stream) awaitConfirmation(current *attempt) *api.Error {
	var problem *api.Error
	err := s.handleConfirmation(current, <-s.optimistic.confirmed) // requestConfirmation ends at the client's timeout
	errors.As(err, &problem)                                       // an error of writing to the client shows again when the answer ends
	return problem
}

// handleConfirmation sends the buffered answer, or ends the optimistic run if the ledger rejected the
// turn; then the error is an *api.Error.
func (s *stream) handleConfirmation(current *attempt, result confirmation) error {
	if result.problem == nil {
		return s.flushBuffered(current, result.run)
	}
	s.endOptimistic()
	return unconfirmedProblem(result.problem)
}

// endOptimistic ends the optimistic run and drops its buffer.
func (s *stream) endOptimistic() {
	s.request.report.Timings.Optimistic = time.Since(s.optimistic.startedAt)
	s.request.handler.bufferedBytes.Add(-int64(len(s.optimistic.buffered)))
	s.optimistic.cancel()
	s.optimistic = nil
}

// unconfirmedProblem returns the problem for a turn that ran and whose answer must not be sent: either
// the table did not recover in time, or the ledger rejected the turn.
func unconfirmedProblem(cause *api.Error) *api.Error {
	code := api.OutcomeUnknown
	if cause.Code == api.StoreDown {
		code = api.StoreDown
	}
	problem := api.Errorf(code, "the turn ran optimistically, and its answer was not sent: %s", cause.Detail)
	problem.Execution = api.Unknown
	return problem
}

// flushBuffered sends the buffered answer to the client. From then on the stream is forwarded directly.
func (s *stream) flushBuffered(current *attempt, run *ledger.RunningTurn) error {
	r := s.request
	buffered, first := s.optimistic.buffered, s.optimistic.firstResponse
	if first == nil {
		first = current.answer // no engine has sent an event yet
	}
	s.endOptimistic()
	s.run = run
	r.report.Owner = run.Owner()
	r.awaitReplication()
	r.firstByte()
	r.writeHead(first.StatusCode, first.Header)
	if len(buffered) == 0 {
		return nil
	}
	r.recordBegun()
	if _, err := r.writer.Write(buffered); err != nil {
		return err
	}
	return r.flush()
}

// dropOptimistic ends the request for confirmation of a turn whose answer will not be sent. A
// reservation that is confirmed nevertheless is returned unused.
func (s *stream) dropOptimistic() {
	if s.optimistic == nil {
		return
	}
	confirmed := s.optimistic.confirmed
	s.endOptimistic()
	go func() {
		if result := <-confirmed; result.run != nil {
			result.run.Abandon()
		}
	}()
}

// restartStream discards the buffered answer, so that the next engine starts the stream from the beginning.
func (s *stream) restartStream() {
	r := s.request
	r.handler.bufferedBytes.Add(-int64(len(s.optimistic.buffered)))
	s.optimistic.buffered, s.optimistic.firstResponse = nil, nil
	s.output, s.events, s.lastEvent, s.reachedClient = nil, 0, s.startAfter(), false
	r.origin = streamOrigin{announced: r.origin.announced, replication: r.origin.replication}
}
