package ingress

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/lines"
	"github.com/pewtermill/pewtermill/internal/placement"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
)

// maxOffers is to how many engines a request is offered that turn it away or
// cannot be reached, before it is refused.
const maxOffers = 5

// errLate is why a request was not sent to a cold engine: it stood still for too long.
var errLate = errors.New("the leave to send it to a cold engine had expired")

// attempts is what has become of a request at engines so far. All but lend is for one goroutine.
type attempts struct {
	tried  []string // engines that had it, or could not be reached
	offers int
	ran    bool // whether it may have run anywhere

	mutex sync.Mutex
	runs  int // engines on which it ran or may have run, and that live
	lent  int // runs that are left to a send beside these
}

// count notes that the request may have run on an engine. One that has gone dark
// does not count against the attempts that a route allows.
func (a *attempts) count(outcome placement.Outcome) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if outcome != placement.Unresponsive {
		a.runs++
	}
	a.ran = true
}

// left returns on how many more engines the request may run, of the most that its route allows.
func (a *attempts) left(most int) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return most - a.runs - a.lent
}

// lend leaves one run to a send beside these, if one is left besides the one under way, and
// take says that it is wanted.
func (a *attempts) lend(most int, take func() bool) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.runs+a.lent+2 > most || !take() {
		return false
	}
	a.lent++
	return true
}

// mayHaveRunThere reports whether a send that ended so may have run.
func mayHaveRunThere(outcome placement.Outcome, err error) bool {
	if errors.Is(err, upstream.ErrNoConnection) {
		return false
	}
	switch outcome {
	case placement.Failed, placement.Cancelled, placement.Unresponsive, placement.CarrierLost:
		return true
	}
	return false
}

// try is a request at one engine, with the head of the engine's answer.
type try struct {
	placed  placement.Placement
	answer  *http.Response
	peer    atomic.Pointer[string] // that carries the request; nil if this node sends it itself
	request *request
	index   int // in request.report.Tries
	began   time.Time
	tokens  int64 // that the engine has made

	ctx      context.Context // ends with the request's, or when the engine has gone dark
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	said     atomic.Int64 // times that the engine has said something
	stalled  atomic.Bool  // it has said nothing for zoneAfter
}

// send offers the request to engines until one begins to answer. The problem
// says whether it may have run. lastEvent is the event behind which a stream is to
// go on at an engine; empty for the one that the caller named.
func (r *request) send(ctx context.Context, made *attempts, lastEvent string) (*try, *api.Error) {
	for {
		if problem := r.mayOffer(ctx, made); problem != nil {
			return nil, problem
		}
		r.arrive()
		placed, problem := r.handler.options.Placer.Place(ctx, r.placementRequest(made))
		if problem != nil {
			return nil, r.notPlaced(ctx, made, problem)
		}
		made.offers++
		made.tried = append(made.tried, placed.Engine.ID)
		current := r.beginTry(ctx, placed)
		r.tellOrigin(current)
		outcome, err := current.exchange(ctx, lastEvent)
		if outcome == placement.Served {
			return current, nil
		}
		current.finish(outcome, errorText(err))
		if !mayHaveRunThere(outcome, err) {
			continue
		}
		made.count(outcome)
		if ctx.Err() != nil || !r.route.Repeatable() {
			return nil, r.mayHaveRun(ctx, err)
		}
	}
}

// mayTryAfter reports whether the engine answered that it failed, and the request may run
// at another one.
func (r *request) mayTryAfter(current *try, made *attempts) bool {
	return current.erred() && r.route.Repeatable() && made.left(r.route.MaxAttempts) > 1
}

// erred reports whether the engine answered that it failed.
func (t *try) erred() bool { return t.answer.StatusCode >= http.StatusInternalServerError }

// erredText says for logs that the engine failed.
func (t *try) erredText() string { return fmt.Sprintf("answered %d", t.answer.StatusCode) }

// worked is the outcome of an engine that answered to the end.
func (t *try) worked() placement.Outcome {
	if t.erred() {
		return placement.ServerError
	}
	return placement.Served
}

// mayOffer says whether the request may be offered to one more engine.
func (r *request) mayOffer(ctx context.Context, made *attempts) *api.Error {
	switch {
	case ctx.Err() != nil && !made.ran:
		return r.outOfTime()
	case ctx.Err() != nil, made.left(r.route.MaxAttempts) <= 0:
		return r.mayHaveRun(ctx, errors.New("no attempt is left"))
	case made.offers-made.runs >= maxOffers:
		return r.full(made, api.Errorf(api.Overloaded, "%d engines of service %s turned the request away", maxOffers, r.service))
	}
	return nil
}

// notPlaced is the answer when no engine can be had.
func (r *request) notPlaced(ctx context.Context, made *attempts, problem *api.Error) *api.Error {
	if ctx.Err() != nil && !made.ran {
		return r.outOfTime()
	}
	return r.full(made, problem)
}

// full is the answer when engines are full or gone.
func (r *request) full(made *attempts, problem *api.Error) *api.Error {
	if made.ran {
		problem.Execution = api.Unknown
		return problem
	}
	problem.Execution = api.NotRun
	if problem.Code == api.ZonesEvacuated || problem.Code == api.StreamVersionGone {
		return problem // it says itself when to come back, if that may help
	}
	return problem.WithRetryAfter(backoff.Jitter(fullRetryAfter))
}

