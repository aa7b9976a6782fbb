package scheduler

import (
	"math"
	"time"
)

// rank returns a call's rank in its queue, in seconds; higher runs first.
//
// Under ProgramAware it is the sum of these terms, each with its weight from the bundle:
//   - worth: the doublings of (1 + class worth);
//   - attained: minus the doublings of (1 + seconds of engine service that
//     the program has had), so that programs that turn out short finish soon.
//     Worth minus attained is the logarithm of worth per service;
//   - slack: minus the seconds left to the program's deadline at Submit,
//     bounded on both sides;
//   - late: minus latePenalty for a program that cannot meet its deadline any more, so
//     that it yields to those that can;
//   - aging: minus the time of Submit, so that a call gains on every later
//     one. Slack and aging with equal weights are earliest deadline first.
//
// Every term except aging is bounded, so no call starves. Only the late term can change
// while the call waits; rerankLate then moves the call, so queues stay sorted. The baseline
// policies rank by the time of Submit alone.
func (c *Core) rank(call *Call, now time.Time) float64 {
	age := now.Sub(c.origin).Seconds()
	if c.policy != ProgramAware {
		return -age
	}
	rank := -c.weights.aging * age
	rank += c.weights.worth * math.Log2(1+max(0, c.classWorth(call.Class)))
	rank -= c.weights.attained * math.Log2(1+max(0, call.AttainedService.Seconds()))
	rank -= c.weights.slack * boundedSlack(call, now).Seconds()
	if call.late(now) {
		rank -= latePenalty.Seconds()
	}
	return rank
}

// boundedSlack returns the time left to the program's deadline, between -maxOverdue and
// maxSlack. A program without a deadline has maxSlack.
func boundedSlack(call *Call, now time.Time) time.Duration {
	if call.ProgramDeadline.IsZero() {
		return maxSlack
	}
	return min(maxSlack, max(-maxOverdue, call.ProgramDeadline.Sub(now)))
}

// late reports whether the call's program cannot meet its deadline any more.
func (call *Call) late(now time.Time) bool {
	return !call.LatestStart.IsZero() && !now.Before(call.LatestStart)
}

// rerankLate ranks again the calls of a queue that have become late.
func (c *Core) rerankLate(tq *tenantQueue, now time.Time) {
	var newlyLate []*queuedCall
	for _, call := range tq.calls {
		if !call.rankedLate && call.call.late(now) {
			newlyLate = append(newlyLate, call)
		}
	}
	for _, call := range newlyLate {
		tq.remove(call)
		call.rankedLate = true
		call.rank = c.rank(&call.call, call.queued)
		call.rank -= latePenalty.Seconds()
		tq.insert(call)
	}
}
