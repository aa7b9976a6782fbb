package program

import (
	"slices"

	"github.com/pewtermill/pewtermill/api"
)

// Settle makes the call in flight final. Its cost is charged, capped by the
// reservation. The unused part of the reservation is freed, and up to
// nextReservation of the available budget is reserved for the next call.
// After a Claim the reservation has been charged already, so nothing more is
// charged. The header must be written in one transaction with the CallRow.
// If the outcome is not that of the next sequence number, or the program is
// closed, the header is returned unchanged.
func Settle(h Header, outcome Outcome, nextReservation api.Credits) Header {
	if outcome.Sequence != h.NextSequence || h.Status == api.ProgramClosed {
		return h
	}
	h.Spent += clamp(outcome.Cost, h.Reserved)
	h.Reserved = 0
	h.Reserved = clamp(nextReservation, h.Available())
	h.Tokens += max(0, outcome.Tokens)
	h.HistoryTokens += max(0, outcome.HistoryTokens)
	if outcome.Backend != "" && !slices.Contains(h.Holds, outcome.Backend) {
		h.Holds = appendCopy(h.Holds, outcome.Backend)
	}
	return h.finalize()
}

// Abandon drops the call in flight, which certainly did not run in this
// epoch. Its number stays free. The header must be durable before the client
// is notified that the call was not run. An intent of a former epoch is never
// dropped, and nothing changes if the sequence is not the next one.
func Abandon(h Header, sequence int64) Header {
	if sequence != h.NextSequence || (h.Intent != nil && h.Intent.Epoch != h.Epoch) {
		return h
	}
	h.Intent = nil
	h.Reserved = 0
	return h
}

// SettleUnknown makes the call of the pending intent final without an outcome,
// and charges the rest of its reservation. After a Claim the rest is 0, because
// the Claim charged it. Without an intent the header is returned unchanged. The
// header must be written in one transaction with the CallRow.
func SettleUnknown(h Header) Header {
	if h.Intent == nil {
		return h
	}
	h.Spent += h.Reserved
	h.Reserved = 0
	return h.finalize()
}

// finalize counts the call and advances to the next sequence number.
func (h Header) finalize() Header {
	h.Intent = nil
	h.FailedAttempts = 0
	h.Calls++
	h.NextSequence++
	return h
}

// clamp limits amount to the range 0 to limit.
func clamp(amount, limit api.Credits) api.Credits {
	return max(0, min(amount, limit))
}
