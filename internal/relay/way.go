package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Bounds of the rule by which a node tells that the table service turns it away, from
// one that is busy or down for all.
const (
	// failuresToAsk is how many own calls fail in a row, with none answered in between,
	// before a peer is asked whether the service answers it. At twice the service's rate
	// every other call is refused, so that one of eight nodes asks without cause. Calls
	// that watch for changes fail three times within 150 ms.
	failuresToAsk = 3
	// opinionPause is between two such questions, so that a service that is down for all
	// gets two small reads a second from a node at most.
	opinionPause = 500 * time.Millisecond
)

// ending says what the end of a call tells of the node's own way to the table service.
type ending int

const (
	endedEarly  ending = iota // given up by its caller: says nothing
	answered                  // the service did or declined what was asked
	failed                    // refused, cut off or not answered: for all nodes, or for this one
	unreachable               // no connection
)

// endingOf reads a call's error.
func endingOf(err error) ending {
	var conflict *tablestore.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, tablestore.ErrRejected), errors.Is(err, tablestore.ErrHistoryGone):
		return answered
	case errors.Is(err, tablestore.ErrUnreachable):
		return unreachable
	case errors.Is(err, context.Canceled):
		return endedEarly
	}
	return failed
}

// way judges a node's own way to the table service by how calls end on it. It does no
// I/O and has no clock. Not safe for concurrent use.
//
// The way is lost when a call finds no connection, or when several calls in a row fail
// and a peer, asked for its opinion, is answered. It is found again when a probe is.
type way struct {
	lost      bool
	failures  int       // calls that failed in a row
	opinionAt time.Time // when a peer was last asked
}

// ended takes notice of a call that ended on the own way. It reports whether the way
// was lost by it.
func (w *way) ended(end ending) bool {
	switch end {
	case answered:
		w.failures = 0
	case failed:
		w.failures++
	case unreachable:
		w.failures++
		return w.lose()
	}
	return false
}

// mayAsk reports whether a peer is to be asked now whether the service answers it.
func (w *way) mayAsk(now time.Time) bool {
	if w.lost || w.failures < failuresToAsk {
		return false
	}
	return w.takeOpinion(now)
}

// takeOpinion reports whether a question may be asked now, and counts it.
func (w *way) takeOpinion(now time.Time) bool {
	if w.lost || now.Sub(w.opinionAt) < opinionPause {
		return false
	}
	w.opinionAt = now
	return true
}

// lose reports whether the way was not lost before.
func (w *way) lose() bool {
	was := w.lost
	w.lost = true
	return !was
}

// found notes that a probe of the own way was answered.
func (w *way) found() {
	*w = way{opinionAt: w.opinionAt}
}
