package ownership

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/program"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Create creates a program without a parent and makes it durable. A program that
// already exists under the same id and tenant is returned as it is.
func (p *Programs) Create(ctx context.Context, tenant, id string, request api.CreateProgramRequest) (api.Program, error) {
	if p.claimingStopped.Load() {
		return api.Program{}, api.Errorf(api.Draining, "this node is stopping").WithRetryAfter(movingRetryAfter).ForThisAttempt()
	}
	class, refusal := p.classFor(request)
	if refusal != nil {
		return api.Program{}, refusal
	}
	if refusal := p.tenantLimit(tenant); refusal != nil {
		return api.Program{}, refusal
	}
	header := program.New(p.params(tenant, id, request, class))
	for range maxClaimAttempts {
		e := p.entry(id)
		if err := e.lock(ctx); err != nil {
			return api.Program{}, ownerMovingError("the program's row stayed busy")
		}
		err := p.createLocked(ctx, e, header)
		e.unlock()
		switch {
		case errors.Is(err, errEvicted):
			continue
		case errors.Is(err, errExists):
			return p.Get(ctx, tenant, id)
		case err != nil:
			return api.Program{}, err
		}
		p.recordCreated(header)
		return View(header), nil
	}
	return api.Program{}, ownerMovingError("concurrent requests for the program keep failing")
}

// errExists reports that the program already exists.
var errExists = errors.New("program exists")

// createLocked writes a new program's row. The caller holds the entry's commit
// lock. An entry that another request has evicted in between cannot be used.
func (p *Programs) createLocked(ctx context.Context, e *entry, header program.Header) error {
	if e.isEvicted() {
		return errEvicted
	}
	if _, owned := e.snapshot(); owned {
		return errExists
	}
	err := p.write(ctx, e, header)
	if err == nil {
		return nil
	}
	p.forget(e)
	if isConflict(err) {
		return errExists
	}
	return err
}

func (p *Programs) recordCreated(header program.Header) {
	p.record(header, explain.Decision{Kind: explain.Created, Chosen: p.Node, Reason: "class " + header.Class})
}

func (p *Programs) params(tenant, id string, request api.CreateProgramRequest, class *bundle.Class) program.Params {
	deadline := time.Duration(class.DeadlineMillis) * time.Millisecond
	if request.DeadlineMillis > 0 {
		deadline = time.Duration(request.DeadlineMillis) * time.Millisecond
	}
	return program.Params{
		ID:         id,
		Tenant:     tenant,
		Class:      request.Class,
		Owner:      p.Node,
		OwnerStart: p.Incarnation,
		Budget:     request.Budget,
		Now:        time.Now(),
		Deadline:   deadline,
		MaxWall:    time.Duration(class.MaxWallMillis) * time.Millisecond,
	}
}

// classFor returns the class of a program to create, after it has checked the request against the bundle.
func (p *Programs) classFor(request api.CreateProgramRequest) (*bundle.Class, *api.Error) {
	snapshot := p.InForce()
	if snapshot == nil {
		return nil, api.Errorf(api.NotReady, "no configuration is in force yet").WithRetryAfter(movingRetryAfter)
	}
	class, ok := snapshot.Class(request.Class)
	if !ok {
		return nil, api.Errorf(api.MalformedRequest, "no class %q", request.Class)
	}
	if request.Budget <= 0 {
		return nil, api.Errorf(api.MalformedRequest, "budget must be above 0")
	}
	if class.MaxBudget > 0 && request.Budget > class.MaxBudget {
		return nil, api.Errorf(api.MalformedRequest, "budget %d exceeds the maximum of %d of class %s", request.Budget, class.MaxBudget, class.Name)
	}
	return class, nil
}

// tenantLimitRetryAfter is when a client retries after a refusal at its tenant's limit.
const tenantLimitRetryAfter = 2 * time.Second

