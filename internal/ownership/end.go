package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/program"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// CreateChild creates a sub-agent. The transaction that creates it also moves
// its budget out of the parent's. A sub-agent that already exists under the
// same id is returned as it is.
func (p *Programs) CreateChild(ctx context.Context, tenant, parentID, childID string, request api.CreateProgramRequest) (api.Program, error) {
	class, refusal := p.classFor(request)
	if refusal != nil {
		return api.Program{}, refusal
	}
	number, err := program.ChildNumber(parentID, childID)
	if err != nil {
		return api.Program{}, api.Errorf(api.MalformedRequest, "%v", err)
	}
	parent, err := p.acquire(ctx, parentID)
	if err != nil {
		return api.Program{}, err
	}
	if err := parent.lock(ctx); err != nil {
		return api.Program{}, ownerMovingError("the parent's row stayed busy")
	}
	defer parent.unlock()
	header, owned := parent.snapshot()
	if slices.Contains(header.Children, childID) {
		return p.Get(ctx, tenant, childID)
	}
	if !owned {
		return api.Program{}, ownerMovingError("ownership of the parent changed meanwhile")
	}
	if err := authorize(header, tenant); err != nil {
		return api.Program{}, err
	}
	if parent.idle() {
		header = program.ClearReservation(header)
	}
	nextParent, child, refusal := program.NewChild(header, number, p.params(tenant, "", request, class), LimitsOf(class))
	if refusal != nil {
		return api.Program{}, p.recordRefusal(header, 0, "sub-agent", refusal)
	}
	childKey := program.HeaderKey(child.ID)
	absent := []tablestore.Condition{{Key: childKey}}
	create := []tablestore.Write{{Key: childKey, Value: program.EncodeHeader(child)}}
	err = p.writeIf(ctx, parent, nextParent, absent, create)
	if isConflictOn(err, childKey) {
		return p.Get(ctx, tenant, childID)
	}
	if err != nil {
		return api.Program{}, notDispatched(err)
	}
	p.recordCreated(child)
	return View(child), nil
}

// End closes a program. It ends sub-agents first, then cancels the call in
// flight, returns the unspent budget to the parent and makes engines free what
// they hold for the program.
func (p *Programs) End(ctx context.Context, tenant, id string, reason api.Code) (api.Program, error) {
	e, err := p.acquire(ctx, id)
	if err != nil {
		return api.Program{}, err
	}
	header, _ := e.snapshot()
	if err := authorize(header, tenant); err != nil {
		return api.Program{}, err
	}
	if header.Status == api.ProgramClosed {
		return View(header), nil
	}
	for _, child := range header.Children {
		if _, err := p.End(ctx, tenant, child, reason); err != nil {
			return api.Program{}, err
		}
	}
	if header.Parent == "" {
		err = p.endRoot(ctx, e, reason)
	} else {
		err = p.endChild(ctx, e, header.Parent, reason)
	}
	if err != nil {
		return api.Program{}, notDispatched(err)
	}
	ended, _ := e.snapshot()
	p.record(ended, explain.Decision{Kind: explain.Ended, Code: int(reason), Reason: endReason(reason)})
	p.meterEnd(ended)
	p.releaseHolds(e)
	return View(ended), nil
}

func endReason(reason api.Code) string {
	if reason == api.OK {
		return "ended by its caller"
	}
	return "ended by the system: " + reason.Info().Meaning
}

// quiesce takes the commit lock at a moment when no call is in flight, and
// cancels a call that is.
func (p *Programs) quiesce(ctx context.Context, e *entry) error {
	for {
		if err := e.lock(ctx); err != nil {
			return api.Errorf(api.CallPending, "a call is still in flight").WithRetryAfter(movingRetryAfter)
		}
		e.mutex.Lock()
		running, header := e.flight, e.header
		e.mutex.Unlock()
		if running == nil {
			return nil
		}
		e.unlock()
		running.cancel()
		p.record(header, explain.Decision{Kind: explain.Cancelled, Sequence: running.sequence, Target: running.request.Target, Reason: "the program ends"})
		select {
		case <-running.done:
		case <-ctx.Done():
			return api.Errorf(api.CallPending, "a call is still in flight").WithRetryAfter(movingRetryAfter)
		}
	}
}

func (p *Programs) endRoot(ctx context.Context, e *entry, reason api.Code) error {
	if err := p.quiesce(ctx, e); err != nil {
		return err
	}
	defer e.unlock()
	header, owned := e.snapshot()
	if !owned {
		return ownerMovingError("ownership of the program changed meanwhile")
	}
	if header.Status == api.ProgramClosed {
		return nil
	}
	return p.write(ctx, e, program.End(header, reason, time.Now()))
}

