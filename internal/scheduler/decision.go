package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/explain"
)

// newDecision returns a decision with the fields that every decision about a call has.
func (c *Core) newDecision(kind explain.Kind, call *Call, waited time.Duration, now time.Time) explain.Decision {
	return explain.Decision{
		At:            now,
		Kind:          kind,
		Program:       call.Program,
		Tenant:        call.Tenant,
		Sequence:      call.Sequence,
		Target:        call.Model,
		Waited:        waited,
		BundleVersion: c.bundleVersion,
	}
}

// refuse returns a refusal with its decision, without candidates.
func (c *Core) refuse(call *Call, waited time.Duration, now time.Time, problem *api.Error) *Refusal {
	problem.Execution = api.NotRun
	decision := c.newDecision(explain.Refused, call, waited, now)
	decision.Code = int(problem.Code)
	decision.Reason = problem.Detail
	if problem.RetryAfter > 0 {
		decision.Reason += fmt.Sprintf("; come back in %s", problem.RetryAfter.Round(time.Millisecond))
	}
	return &Refusal{Call: *call, Error: problem, Decision: decision}
}

// placementReason returns the text that explains why the candidate at a position was
// chosen. waitedFor is the full engine that the call waited for first, or empty.
func (c *Core) placementReason(call *Call, position int, waitedFor string) string {
	name := c.candidates[position].engine.view.Name
	switch c.policy {
	case RoundRobin:
		return "next free engine in turn"
	case LeastLoaded:
		return "smallest share of its batch in use"
	case SessionAffinity:
		if name == call.LastEngine {
			return "served the program's previous turn"
		}
		return "smallest share of its batch in use; the previous turn's engine is not free"
	}
	reason := c.lowestDelayReason(position)
	switch waitedFor {
	case "":
		return reason
	case name:
		return reason + "; the call waited for this engine because that cost less than going elsewhere"
	default:
		return reason + "; the call gave up waiting for " + waitedFor
	}
}

// lowestDelayReason compares the chosen candidate with the next best free one.
func (c *Core) lowestDelayReason(position int) string {
	total := c.candidates[position].total
	next := c.chooseTotal(func(other *candidate) bool {
		return other.free() && other != &c.candidates[position]
	})
	if next < 0 {
		return fmt.Sprintf("the only free engine, weighted delay %.0f ms", total)
	}
	return fmt.Sprintf("lowest weighted delay, %.0f ms; next best is %s with %.0f ms",
		total, c.candidates[next].engine.view.Name, c.candidates[next].total)
}

// explainCandidates lists the chosen engine, then the usable ones by total,
// then the excluded ones, up to maxCandidates.
func (c *Core) explainCandidates(decision *explain.Decision, chosen string) {
	c.rankCandidates(chosen)
	listed := len(c.order)
	decision.Omitted = len(c.candidates) - listed
	decision.Candidates = make([]explain.Candidate, listed)
	scores := make([]explain.Score, 0, listed*len(scorers))
	for i, position := range c.order {
		source := &c.candidates[position]
		entry := &decision.Candidates[i]
		entry.Name = source.engine.view.Name
		entry.FilteredBy = source.filteredBy
		if !source.usable() {
			continue
		}
		if source.full {
			entry.FilteredBy = filterFull{}.name()
		}
		entry.Total = source.total
		first := len(scores)
		for rule, value := range source.scores {
			scores = append(scores, explain.Score{Rule: scorers[rule].name(), Value: value})
		}
		entry.Scores = scores[first:len(scores):len(scores)]
	}
}

// rankCandidates stores the positions of the first maxCandidates candidates in
// c.order, best first.
func (c *Core) rankCandidates(chosen string) {
	c.order = c.order[:0]
	for i := range c.candidates {
		at := len(c.order)
		for at > 0 && compareCandidates(&c.candidates[i], &c.candidates[c.order[at-1]], chosen) < 0 {
			at--
		}
		if at == maxCandidates {
			continue
		}
		if len(c.order) == maxCandidates {
			c.order = c.order[:maxCandidates-1]
		}
		c.order = slices.Insert(c.order, at, i)
	}
}

// compareCandidates is the order of explainCandidates: chosen first, then usable candidates
// by total, then excluded ones.
func compareCandidates(a, b *candidate, chosen string) int {
	if chosen != "" {
		if a.engine.view.Name == chosen {
			return -1
		}
		if b.engine.view.Name == chosen {
			return 1
		}
	}
	if a.usable() != b.usable() {
		if a.usable() {
			return -1
		}
		return 1
	}
	if order := cmp.Compare(a.total, b.total); order != 0 {
		return order
	}
	return cmp.Compare(a.engine.view.Name, b.engine.view.Name)
}
