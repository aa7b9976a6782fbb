package ingress

import (
	"context"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/placement"
	"github.com/pewtermill/pewtermill/internal/poison"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
)

// A request that ends every engine that runs it must not reach one after the other, neither within one try of its client
// nor over several. So after each send that ended without an answer this node finds out whether the engine has ended, and
// records that with the request, whatever the engine's end is caused by: one that stated that it leaves, or that is lost with its zone,
// may have ended under the request all the same. A wrong count matters only if it happens to the same request again and again, and
// a missed one costs an engine.

// Limits of recording ended engines.
const (
	// maxEndCheck is how long the examination of one engine may take: five connection attempts, one after another, and a pause.
	maxEndCheck = 5*probeTimeout + probeInterval + 100*time.Millisecond
	// maxReportWait is how long the answer to a failed request waits until the peers, one of which may get the next
	// try, know which engines ended.
	maxReportWait = 250 * time.Millisecond
	// maxWithdrawalWait is how long a refusal waits until the peers know which presumed ends do not count: the client is about to
	// come back. An answer waits for maxReportWait.
	maxWithdrawalWait = time.Second
	// lateReportWait is how long it waits if the request's deadline has passed.
	lateReportWait = 60 * time.Millisecond
)

// EngineEnd is the end of an engine under a request, for the observer.
type EngineEnd struct {
	Key      poison.Key
	Try      string
	Engine   routing.Engine
	How      EndKind
	Standing poison.Standing
}

// EndReporter reports to other nodes which engines ended under which requests. *poison.Client implements it.
type EndReporter interface {
	// Report returns once the peers know what this node has recorded and the store has it, or ctx ends. It reports whether any
	// of them has confirmed.
	Report(ctx context.Context) bool
	// ReportLastSend is like Report, and reads then what the store has of a request that is about to be sent to the last engine
	// that it may end.
	ReportLastSend(ctx context.Context, key poison.Key) bool
	// ReportWithdrawal is like Report, for ends that do not count any more. It repeats the report until ctx ends, which must
	// have a deadline.
	ReportWithdrawal(ctx context.Context)
	// AwaitAnswers returns once a node that has just started knows what its peers do, or ctx ends; at any other time at
	// once.
	AwaitAnswers(ctx context.Context)
}

// Reasons why a request was not sent to an engine: see checkLastSend.
var (
	errLeftToRival  = errors.New("the engine was left to another request under which engines ended")
	errEnginesEnded = errors.New("as many engines as may end have ended under the request, as a peer or the store told")
	errUnconfirmed  = errors.New("neither a peer nor the store has confirmed that the request is sent to the last engine that it may end")
)

// EndKind is how an engine ended, in logs and metrics.
type EndKind string

// Values of EndKind.
const (
	endRefused      EndKind = "refuses_connections"
	endRestarted    EndKind = "restarted"
	endUnresponsive EndKind = "unresponsive"
	endLeft         EndKind = "zone_suspected" // it was left, and is not examined
	endUnknown      EndKind = "unknown"        // it does not respond, nor does any other engine that shows that this node is not isolated
	notEnded        EndKind = ""
)

// poisonKey returns the key of the request over all tries of its client.
func (r *request) poisonKey() poison.Key {
	r.keyOnce.Do(func() {
		var parts strings.Builder
		for _, part := range r.call.PromptParts {
			parts.WriteString(part.ID + ":" + strconv.FormatInt(part.Tokens, 10) + ",")
		}
		r.key = poison.KeyOf(r.input, r.tenantName(), r.http.Method, r.http.Host, r.target(),
			r.call.Program, r.call.Session, r.call.PreviousTurn, parts.String())
	})
	return r.key
}

