package commitgroup

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// maxTrialLosses is the number of parts of a lost group that are tried while nothing is answered: if all of them are lost,
// the service resets everything.
const maxTrialLosses = 4

// isLost reports whether the response to a group was lost at once, such as by a reset connection. A group without a
// response in time is overdue instead. A group that was cancelled since no caller waits for it shows nothing, nor does a
// node that has lost its path to the service.
func isLost(f *inFlightGroup, err error) bool {
	return errors.Is(err, tablestore.ErrUnknownOutcome) && !f.overdue &&
		!errors.IsAny(err, tablestore.ErrUnreachable, tablestore.ErrRejected, context.Canceled)
}

// mayResendLost reports whether the members of a lost group of several parts are to be sent again by part: one part may
// reset all calls while the others answer, and a group that includes it is lost as a whole. The service must
// have answered a group within probeInterval. Otherwise one lost group per probeInterval is sent again to find out, so
// that a service that resets everything gets little twice. The mutex is held.
func (g *Group) mayResendLost(f *inFlightGroup, err error, now time.Time) bool {
	if !isLost(f, err) || !spansParts(f.members) {
		return false
	}
	if g.responds(now) {
		return true
	}
	if now.Sub(g.lastProbeAt) < probeInterval {
		return false
	}
	g.lastProbeAt, g.trialLosses = now, 0
	return true
}

// resendLost queues the members of a lost group again, by part. Each is conditional on what it writes, so that it is
// applied at most once. They keep to the send rate: any number of groups may be lost in a row. The keys of the group are
// unlocked. The mutex is held.
func (g *Group) resendLost(f *inFlightGroup, now time.Time) {
	pending := unanswered(f.members)
	for _, m := range pending {
		m.unconfirmed = true
	}
	g.separate(f, pending, now)
	g.requeue(f.members)
}

// hasFailed reports whether a group was lost or rejected at once, as by a part that is down.
func hasFailed(f *inFlightGroup, err error) bool {
	return isLost(f, err) || (errors.Is(err, tablestore.ErrUnavailable) && !f.overdue &&
		!errors.IsAny(err, tablestore.ErrUnreachable, tablestore.ErrRejected, context.Canceled))
}

// recordLost records that a part failed a group of its own, or that failing parts failed a group that they share: they
// are kept apart from the others, whose groups would fail with them. While nothing is answered and groups are lost, no
// part is kept apart: all reset, and their callers are to be told soon. The mutex is held.
func (g *Group) recordLost(f *inFlightGroup, err error, now time.Time) {
	switch {
	case !hasFailed(f, err) || (spansParts(f.members) && !f.failing):
	case g.responds(now):
		g.recordMisleadingRead(f, now)
		for _, m := range f.members {
			g.queue.recordLost(m.part, now)
		}
	case isLost(f, err):
		g.queue.endIsolation()
		g.recordTrialLoss(err)
	}
}

// recordTrialLoss records that a part was lost while nothing is answered. After maxTrialLosses, the other members of lost
// groups are not sent again. The mutex is held.
func (g *Group) recordTrialLoss(err error) {
	g.trialLosses++
	if g.trialLosses < maxTrialLosses {
		return
	}
	pending := slices.DeleteFunc(slices.Clone(g.queue.waiting), func(m *member) bool { return m.failedIn == nil || !m.unconfirmed })
	g.queue.remove(pending...)
	answerAll(pending, tablestore.Receipt{}, err)
}

// responds reports whether the service has answered a group within probeInterval. The mutex is held.
func (g *Group) responds(now time.Time) bool { return now.Sub(g.lastResponseAt) < probeInterval }
