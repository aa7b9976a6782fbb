package ownership

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/program"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// movingRetryAfter is when a client retries while a program's ownership changes.
const movingRetryAfter = 500 * time.Millisecond

// maxClaimAttempts bounds the attempts to win a row that other requests write too.
const maxClaimAttempts = 4

// acquire returns the program's entry with its header loaded and claimed.
// Errors: *api.Error, or *MovedError while a live owner has a call in flight.
func (p *Programs) acquire(ctx context.Context, id string) (*entry, error) {
	for range maxClaimAttempts {
		e := p.entry(id)
		if _, owned := e.snapshot(); owned {
			e.touch()
			return e, nil
		}
		if err := e.lock(ctx); err != nil {
			return nil, ownerMovingError("the program's row stayed busy")
		}
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		err := p.loadLocked(limited, e)
		cancel()
		e.unlock()
		if err == nil {
			return e, nil
		}
		if !isConflict(err) && !errors.Is(err, errEvicted) {
			return nil, err
		}
	}
	return nil, ownerMovingError("other nodes are claiming the program")
}

// errEvicted reports that the entry was dropped while a request waited for its lock.
var errEvicted = errors.New("entry dropped from memory")

// loadLocked loads the row unless another request has already done so. The
// caller holds the entry's commit lock. An entry that cannot be loaded is dropped.
func (p *Programs) loadLocked(ctx context.Context, e *entry) error {
	if e.isEvicted() {
		return errEvicted
	}
	if _, owned := e.snapshot(); owned {
		return nil
	}
	err := p.load(ctx, e)
	if err != nil {
		p.forget(e)
	}
	return err
}

// load reads the row and claims it if it is open. A row that names this
// incarnation as the owner does not prove ownership: an incarnation that
// released the program, or whose write had an unknown outcome, cannot know
// whether another node's claim is in flight. With a claim of its own at most
// one of the two succeeds, and the claim charges a call whose result was lost here.
func (p *Programs) load(ctx context.Context, e *entry) error {
	row, err := p.Store.Get(ctx, program.HeaderKey(e.id))
	if err != nil {
		return p.storeError(err)
	}
	if row.Revision == 0 {
		return notFound(e.id)
	}
	header, err := program.DecodeHeader(row.Value)
	if err != nil {
		return api.Errorf(api.Internal, "program row cannot be read: %v", err)
	}
	if header.Status == api.ProgramClosed || p.mayResumeOwnership(e, header) {
		p.handovers.take(header.ID, header.Epoch)
		e.store(header, row.Revision)
		return nil
	}
	return p.claim(ctx, e, header, row.Revision)
}

// mayResumeOwnership reports whether this incarnation may own the program by the row as it is,
// without a claim. There are two cases. A call is in flight here: ownership was not released,
// and the call's result will be recorded. Or nothing can be dispatched without a write, and that
// write decides between this incarnation and a claim in flight, as for a sub-agent that was
// created here and never called.
func (p *Programs) mayResumeOwnership(e *entry, header program.Header) bool {
	if !p.isOurs(header) {
		return false
	}
	return e.willRecordCall() || (!header.MayDispatchWithoutWrite() && header.Intent == nil)
}

func (p *Programs) isOurs(header program.Header) bool {
	return header.Owner == p.Node && header.OwnerStart == p.Incarnation
}

// claim raises the epoch on condition that the row has not changed. A live
// owner is first requested to release the program; a dead one is fenced.
func (p *Programs) claim(ctx context.Context, e *entry, header program.Header, revision uint64) error {
	if p.claimingStopped.Load() {
		return ownerMovingError("this node is stopping and claims nothing")
	}
	former := header.Owner
	reason := "former owner " + former + " is gone"
	switch {
	case former == "":
		reason = "released by its former owner"
	case p.isOurs(header):
		if p.handovers.take(header.ID, header.Epoch) {
			header = program.ClearReservation(header)
		}
		reason = "taken back, as nobody has claimed it since"
	case p.Peers.Alive(former, header.OwnerStart):
		if former == p.Node {
			return ownerMovingError("an earlier incarnation of this node still counts as alive")
		}
		handover, err := p.Peers.RequestRelease(ctx, former, header.ID, header.Epoch)
		if err != nil {
			return ownerMovingError("owner %s does not respond", former)
		}
		switch handover {
		case HandoverReleased:
			header = program.ClearReservation(header)
			reason = "handed over by " + former
		case HandoverUnknown:
			// The reservation counts as spent, and its call as one that may have run.
			reason = former + " does not hold it any more"
		default:
			return &MovedError{Owner: former}
		}
	}
	claimed := program.Claim(header, p.Node, p.Incarnation)
	receipt, err := p.Store.Commit(ctx, tablestore.Transaction{
		Conditions: []tablestore.Condition{{Key: program.HeaderKey(e.id), Revision: revision}},
		Writes:     []tablestore.Write{{Key: program.HeaderKey(e.id), Value: program.EncodeHeader(claimed)}},
	})
	if err != nil {
		return p.storeError(err)
	}
	e.store(claimed, receipt.Revisions[program.HeaderKey(e.id)])
	p.record(claimed, explain.Decision{Kind: explain.Claimed, Chosen: p.Node, Reason: reason})
	if claimed.Intent != nil {
		return p.resolveIntent(ctx, e)
	}
	return nil
}