// checkEndedEngines returns a problem if so many engines have ended under the request that no other one may get it.
// underWay is how many other sends of the request are in progress. It waits for examinations that decide this.
func (r *request) checkEndedEngines(ctx context.Context, mayHaveRun bool, underWay int) *api.Error {
	r.handler.options.EndReporter.AwaitAnswers(ctx)
	memory := r.handler.options.EndedEngines
	if memory.Empty() {
		return nil
	}
	limit := poison.MaxEngines - underWay
	// Whether one end is left decides on which engine the request may run, here and at peers; see enginesOfRivals.
	standing := memory.AwaitStanding(ctx, r.poisonKey(), limit-1)
	if standing.Ended == poison.MaxEngines-1 {
		r.awaitEndReports()
		backoff.Wait(ctx, time.Until(standing.LastEnd.Add(poison.GatherPeriod)))
	}
	standing = memory.AwaitStanding(ctx, r.poisonKey(), limit)
	detail := "%d engines ended one after another while they ran request %s: %s"
	switch {
	case standing.Ended == poison.MaxEngines-1 && r.unconfirmed.Load():
		detail += "; " + errUnconfirmed.Error()
	case standing.Ended == 0, standing.Ended < limit:
		return nil
	}
	problem := api.Errorf(api.RequestEndsEngines, detail, standing.Ended, r.poisonKey(), strings.Join(standing.Engines, ", "))
	problem.Execution = api.NotRun
	if mayHaveRun {
		problem.Execution = api.Unknown
	}
	return problem
}

// enginesOfRivals returns engines that the request is kept from, since they are left to other requests under which as many
// engines ended.
func (r *request) enginesOfRivals() []string {
	memory := r.handler.options.EndedEngines
	if memory.Empty() {
		return nil
	}
	var usable []string
	for id, engine := range r.handler.options.View().Engines {
		if engine.Service == r.service && !engine.Draining {
			usable = append(usable, id)
		}
	}
	return memory.Isolate(r.poisonKey(), usable, time.Now())
}

// recordEnd records whether the attempt's engine ended under the request, or that it answered it. It does not block. Further
// calls have no effect.
func (t *attempt) recordEnd(outcome placement.Outcome, lostHedge bool) {
	r, memory := t.request, t.request.handler.options.EndedEngines
	if t.endRecorded {
		return
	}
	t.endRecorded = true
	r.removeSend(t)
	if outcome == placement.Served {
		cleared := !memory.Empty() && memory.Answered(r.poisonKey(), time.Now())
		switch {
		case t.lastSend != nil:
			r.reportWithdrawn(t.lastSend.Withdraw() || cleared)
		case cleared:
			go r.handler.reportWithdrawal()
		}
		return
	}
	if !lostHedge && t.sent && t.leftOnSuspicion() {
		t.recordLeft()
		return
	}
	if lostHedge || !t.mayHaveEnded(outcome) {
		if t.lastSend != nil {
			r.reportWithdrawn(t.lastSend.Withdraw())
		}
		return
	}
	check, end := t.beginCheck()
	reported := make(chan struct{})
	r.addEndReport(reported)
	leftAtWork := outcome == placement.Cancelled || outcome == placement.CarrierLost
	if leftAtWork && memory.StandingOf(r.poisonKey(), time.Now()).Ended > 0 {
		check.Presume(end)
		go t.examinePresumed(check, end, outcome, reported)
		return
	}
	go func() {
		defer close(reported)
		t.examine(check, end, t.howEnded(outcome))
	}()
}

// beginCheck begins the examination of the attempt's engine, and returns the end that it may find.
func (t *attempt) beginCheck() (*poison.Check, poison.End) {
	r := t.request
	end := poison.End{Engine: t.placed.Engine.ID, Try: r.call.ID, SentAt: t.startedAt, EndedAt: t.lastActivity()}
	if t.lastSend != nil {
		return t.lastSend, end
	}
	return r.handler.options.EndedEngines.BeginCheck(r.poisonKey(), end.Engine, time.Now()), end
}

// recordLeft records the end of an engine that was left since its zone is suspected to be lost: one for each try, as such engines are lost
// at one time. It is not examined, since the probes would end the suspicion if it is at work.
func (t *attempt) recordLeft() {
	check, end := t.beginCheck()
	if !t.request.lostWithZone.CompareAndSwap(false, true) {
		t.request.reportWithdrawn(check.Withdraw())
		return
	}
	reported := make(chan struct{})
	t.request.addEndReport(reported)
	go func() {
		defer close(reported)
		t.conclude(check, end, endLeft)
	}()
}