// tenantLimit refuses a program beyond the tenant's limit of open programs on
// one node. It iterates over every program in memory: a few hundred.
func (p *Programs) tenantLimit(tenant string) *api.Error {
	config, ok := p.InForce().Tenant(tenant)
	if !ok || config.MaxPrograms <= 0 {
		return nil
	}
	open := 0
	p.entries.Range(func(_, value any) bool {
		header, owned := value.(*entry).snapshot()
		if owned && header.Tenant == tenant && header.Status == api.ProgramOpen {
			open++
		}
		return true
	})
	if open < config.MaxPrograms {
		return nil
	}
	return api.Errorf(api.TenantLimit, "the tenant has %d open programs on this node, which is its limit", open).WithRetryAfter(tenantLimitRetryAfter)
}

// Get returns the program as its owner sees it.
func (p *Programs) Get(ctx context.Context, tenant, id string) (api.Program, error) {
	e, err := p.acquire(ctx, id)
	if err != nil {
		return api.Program{}, err
	}
	if p.confirm(ctx, e) == statusLost {
		if e, err = p.acquire(ctx, id); err != nil {
			return api.Program{}, err
		}
	}
	header, _ := e.snapshot()
	if err := authorize(header, tenant); err != nil {
		return api.Program{}, err
	}
	return View(header), nil
}

// FinalResult returns a call's final result, or the error CallPending or CallNotFound.
func (p *Programs) FinalResult(ctx context.Context, tenant, id string, sequence int64) (api.CallResult, error) {
	e, err := p.acquire(ctx, id)
	if err != nil {
		return api.CallResult{}, err
	}
	header, _ := e.snapshot()
	if err := authorize(header, tenant); err != nil {
		return api.CallResult{}, err
	}
	row, err := p.readCall(ctx, id, sequence)
	if errors.Is(err, errNoCall) {
		return api.CallResult{}, p.missingCallError(ctx, e, sequence)
	}
	if err != nil {
		return api.CallResult{}, err
	}
	return row.Segment.Result, nil
}

// missingCallError returns the error for a call that has no row.
func (p *Programs) missingCallError(ctx context.Context, e *entry, sequence int64) *api.Error {
	status := p.confirm(ctx, e)
	e.mutex.Lock()
	header := e.header
	inFlight := e.flight != nil && e.flight.sequence == sequence
	e.mutex.Unlock()
	if inFlight || status != statusOwner || sequence < header.NextSequence {
		return api.Errorf(api.CallPending, "call %d is in flight", sequence).WithRetryAfter(movingRetryAfter)
	}
	missing := api.Errorf(api.CallNotFound, "no call %d", sequence)
	if header.MayHaveRun(sequence) {
		return mayHaveRun(missing)
	}
	return missing
}

// resolveIntent settles a call that is not repeatable and that the former owner
// may have dispatched. It is never dispatched again: the tool is queried, and if
// the tool does not know it, the call becomes final with an unknown outcome. The
// caller holds the commit lock.
func (p *Programs) resolveIntent(ctx context.Context, e *entry) error {
	header, _ := e.snapshot()
	intent := header.Intent
	outcome, found := p.Executor.Lookup(ctx, intent.Target, intent.IdempotencyKey)
	if !found {
		outcome = Outcome{Code: api.OutcomeUnknown, Detail: "its owner died and the back end cannot tell whether it ran"}
	}
	settled := program.SettleUnknown(header)
	result := api.CallResult{
		Program:   header.ID,
		Sequence:  intent.Sequence,
		Code:      outcome.Code,
		Execution: outcome.Code.Info().Execution,
		Result:    compact(outcome.Result),
		Detail:    outcome.Detail,
		Backend:   intent.Target,
	}
	result.Digest = digestOf(result.Result)
	row := program.CallRow{
		Program:       header.ID,
		Tenant:        header.Tenant,
		Sequence:      intent.Sequence,
		RequestDigest: intent.RequestDigest,
		Segment:       &program.Segment{Result: result},
	}
	write := tablestore.Write{Key: program.CallKey(header.ID, intent.Sequence), Value: program.EncodeCall(row)}
	if err := p.write(ctx, e, settled, write); err != nil {
		return err
	}
	p.record(settled, explain.Decision{
		Kind:     explain.Finished,
		Sequence: intent.Sequence,
		Target:   intent.Target,
		Code:     int(result.Code),
		Reason:   "intent of the former owner settled: " + result.Code.String(),
	})
	return nil
}
