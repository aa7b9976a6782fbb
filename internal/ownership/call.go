package ownership

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/program"
)

// Defaults for values that the bundle does not set.
const (
	defaultSequenceAhead = 16
	defaultModelTimeout  = 10 * time.Minute
	defaultToolTimeout   = time.Minute
	defaultMaxTokens     = 512
)

// Execute runs a call, joins it if it is in flight, or replays its final result.
// Errors: *api.Error or *MovedError.
func (p *Programs) Execute(ctx context.Context, tenant, id string, sequence int64, body []byte, onPart func(offset int64, text []byte)) (api.CallResult, error) {
	var request api.CallRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return api.CallResult{}, api.Errorf(api.MalformedRequest, "%v", err)
	}
	digest := requestDigest(request)
	arrived := time.Now()
	for {
		e, err := p.acquire(ctx, id)
		if err != nil {
			return api.CallResult{}, err
		}
		step, err := p.step(e, tenant, sequence, request, digest, arrived)
		if err != nil {
			return api.CallResult{}, err
		}
		switch {
		case step.flight != nil:
			return step.flight.follow(ctx, onPart)
		case step.replay:
			return p.replay(ctx, e, sequence, digest, onPart)
		}
		status := p.confirm(ctx, e)
		if status != statusLost && step.refusal == nil {
			if waitForChange(ctx, step.changed) {
				continue
			}
			step.refusal = api.Errorf(api.DeadlineExceeded, "call %d waits for an earlier call", sequence).WithRetryAfter(movingRetryAfter)
			status = p.confirm(ctx, e)
		}
		if status == statusLost {
			continue
		}
		return api.CallResult{}, p.recordRefusal(step.header, sequence, request.Target, qualifyRefusal(step.refusal, status))
	}
}

// confirmPeriod is how often a call that waits for an earlier one confirms
// that this node still owns the program.
const confirmPeriod = time.Second

// waitForChange waits until the entry changes, at most for confirmPeriod. It
// returns false if ctx ends first.
func waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(confirmPeriod)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// step is what happens next with an arriving call: it follows a flight, its
// final result is replayed, it is refused, or it waits for a change and is
// evaluated again. The last two depend on state in memory, so ownership is
// confirmed first.
type step struct {
	flight  *flight
	replay  bool
	header  program.Header
	refusal *api.Error
	changed <-chan struct{}
}

// step decides under the entry's mutex, so that of two equal calls one starts
// the flight and the other joins it.
func (p *Programs) step(e *entry, tenant string, sequence int64, request api.CallRequest, digest string, arrived time.Time) (step, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.owned {
		return step{changed: closedChannel}, nil
	}
	if err := authorize(e.header, tenant); err != nil {
		return step{}, err
	}
	if e.flight != nil && e.flight.sequence == sequence {
		if e.flight.digest != digest {
			return step{}, conflictError(sequence, e.header.WasAttempted(sequence))
		}
		return step{flight: e.flight}, nil
	}
	plan, refusal := p.plan(e.header, sequence, request, digest)
	if refusal != nil && sequence >= e.header.NextSequence {
		return refusedStep(e.header, sequence, refusal), nil
	}
	admission := program.Admit(e.header, plan.call, plan.limits, time.Now())
	switch admission.Verdict {
	case program.Replay:
		return step{replay: true}, nil
	case program.Refuse:
		return step{header: e.header, refusal: admission.Error}, nil
	case program.Wait:
		if sequence-e.header.NextSequence > plan.maxAhead {
			return step{header: e.header, refusal: gapError(e.header, sequence)}, nil
		}
		if e.flight != nil && e.flight.isRecordPending() {
			return refusedStep(e.header, sequence, predecessorPendingError(sequence, e.flight.sequence)), nil
		}
		return step{header: e.header, changed: e.changed}, nil
	}
	if e.flight != nil {
		return step{header: e.header, changed: e.changed}, nil
	}
	return step{flight: p.start(e, plan, request, digest, arrived)}, nil
}

// refusedStep refuses a call before the state machine evaluates it. A call that
// may have run under a former owner is not reported as not run.
func refusedStep(header program.Header, sequence int64, refusal *api.Error) step {
	if header.MayHaveRun(sequence) {
		refusal = mayHaveRun(refusal)
	}
	return step{header: header, refusal: refusal}
}

// mayHaveRun returns a copy of the refusal that leaves open whether the call ran.
func mayHaveRun(refusal *api.Error) *api.Error {
	unknown := *refusal
	unknown.Execution = api.Unknown
	return &unknown
}

// qualifyRefusal limits a "not run" refusal to this attempt if the node could
// not confirm that it still owns the program: another node may have run the
// call for an earlier request.
func qualifyRefusal(refusal *api.Error, status ownershipStatus) *api.Error {
	if status == statusOwner || refusal.Execution != api.NotRun {
		return refusal
	}
	return refusal.ForThisAttempt()
}

// closedChannel makes a waiter check again at once.
var closedChannel = func() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()

// conflictError refuses a body that differs from that of the call. If attempted is set, a former owner may have run
// the call with this body in an attempt whose outcome is unknown, so the refusal leaves open whether it ran.
func conflictError(sequence int64, attempted bool) *api.Error {
	conflict := api.Errorf(api.SequenceConflict, "call %d was made with another body", sequence)
	if attempted {
		return mayHaveRun(conflict)
	}
	return conflict
}