// outOfTime is the answer when the time ended before any engine had the request.
func (r *request) outOfTime() *api.Error {
	problem := api.Errorf(api.DeadlineExceeded, "no engine of service %s took the request in time", r.service)
	problem.Execution = api.NotRun
	return problem
}

// mayHaveRun is the answer when an engine had the request and did not answer it.
func (r *request) mayHaveRun(ctx context.Context, cause error) *api.Error {
	code := api.OutcomeUnknown
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = api.DeadlineExceeded
	}
	problem := api.Errorf(code, "the engine did not answer: %v", cause)
	problem.Execution = api.Unknown
	return problem
}

// placementRequest describes the request to the placer.
func (r *request) placementRequest(made *attempts) placement.Request {
	last := r.handler.lines.Get(r.line())
	request := placement.Request{
		Program:      r.program(),
		Service:      r.service,
		Class:        r.route.Name,
		Parts:        r.call.PromptParts,
		PromptTokens: r.call.PromptTokens,
		MaxTokens:    r.call.MaxTokens,
		Deadline:     r.until,
		LastEngine:   last.Engine,
		LastTokens:   last.Tokens,
		Excluded:     slices.Clone(made.tried),
		Regions:      r.regions,
		Version:      r.origin.version,
	}
	if r.call.FinishIn > 0 {
		request.ProgramDeadline = r.arrived.Add(r.call.FinishIn)
	}
	return request
}

// line names the line of turns that the request belongs to.
func (r *request) line() lines.Conversation {
	return lines.Conversation{Program: r.program(), Session: r.call.Session}
}

// program returns the key of the request's program, which is its tenant's; empty if it has
// none.
func (r *request) program() string { return ledger.ProgramKey(r.tenantName(), r.call.Program) }

// beginTry notes a send and starts to watch its engine.
func (r *request) beginTry(ctx context.Context, placed placement.Placement) *try {
	r.reportMutex.Lock()
	defer r.reportMutex.Unlock()
	r.report.Attempts = append(r.report.Attempts, Attempt{
		Engine:  placed.Engine.ID,
		Version: placed.Engine.Version,
		Reason:  placed.Decision.Reason,
		At:      time.Since(r.arrived),
	})
	begun := &try{placed: placed, request: r, index: len(r.report.Attempts) - 1, began: time.Now()}
	begun.watch(ctx)
	return begun
}

// finish ends a try: its connection, its placement and its part of the report.
func (t *try) finish(outcome placement.Outcome, detail string) {
	t.watchdog.Stop()
	if t.answer != nil {
		t.answer.Body.Close()
	}
	overtaken := errors.Is(context.Cause(t.ctx), errOvertaken)
	t.cancel(nil)
	t.request.handler.options.Placer.Done(t.placed, placement.Result{Outcome: outcome, Tokens: t.tokens, LostHedge: overtaken})
	t.request.reportMutex.Lock()
	defer t.request.reportMutex.Unlock()
	noted := &t.request.report.Attempts[t.index]
	noted.Took = time.Since(t.request.arrived) - noted.At
	noted.Outcome = outcome
	noted.Detail = detail
}

// exchange sends the request and reads the head of the answer. Served means
// that the answer is the engine's own.
func (t *try) exchange(ctx context.Context, lastEvent string) (placement.Outcome, error) {
	r := t.request
	options := r.handler.options
	answer, err := t.transmit(lastEvent)
	switch {
	case errors.Is(err, errLate):
		return placement.SendExpired, err
	case errors.Is(err, upstream.ErrNoConnection) && ctx.Err() != nil:
		return placement.Cancelled, err
	case errors.Is(err, upstream.ErrNoConnection), errors.Is(err, upstream.ErrNotSent):
		return placement.Unreachable, err
	case err != nil:
		return t.brokenOff(ctx, err), err
	}
	t.answer = answer
	switch {
	case options.Protocol.Misdirected(answer.StatusCode):
		return placement.Replaced, errors.New("another engine has the address")
	case options.Protocol.NotExecuted(answer.StatusCode, answer.Header):
		return placement.Shed, errors.Newf("turned away with status %d", answer.StatusCode)
	case !options.Protocol.IsEngineAnswer(answer.StatusCode, answer.Header):
		return placement.Failed, errors.New("the answer is not an engine's")
	}
	if err := t.confirmStart(ctx); err != nil {
		return placement.Cancelled, err
	}
	options.Placer.Answered(&t.placed)
	return placement.Served, nil
}

// outgoing returns the request as an engine gets it.
func (r *request) outgoing(engine routing.Engine, lastEvent string) upstream.Request {
	header := passedOn(r.http.Header)
	r.handler.options.Protocol.SetForwardHeaders(header, Hop{
		Engine:    engine.Name,
		Remaining: time.Until(r.until),
		LastEvent: lastEvent,
		StripKey:  r.view.Table.Configuration.RequiresKeys,
		Tenant:    r.tenantName(),
	})
	return upstream.Request{
		Method: r.http.Method,
		Target: r.target(),
		Host:   r.http.Host,
		Header: header,
		Body:   r.body,
		Accept: func(answered http.Header) bool {
			return r.handler.options.Protocol.IsAnswerTo(answered, r.call)
		},
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
