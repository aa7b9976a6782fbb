package program

import (
	"strconv"
	"time"

	"github.com/pewtermill/pewtermill/api"
)

// Admit decides about an arriving call. It sees only durable state: if the
// same call is already in flight, the caller must first join it, and the
// caller must compare digests before it replays a result.
//
// With Run the Admission's Header holds a reservation of at least
// call.MaxCost, and an Intent if the call is not repeatable. If
// NeedsCommit is set, this Header must be durable before the dispatch.
// With any other verdict Header is h, unchanged.
//
// A call that may have run is never refused as not run: a final call is
// replayed even if the program has ended since, a call with an intent is
// refused as OutcomeUnknown, and every other refusal of a call for which
// MayHaveRun is true has the execution Unknown.
func Admit(h Header, call Call, limits ClassLimits, now time.Time) Admission {
	if err := checkCall(call); err != nil {
		return refuse(h, err)
	}
	if call.Sequence < h.NextSequence {
		return Admission{Verdict: Replay, Header: h}
	}
	if err := checkOpen(h, call, now); err != nil {
		return refuse(h, qualifyRefusal(h, call, err))
	}
	if call.Sequence > h.NextSequence {
		return Admission{Verdict: Wait, Header: h}
	}
	if err := checkLimits(h, call, limits); err != nil {
		return refuse(h, qualifyRefusal(h, call, err))
	}
	if call.Repeatable && h.reservationCovers(call.MaxCost) {
		return Admission{Verdict: Run, Header: h}
	}
	return Admission{Verdict: Run, Header: reserve(h, call), NeedsCommit: true}
}

// IdempotencyKey returns the key that every attempt at the call sends to its
// tool.
func IdempotencyKey(id string, sequence int64) string {
	return id + "/" + strconv.FormatInt(sequence, 10)
}

func checkCall(call Call) *api.Error {
	if call.Sequence < 1 {
		return api.Errorf(api.MalformedRequest, "sequence number %d is below 1", call.Sequence)
	}
	if call.MaxCost < 0 || call.MaxTokens < 0 {
		return api.Errorf(api.MalformedRequest, "cost %d or tokens %d is negative", call.MaxCost, call.MaxTokens)
	}
	return nil
}

// checkOpen checks whether the program accepts a call with this sequence number.
func checkOpen(h Header, call Call, now time.Time) *api.Error {
	switch {
	case h.Intent != nil && call.Sequence == h.Intent.Sequence:
		return api.Errorf(api.OutcomeUnknown, "call %d was dispatched in epoch %d and has no outcome yet", call.Sequence, h.Intent.Epoch)
	case h.Status == api.ProgramClosed:
		return api.Errorf(api.ProgramEnded, "program %s has ended", h.ID)
	case h.expired(now):
		return api.Errorf(api.WallTimeLimit, "program expired at %s", h.ExpiresAt.Format(time.RFC3339))
	}
	return nil
}

// checkLimits checks the next call against the limits and the budget. The
// comparisons are arranged so that no number from the client can overflow them.
func checkLimits(h Header, call Call, limits ClassLimits) *api.Error {
	unspent := h.Available() + h.Reserved
	switch {
	case limits.MaxCalls > 0 && h.Calls >= limits.MaxCalls:
		return api.Errorf(api.CallLimit, "%d of at most %d calls made", h.Calls, limits.MaxCalls)
	case limits.MaxTokens > 0 && call.MaxTokens > limits.MaxTokens-h.Tokens:
		return api.Errorf(api.TokenLimit, "%d of at most %d tokens used; the call may add %d", h.Tokens, limits.MaxTokens, call.MaxTokens)
	case call.MaxCost > unspent:
		return api.Errorf(api.BudgetExhausted, "the call may cost up to %d; %d is left", call.MaxCost, unspent)
	}
	return nil
}

// reserve returns the header that must be durable before the dispatch.
func reserve(h Header, call Call) Header {
	h.Reserved = call.MaxCost
	if call.Repeatable {
		h.FreeCalls = h.FreeCalls || call.MaxCost == 0
		return h
	}
	h.Intent = &Intent{
		Sequence:       call.Sequence,
		RequestDigest:  call.RequestDigest,
		IdempotencyKey: IdempotencyKey(h.ID, call.Sequence),
		Target:         call.Target,
		Epoch:          h.Epoch,
	}
	return h
}

// reservationCovers reports whether a call that costs at most cost can be dispatched without a
// write. A reservation of 0 does not permit that by itself: a node that takes over the program
// must see in the row that a call may have run, also a free one.
func (h Header) reservationCovers(cost api.Credits) bool {
	return cost <= h.Reserved && h.MayDispatchWithoutWrite()
}

// MayDispatchWithoutWrite reports whether the owner may dispatch any repeatable call without a write.
func (h Header) MayDispatchWithoutWrite() bool { return h.Reserved > 0 || h.FreeCalls }

func refuse(h Header, err *api.Error) Admission {
	return Admission{Verdict: Refuse, Header: h, Error: err}
}

// qualifyRefusal sets the execution of a refusal to Unknown if the call may have run.
func qualifyRefusal(h Header, call Call, err *api.Error) *api.Error {
	if h.MayHaveRun(call.Sequence) {
		err.Execution = api.Unknown
	}
	return err
}

// expired reports whether the program has exceeded its wall-time limit.
func (h Header) expired(now time.Time) bool {
	return !h.ExpiresAt.IsZero() && now.After(h.ExpiresAt)
}