// endChild closes a sub-agent and returns its unspent budget to the parent, with
// both rows in one transaction.
func (p *Programs) endChild(ctx context.Context, e *entry, parentID string, reason api.Code) error {
	parent, err := p.acquire(ctx, parentID)
	if err != nil {
		return err
	}
	if err := parent.lock(ctx); err != nil {
		return ownerMovingError("the parent's row stayed busy")
	}
	defer parent.unlock()
	if err := p.quiesce(ctx, e); err != nil {
		return err
	}
	defer e.unlock()
	parentHeader, parentOwned := parent.snapshot()
	header, owned := e.snapshot()
	if !owned || !parentOwned {
		return ownerMovingError("ownership of the program changed meanwhile")
	}
	if header.Status == api.ProgramClosed {
		return nil
	}
	nextParent, nextChild := program.ReturnToParent(parentHeader, program.End(header, reason, time.Now()))
	return p.writePair(ctx, parent, nextParent, e, nextChild)
}

// writePair makes two headers durable in one transaction. The caller holds both
// commit locks.
func (p *Programs) writePair(ctx context.Context, first *entry, firstHeader program.Header, second *entry, secondHeader program.Header) error {
	keys := [2]string{program.HeaderKey(first.id), program.HeaderKey(second.id)}
	receipt, err := p.Store.Commit(ctx, tablestore.Transaction{
		Conditions: []tablestore.Condition{{Key: keys[0], Revision: first.revisionNow()}, {Key: keys[1], Revision: second.revisionNow()}},
		Writes: []tablestore.Write{
			{Key: keys[0], Value: program.EncodeHeader(firstHeader)},
			{Key: keys[1], Value: program.EncodeHeader(secondHeader)},
		},
	})
	if err != nil {
		first.disown()
		second.disown()
		return p.storeError(err)
	}
	first.store(firstHeader, receipt.Revisions[keys[0]])
	second.store(secondHeader, receipt.Revisions[keys[1]])
	return nil
}

func (e *entry) revisionNow() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.revision
}

// Limits for releasing what engines hold for an ended program.
const (
	releaseTimeout            = 30 * time.Second
	releaseRetryPause         = time.Second
	maxConcurrentHoldReleases = 8
)

// releaseHolds frees engine memory of an ended program in the background, and
// retries failures until releaseTimeout. MaintainPartition repeats what is then
// still not released, and each engine's observer frees what the engine holds for
// programs that have ended.
func (p *Programs) releaseHolds(e *entry) {
	go func() {
		ctx, cancel := context.WithTimeout(p.closing, releaseTimeout)
		defer cancel()
		header, owned := e.snapshot()
		if !owned || header.Status != api.ProgramClosed {
			return
		}
		unreleased := p.mayHold(header)
		for {
			if unreleased = p.releaseAt(ctx, e.id, unreleased); len(unreleased) == 0 {
				p.clearHolds(ctx, e)
				return
			}
			if !backoff.Wait(ctx, backoff.Jitter(releaseRetryPause)) {
				p.Logger.Warn("engine memory is not released yet", "program", e.id, "engines", unreleased)
				return
			}
		}
	}()
}

// mayHold returns the engines that may hold something for the program: those
// recorded, or all engines if an owner that died may have dispatched a call.
func (p *Programs) mayHold(header program.Header) []string {
	if header.AttemptedSequence == 0 {
		return header.Holds
	}
	return p.Executor.Engines()
}

// releaseAt sends each engine one release request, at most
// maxConcurrentHoldReleases at a time, and returns the engines that failed.
func (p *Programs) releaseAt(ctx context.Context, id string, engines []string) []string {
	var mutex sync.Mutex
	var failed []string
	var group errgroup.Group
	group.SetLimit(maxConcurrentHoldReleases)
	for _, engine := range engines {
		group.Go(func() error {
			limited, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			if err := p.Executor.Release(limited, engine, id); err != nil {
				mutex.Lock()
				defer mutex.Unlock()
				failed = append(failed, engine)
			}
			return nil
		})
	}
	_ = group.Wait() // its functions return no error
	return failed
}

// clearHolds records that no engine holds anything for the ended program, and
// drops it from memory.
func (p *Programs) clearHolds(ctx context.Context, e *entry) {
	if err := e.lock(ctx); err != nil {
		return
	}
	defer e.unlock()
	header, owned := e.snapshot()
	if !owned || header.Status != api.ProgramClosed {
		return
	}
	if len(header.Holds) > 0 {
		header.Holds = nil
		if err := p.write(ctx, e, header); err != nil {
			p.Logger.Info("release of engine memory is not recorded yet", "program", e.id, "error", err.Error())
			return
		}
	}
	p.forget(e)
}
