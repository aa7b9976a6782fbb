package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Bounds of the rule by which a node distinguishes a table service that rejects this node from
// one that is overloaded or down for all nodes.
const (
	// failuresForCheck is how many direct calls have to fail in a row, with none answered in between,
	// before a peer checks whether the service answers it. At twice the service's rate limit
	// every other call is throttled, so that one of eight nodes checks without need. Calls
	// that watch for changes fail three times within 150 ms.
	failuresForCheck = 3
	// spacedFailures are enough if they are at least minSpacing apart with no answer in between: a node that makes
	// few calls, and pauses after rejections, would not reach three within its client's deadline. At twice the rate
	// limit one in four such pairs is throttled, and so is one in four pairs of own reads before a peer is queried.
	spacedFailures = 2
	minSpacing     = 150 * time.Millisecond
	// checkInterval is the minimum time between two checks with the same trigger, so that a service that is down for
	// all gets at most two small reads a second from a node, and two more if some calls go unanswered.
	checkInterval = 500 * time.Millisecond
)

// trigger is what starts a check whether the service answers a peer. Each has its own checkInterval: a slow
// moment, after which the service answered, is no evidence about rejections that follow.
type trigger int

const (
	byFailures       trigger = iota // calls that failed in a row
	byUnansweredCall                // a call that has gone unanswered for long
	triggers
)

// callEnd is what the end of a call shows of the node's direct path to the table service.
type callEnd int

const (
	abandoned       callEnd = iota // cancelled by its caller: shows nothing
	answered                       // the service executed or declined the request
	failed                         // rejected, aborted or not answered: for all nodes, or for this one
	unreachable                    // no connection
	connectTimedOut                // no response to the attempt to connect: the link may be cut, or only busy
)

// classify derives the end of a call from its error.
func classify(err error) callEnd {
	var conflict *tablestore.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, tablestore.ErrRejected), errors.Is(err, tablestore.ErrHistoryTruncated):
		return answered
	case errors.Is(err, tablestore.ErrConnectTimedOut):
		return connectTimedOut
	case errors.Is(err, tablestore.ErrUnreachable):
		return unreachable
	case errors.Is(err, context.Canceled):
		return abandoned
	}
	return failed
}

// directPath is the state of a node's direct path to the table service, derived from how calls over it end. It does no
// I/O and has no clock. Not safe for concurrent use.
//
// The path is lost when a call finds no connection, or when several calls in a row fail, or an attempt to connect
// times out, and the service answers a peer that checks it and not this node. It is restored when a probe is answered.
type directPath struct {
	lost         bool
	failures     int                 // calls that failed in a row
	failingSince time.Time           // when the first of them did
	checkedAt    [triggers]time.Time // when a peer was last queried
}

// recordEnd records the end of a call over the direct path. It reports whether the path
// was lost by it.
func (p *directPath) recordEnd(end callEnd, now time.Time) bool {
	switch end {
	case answered:
		p.failures = 0
	case failed, connectTimedOut:
		p.recordFailure(now)
	case unreachable:
		p.recordFailure(now)
		return p.markLost()
	}
	return false
}

// recordFailure counts a failure.
func (p *directPath) recordFailure(now time.Time) {
	if p.failures == 0 {
		p.failingSince = now
	}
	p.failures++
}

// failsOften reports whether enough calls failed in a row to ask a peer.
func (p *directPath) failsOften(now time.Time) bool {
	return p.failures >= failuresForCheck || (p.failures >= spacedFailures && now.Sub(p.failingSince) >= minSpacing)
}

// startFailureCheck reports whether to ask a peer now because of failed calls, and records the time of the check.
func (p *directPath) startFailureCheck(now time.Time) bool {
	if p.lost || !p.failsOften(now) {
		return false
	}
	return p.startCheck(byFailures, now)
}

// startCheckAfter reports whether to ask a peer now because of how a call ended, and records the time of the check. An
// attempt to connect has taken longer than a call may go unanswered, so a single one that timed out is enough.
func (p *directPath) startCheckAfter(end callEnd, now time.Time) bool {
	if end == connectTimedOut && p.startCheck(byUnansweredCall, now) {
		return true
	}
	return p.startFailureCheck(now)
}

// startCheck reports whether a check may start now, and records its time.
func (p *directPath) startCheck(by trigger, now time.Time) bool {
	if p.lost || now.Sub(p.checkedAt[by]) < checkInterval {
		return false
	}
	p.checkedAt[by] = now
	return true
}

// markLost marks the path as lost and reports whether it was not lost before.
func (p *directPath) markLost() bool {
	wasLost := p.lost
	p.lost = true
	return !wasLost
}

// restore records that a probe of the direct path was answered.
func (p *directPath) restore() {
	*p = directPath{checkedAt: p.checkedAt}
}