// examinePresumed reports that the engine is presumed to have ended, and examines it then. It is used where an engine sent nothing until
// the request's time was over, or its carrier was lost, and others ended under the request before: the next try would reach a peer
// before the examination is over. The end counts unless the engine responds. It is examined once it has been silent for stallAfter, as
// one whose request goes on is: it may be at work, and the request may not have ended it yet.
func (t *attempt) examinePresumed(check *poison.Check, end poison.End, outcome placement.Outcome, reported chan<- struct{}) {
	t.request.reportEnds(context.Background())
	close(reported)
	backoff.Wait(context.Background(), time.Until(t.lastActivity().Add(stallAfter)))
	t.examine(check, end, t.howEnded(outcome))
}

// mayHaveEnded reports whether the engine may have ended under the request, after a send with this outcome. A client that leaves
// shows nothing about an engine that sent something just before, nor about one that was not sent the request.
func (t *attempt) mayHaveEnded(outcome placement.Outcome) bool {
	if !t.sent {
		return false
	}
	switch outcome {
	case placement.Failed, placement.Unresponsive, placement.CarrierLost:
		return true
	case placement.Cancelled:
		return time.Since(t.lastActivity()) >= zoneCheckAfter || errors.Is(t.ctx.Err(), context.DeadlineExceeded) ||
			t.request.handler.options.EndedEngines.StandingOf(t.request.poisonKey(), time.Now()).Ended > 0
	}
	return false
}

// lastActivity returns when the engine last sent anything; when the request was sent if it has sent nothing.
func (t *attempt) lastActivity() time.Time {
	return t.startedAt.Add(time.Duration(max(t.sentAfter.Load(), t.activityAfter.Load())))
}

// howEnded returns how the engine ended, after a send with this outcome.
func (t *attempt) howEnded(outcome placement.Outcome) EndKind {
	if outcome == placement.Unresponsive {
		return endUnresponsive
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxEndCheck)
	defer cancel()
	return t.request.handler.howEnded(ctx, t.placed.Engine, t.startedAt)
}

// examine records and reports how the engine ended, if it did. One of which that is unknown counts as unresponsive if
// others ended under the request.
func (t *attempt) examine(check *poison.Check, end poison.End, how EndKind) {
	handler, engine, key := t.request.handler, t.placed.Engine, t.request.poisonKey()
	if how == endUnknown && handler.options.EndedEngines.StandingOf(key, time.Now()).Ended > 0 {
		how = endUnresponsive
	}
	if how == notEnded || how == endUnknown || handler.lostWithZone(engine) && !t.request.lostWithZone.CompareAndSwap(false, true) {
		if check.Withdraw() {
			handler.reportWithdrawal()
		}
		return
	}
	if how != endUnresponsive {
		end.EndedAt = time.Now()
	}
	t.conclude(check, end, how)
}

// conclude ends the examination of an engine that has ended, and reports the end if others are to know it.
func (t *attempt) conclude(check *poison.Check, end poison.End, how EndKind) {
	if !check.Finish(end) {
		return
	}
	handler, engine, key := t.request.handler, t.placed.Engine, t.request.poisonKey()
	standing := handler.options.EndedEngines.StandingOf(key, time.Now())
	handler.options.Observer.EngineEnded(EngineEnd{Key: key, Try: end.Try, Engine: engine, How: how, Standing: standing})
	// A request that is served elsewhere within this try concerns no other node.
	if standing.Ended > 1 || t.request.failed.Load() {
		t.request.reportEnds(context.Background())
	}
}

// reportEnds reports the ends under the request to other nodes, if any are not reported yet. It returns once they know
// them, or ctx ends.
func (r *request) reportEnds(ctx context.Context) {
	if r.handler.options.EndedEngines.Share(r.poisonKey()) {
		r.handler.options.EndReporter.Report(ctx)
	}
}

// reportWithdrawal reports that ends that others know do not count.
func (h *Handler) reportWithdrawal() {
	ctx, cancel := context.WithTimeout(context.Background(), maxWithdrawalWait)
	defer cancel()
	h.options.EndReporter.ReportWithdrawal(ctx)
}