func gapError(header program.Header, sequence int64) *api.Error {
	return api.Errorf(api.SequenceGap, "call %d is too far ahead of the next call %d", sequence, header.NextSequence).WithRetryAfter(movingRetryAfter)
}

// predecessorPendingError refuses a call whose predecessor ran and cannot be
// recorded while the table service is down, for an unknown time.
func predecessorPendingError(sequence, earlier int64) *api.Error {
	return api.Errorf(api.StoreDown, "call %d waits for call %d, whose result cannot be recorded now", sequence, earlier).WithRetryAfter(storeRetryAfter)
}

// recordRefusal records a refusal and returns it.
func (p *Programs) recordRefusal(header program.Header, sequence int64, target string, refusal *api.Error) *api.Error {
	p.record(header, explain.Decision{
		Kind:     explain.Refused,
		Sequence: sequence,
		Target:   target,
		Code:     int(refusal.Code),
		Reason:   refusal.Detail,
	})
	return refusal
}

// plan is a call resolved against the current bundle.
type plan struct {
	call     program.Call
	limits   program.ClassLimits
	maxAhead int64
	timeout  time.Duration
	model    *bundle.Model
	tool     *bundle.Tool
}

// plan resolves the call's target and computes the maximum that it can cost.
func (p *Programs) plan(header program.Header, sequence int64, request api.CallRequest, digest string) (plan, *api.Error) {
	planned := plan{
		call: program.Call{
			Sequence:      sequence,
			RequestDigest: digest,
			Target:        request.Target,
			Repeatable:    request.IsRepeatable(),
		},
		maxAhead: defaultSequenceAhead,
	}
	snapshot := p.InForce()
	if snapshot == nil {
		return planned, api.Errorf(api.NotReady, "no configuration is in force yet").WithRetryAfter(movingRetryAfter)
	}
	if limit := snapshot.Bundle.Limits.MaxSequenceAhead; limit > 0 {
		planned.maxAhead = limit
	}
	if class, ok := snapshot.Class(header.Class); ok {
		planned.limits = LimitsOf(class)
	}
	tenant, ok := snapshot.Tenant(header.Tenant)
	if !ok {
		return planned, api.Errorf(api.Unauthenticated, "the tenant is no longer configured")
	}
	if request.Kind == api.KindTool {
		return p.planTool(planned, snapshot, tenant, request)
	}
	return p.planModel(planned, snapshot, tenant, header, request)
}

// LimitsOf returns a class's limits in the form that the state machine uses.
func LimitsOf(class *bundle.Class) program.ClassLimits {
	return program.ClassLimits{MaxCalls: class.MaxCalls, MaxDepth: class.MaxDepth, MaxTokens: class.MaxTokens}
}

func (p *Programs) planTool(planned plan, snapshot *bundle.Snapshot, tenant *bundle.Tenant, request api.CallRequest) (plan, *api.Error) {
	tool, ok := snapshot.Tool(request.Target)
	if !ok {
		return planned, api.Errorf(api.UnknownTarget, "no tool %q", request.Target)
	}
	if !tenant.MayUse(api.KindTool, request.Target) {
		return planned, api.Errorf(api.TargetForbidden, "tool %q is not allowed for this tenant", request.Target)
	}
	planned.tool = tool
	planned.call.MaxCost = tool.Price
	planned.timeout = callTimeout(request.DeadlineMillis, tool.TimeoutMillis, defaultToolTimeout)
	return planned, nil
}

func (p *Programs) planModel(planned plan, snapshot *bundle.Snapshot, tenant *bundle.Tenant, header program.Header, request api.CallRequest) (plan, *api.Error) {
	model, ok := snapshot.Model(request.Target)
	if !ok {
		return planned, api.Errorf(api.UnknownTarget, "no model %q", request.Target)
	}
	if !tenant.MayUse(api.KindModel, request.Target) {
		return planned, api.Errorf(api.TargetForbidden, "model %q is not allowed for this tenant", request.Target)
	}
	planned.model = model
	planned.call.MaxTokens = maxTokens(model, request)
	prompt := maxPromptTokens(header, request)
	if model.ContextTokens > 0 && header.HistoryTokens+estimateNewTokens(request)+planned.call.MaxTokens > model.ContextTokens {
		return planned, api.Errorf(api.CallTooLarge, "history and answer exceed the context of %d tokens of %s", model.ContextTokens, model.Name)
	}
	planned.call.MaxCost = maxModelCost(model, prompt, planned.call.MaxTokens)
	planned.timeout = callTimeout(request.DeadlineMillis, 0, defaultModelTimeout)
	return planned, nil
}

// callTimeout returns the configured timeout in milliseconds, or fallback if
// none is configured. A shorter timeout in the request takes precedence.
func callTimeout(requested, configured int64, fallback time.Duration) time.Duration {
	timeout := fallback
	if configured > 0 {
		timeout = time.Duration(configured) * time.Millisecond
	}
	if fromRequest := time.Duration(requested) * time.Millisecond; fromRequest > 0 && fromRequest < timeout {
		timeout = fromRequest
	}
	return timeout
}

// requestDigest returns a digest of a call's body without its deadline.
func requestDigest(request api.CallRequest) string {
	request.DeadlineMillis = 0
	canonical, err := json.Marshal(request)
	if err != nil {
		canonical = fmt.Appendf(nil, "%v", request)
	}
	return strconv.FormatUint(xxhash.Sum64(canonical), 16)
}