// ownershipStatus is whether a node still owns a program that it holds in memory.
type ownershipStatus int

const (
	// statusOwner: no other node had claimed the program.
	statusOwner ownershipStatus = iota
	// statusLost: another node has claimed it; it is dropped from memory.
	statusLost
	// statusUnknown: the row cannot be read, and the state in memory may be
	// out of date.
	statusUnknown
)

// confirm reads the row to check that no other node has claimed the program
// since. That can happen to a node that was paused, or that other nodes did not
// list as a member. It does so even if ctx has ended, for storeTimeout at most.
func (p *Programs) confirm(ctx context.Context, e *entry) ownershipStatus {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	if err := e.lock(limited); err != nil {
		return statusUnknown
	}
	defer e.unlock()
	if _, owned := e.snapshot(); !owned {
		return statusLost
	}
	row, err := p.Store.Get(limited, program.HeaderKey(e.id))
	if err != nil {
		return statusUnknown
	}
	if row.Revision == e.revisionNow() {
		return statusOwner
	}
	e.disown()
	p.forget(e)
	return statusLost
}

// ownerMovingError returns an error on which a client retries, because the
// program's ownership changes. Its "not run" applies to this attempt only.
func ownerMovingError(format string, arguments ...any) *api.Error {
	return api.Errorf(api.OwnerMoving, format, arguments...).WithRetryAfter(movingRetryAfter).ForThisAttempt()
}

// Release releases ownership of a program if it is idle. Epoch is the one that
// the requester read from the row. Only an incarnation that owns the program in
// that epoch, with no call in flight, knows that nothing runs under its reservation.
func (p *Programs) Release(ctx context.Context, id string, epoch uint64) Handover {
	value, ok := p.entries.Load(id)
	if !ok {
		return HandoverUnknown
	}
	e := value.(*entry)
	if !e.idle() {
		return HandoverRefused
	}
	if err := e.lock(ctx); err != nil {
		return HandoverRefused
	}
	defer e.unlock()
	header, owned := e.snapshot()
	if !e.idle() || (owned && header.Epoch > epoch) {
		return HandoverRefused
	}
	e.disown()
	p.forget(e)
	if !owned || header.Epoch != epoch {
		return HandoverUnknown
	}
	p.handovers.add(header.ID, header.Epoch)
	p.record(header, explain.Decision{Kind: explain.Released, Reason: "another node is to own it"})
	return HandoverReleased
}

// isConflict reports whether a transaction failed because a row had changed.
func isConflict(err error) bool {
	var conflict *tablestore.ConflictError
	return errors.As(err, &conflict)
}

// isConflictOn reports whether a transaction failed because the row under this key had changed.
func isConflictOn(err error, key string) bool {
	var conflict *tablestore.ConflictError
	return errors.As(err, &conflict) && conflict.Current.Key == key
}

// storeError converts the store's error into one for the client. Conflicts are returned unchanged.
func (p *Programs) storeError(err error) error {
	if isConflict(err) {
		return err
	}
	refusal := api.Errorf(api.StoreDown, "%v", errors.UnwrapAll(err)).WithRetryAfter(storeRetryAfter)
	if errors.Is(err, tablestore.ErrUnknownOutcome) {
		refusal.Execution = api.Unknown
		return refusal
	}
	return refusal.ForThisAttempt()
}

// storeRetryAfter is when a client retries while the table service is down.
const storeRetryAfter = 2 * time.Second