// reportWithdrawn reports in the background that an end that was presumed does not count, if other nodes are to learn that.
// awaitWithdrawals waits for it, as long as the answer can still reach its client in time.
func (r *request) reportWithdrawn(changed bool) {
	if !changed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(maxWithdrawalWait, time.Until(r.deadline)-answerEndMargin))
	known := make(chan struct{})
	r.reportMutex.Lock()
	r.withdrawals = append(r.withdrawals, known)
	r.reportMutex.Unlock()
	go func() {
		defer cancel()
		defer close(known)
		r.handler.options.EndReporter.ReportWithdrawal(ctx)
	}()
}

// awaitWithdrawals waits until the peers know that ends presumed by reportLastSend do not count. It is called before the client
// gets the last byte of an answer or of a refusal, since a peer that does not know it yet refuses the client's next try. Only
// requests whose presumed end was reported wait, each up to the limit, and none beyond the end of a planned stop.
func (r *request) awaitWithdrawals(limit time.Duration) {
	r.reportMutex.Lock()
	withdrawals := r.withdrawals
	r.reportMutex.Unlock()
	timeout := time.After(r.handler.drain.limitWait(limit))
	for _, known := range withdrawals {
		select {
		case <-known:
		case <-timeout:
			return
		case <-r.http.Context().Done():
			return
		}
	}
}

// howEnded returns how an engine ended to which a request was sent at a time. A connection attempt that times out, while none of the
// further ones does, shows nothing: this node may have had no processor time. It is repeated then, until ctx ends.
func (h *Handler) howEnded(ctx context.Context, engine routing.Engine, sentAt time.Time) EndKind {
	if h.options.View().ReplacedAfter(engine, sentAt) {
		return endRestarted
	}
	for {
		start := time.Now()
		err := h.options.Pool.Probe(ctx, destinationOf(engine), probeTimeout)
		switch {
		case err == nil:
			return h.whetherRestarted(ctx, engine)
		case errors.Is(err, syscall.ECONNREFUSED):
			return endRefused
		case !upstream.IsDialTimeout(err):
			return endUnknown
		case h.prober.unresponsiveSince(ctx, engine, start):
			return endUnresponsive
		case ctx.Err() != nil:
			return endUnknown
		}
	}
}

// whetherRestarted returns endRestarted if another incarnation responds at the engine's address, notEnded otherwise.
// Only where engines restart under their names does one take the address of another at once.
func (h *Handler) whetherRestarted(ctx context.Context, engine routing.Engine) EndKind {
	if engine.StartUnixMilli == 0 {
		return notEnded
	}
	reported, err := h.options.IncarnationOf(ctx, engine)
	if err != nil || reported.Name == "" || reported.StartUnixMilli == 0 || reported == engine.Incarnation {
		return notEnded
	}
	return endRestarted
}

// lostWithZone reports whether an engine's zone is lost or evacuated. Several engines that a try was sent to may be lost so at one time,
// which says nothing about the request: one of them counts for each try.
func (h *Handler) lostWithZone(engine routing.Engine) bool {
	return h.options.View().Evacuated(engine.Zone) || h.options.ZoneLost != nil && h.options.ZoneLost(engine.Zone)
}

// addEndReport adds an examination of an engine to those of the request.
func (r *request) addEndReport(reported <-chan struct{}) {
	r.reportMutex.Lock()
	defer r.reportMutex.Unlock()
	r.endReports = append(r.endReports, reported)
}

// awaitEndReports has the ends under a failed request reported, and waits until the peers know them, so that the one that
// gets the client's next try does. A client that has left is not made to wait.
func (r *request) awaitEndReports() {
	r.failed.Store(true)
	r.reportMutex.Lock()
	reports := r.endReports
	r.reportMutex.Unlock()
	if len(reports) == 0 {
		return
	}
	wait := min(maxReportWait, max(lateReportWait, time.Until(r.deadline)))
	ctx, cancel := context.WithTimeout(r.http.Context(), r.handler.drain.limitWait(wait))
	defer cancel()
	for _, reported := range reports {
		select {
		case <-reported:
		case <-ctx.Done():
			go r.reportEnds(context.Background())
			return
		}
	}
	r.reportEnds(ctx)
}
