package program

import (
	"time"

	"github.com/pewtermill/pewtermill/api"
)

// Params describes a program to create. Zero Deadline or MaxWall means none.
type Params struct {
	ID         string // ignored by NewChild
	Tenant     string // ignored by NewChild
	Class      string
	Owner      string // node name
	OwnerStart uint64 // the node's incarnation
	Budget     api.Credits
	Now        time.Time
	Deadline   time.Duration // target, from Now
	MaxWall    time.Duration // hard limit, from Now
}

// New returns the header of a new open program, at epoch 1, before its first
// call. Its row must be written on condition that it does not exist.
func New(params Params) Header {
	now := params.Now.UTC()
	return Header{
		ID:           params.ID,
		Tenant:       params.Tenant,
		Class:        params.Class,
		Status:       api.ProgramOpen,
		Epoch:        1,
		Owner:        params.Owner,
		OwnerStart:   params.OwnerStart,
		Budget:       params.Budget,
		NextSequence: 1,
		CreatedAt:    now,
		DeadlineAt:   timeAfter(now, params.Deadline),
		ExpiresAt:    timeAfter(now, params.MaxWall),
	}
}

// Available returns the budget that is neither spent nor reserved.
func (h Header) Available() api.Credits {
	return h.Budget - h.Spent - h.Reserved
}

// MayHaveRun reports whether the call with this number, though not final, may
// have been dispatched before: it has an intent, or a former owner held a
// reservation when the program was taken over. A refusal of such a call must
// not report it as not run.
func (h Header) MayHaveRun(sequence int64) bool {
	if h.Intent != nil && h.Intent.Sequence == sequence {
		return true
	}
	return h.WasAttempted(sequence)
}

// WasAttempted reports whether a former owner may have dispatched the call with this number,
// possibly with another body, with an unknown outcome.
func (h Header) WasAttempted(sequence int64) bool { return h.AttemptedSequence == sequence }

// Claim assigns the program to another owner, or to another incarnation of
// the same one. The former owner may have dispatched a call under its
// reservation, at a cost that cannot be determined, so the whole reservation
// counts as spent. An intent is kept: its call must never be dispatched
// again. Settle ends the call if its outcome can be found out, otherwise
// SettleUnknown does. If engines have failed under the call, the one that has
// it now is presumed to fail as well: its former owner can no longer tell.
func Claim(h Header, owner string, start uint64) Header {
	if h.FailedAttempts > 0 && h.MayDispatchWithoutWrite() {
		h.FailedAttempts++
	}
	return h.claim(owner, start)
}

// ChargeFailedAttempt counts a failed attempt at a repeatable call and charges
// it as Claim does, before its owner tries again.
func ChargeFailedAttempt(h Header, owner string, start uint64) Header {
	h.FailedAttempts++
	return h.claim(owner, start)
}

// claim assigns the program and charges its reservation.
func (h Header) claim(owner string, start uint64) Header {
	if h.MayDispatchWithoutWrite() {
		h.AttemptedSequence = h.NextSequence
	}
	h.FreeCalls = false
	h.Epoch++
	h.Owner = owner
	h.OwnerStart = start
	h.Spent += h.Reserved
	h.Reserved = 0
	return h
}

// ClearReservation frees the reservation for the next call at a planned stop,
// so that the next owner's Claim charges nothing. The program must be idle: no
// call may be in flight. With an intent the header is returned unchanged.
func ClearReservation(h Header) Header {
	if h.Intent != nil {
		return h
	}
	h.Reserved = 0
	h.FreeCalls = false
	return h
}

// Release removes the owner without naming the next one: any node may claim
// the program at once, and the claim charges nothing. The program must be
// idle. With an intent the header is returned unchanged.
func Release(h Header) Header {
	if h.Intent != nil {
		return h
	}
	h = ClearReservation(h)
	h.Owner = ""
	h.OwnerStart = 0
	return h
}

// End closes the program. The program must be idle: no call may be in flight.
// With an intent, or if already closed, the header is returned unchanged.
// Sub-agents may still be open; each returns its unspent budget when it ends.
func End(h Header, reason api.Code, now time.Time) Header {
	if h.Intent != nil || h.Status == api.ProgramClosed {
		return h
	}
	h.Status = api.ProgramClosed
	h.Reserved = 0
	h.FreeCalls = false
	h.EndedAt = now.UTC()
	h.EndReason = reason
	return h
}

// timeAfter returns start plus delay, or the zero time if delay is zero.
func timeAfter(start time.Time, delay time.Duration) time.Time {
	if delay == 0 {
		return time.Time{}
	}
	return start.Add(delay)
}
