// Package admission decides whether a new program may start. If more programs start than the
// engines have capacity for, all of them finish late, and only complete programs are useful. So
// surplus programs are rejected at their first turn, immediately and the less urgent ones first,
// and programs that have started are completed: this package does not decide about their turns.
//
// All functions are pure: time, counts and program names are arguments. Two nodes with
// the same counts decide the same for a program, so a program that retries at another
// node gets the same answer as long as the load is the same.
package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load thresholds of the rejection of new programs. A load is the demand divided by the slots.
const (
	// rejectStartLoad is the load up to which every program is admitted. With 0.75 and 0.80,
	// programs are rejected that engines would have served in time; see
	// docs/design/admission.md.
	rejectStartLoad = 1.25
	// rejectAllLoad is the load from which no program is admitted. It is above 1, since counts are as old
	// as a report and engines queue a few calls. Its distance from rejectStartLoad is large enough
	// to keep the load from oscillating, as counts are 0.1 to 0.2 s old.
	rejectAllLoad = 2.0
	// noRejectLoad is the load below which nothing is rejected while no call waits, whatever
	// the other counts are: idle engines next to a rejection serve nobody.
	noRejectLoad = 0.50
)

// minShareRatio is the min ratio between the admitted share of a priority and that of the next
// more urgent one, so that no priority is starved.
const minShareRatio = 0.5

// rankStep is the reduction of the admitted share from one rank to the next. With 1, a rank is
// reduced only once nothing of the less urgent rank is admitted, which starves that one; with 0
// all ranks are reduced equally.
const rankStep = 0.25

// retriedFactor is how many times faster the share of programs that retry after a rejection falls than
// that of others. Most of a retrying program's time has passed: with the same slots, a program at
// its first attempt would finish in time.
const retriedFactor = 4.0

// minRetryAfter is the shortest delay after which a rejected caller is to retry:
// about the duration of a turn; few slots become free in less time.
const minRetryAfter = 200 * time.Millisecond

// retryFraction is the max retry delay as a fraction of the caller's remaining time.
// According to the operators' platform, callers wait no longer.
const retryFraction = 1.0 / 3

// Counts are the load counts of the engines of one service, over all nodes.
type Counts struct {
	Complete bool // the calls of other nodes are included
	Slots    int  // calls that the engines which accept new work run at once
	InFlight int  // calls in flight there
	Waiting  int  // calls that wait at nodes for an engine
	Pending  int  // first turns of programs that were admitted and have not requested an engine yet
	Age      time.Duration
}

// Load returns the demand divided by the slots; 0 if it is not known.
func (c Counts) Load() float64 {
	if !c.Complete || c.Slots <= 0 {
		return 0
	}
	return float64(c.InFlight+c.Waiting+c.Pending) / float64(c.Slots)
}

// Underloaded reports whether a rejection would leave engines idle, or the load is not known.
func (c Counts) Underloaded() bool {
	return !c.Complete || c.Waiting == 0 && float64(c.InFlight) < noRejectLoad*float64(c.Slots) || c.Slots <= 0
}

// Level returns the admission level, from 1 (all candidates are admitted) to 0 (none is).
func (c Counts) Level() float64 {
	return clamp((rejectAllLoad - c.Load()) / (rejectAllLoad - rejectStartLoad))
}

// Candidate is a program that requests to start.
type Candidate struct {
	Program   string
	Retried   bool          // it was rejected recently, here or at another node
	Rank      int           // index of its priority among those of its service, 0 for the most urgent
	Ranks     int           // number of priorities of the service; at least 1
	Remaining time.Duration // remaining time for which the caller waits
}

// Decision is the decision about a candidate, and the values that led to it.
type Decision struct {
	Rank       int  // rank of the candidate
	Retried    bool // the candidate was rejected recently
	Decided    bool // false: the request did not start a program
	Admitted   bool
	Level      float64 // level of the service
	Share      float64 // fraction of the candidate's priority that is admitted at this level
	Counts     Counts
	RetryAfter time.Duration // if it was not admitted
}

// Decide returns the decision about a candidate.
func Decide(candidate Candidate, counts Counts) Decision {
	decision := Decision{Decided: true, Rank: candidate.Rank, Retried: candidate.Retried, Counts: counts, Level: counts.Level()}
	decision.Share = share(decision.Level, candidate.Rank, candidate.Ranks)
	if candidate.Retried {
		decision.Share *= clamp(1 - (1-decision.Level)*retriedFactor)
	}
	position := positionOf(candidate.Program)
	decision.Admitted = position < decision.Share || counts.Underloaded()
	if !decision.Admitted {
		decision.RetryAfter = retryAfter(candidate.Remaining, 1-decision.Share)
	}
	return decision
}

// share returns the fraction of the candidates of one rank that is admitted at a level. The share of
// each rank is rankStep below that of the rank before it, but at least minShareRatio of it.
func share(level float64, rank, ranks int) float64 {
	ranks = max(1, ranks)
	rank = min(max(0, rank), ranks-1)
	firstShare := level * (1 + rankStep*float64(ranks-1))
	admitted := clamp(firstShare)
	for r := 1; r <= rank; r++ {
		admitted = max(clamp(firstShare-rankStep*float64(r)), minShareRatio*admitted)
	}
	return admitted
}

// positionOf returns the position of a program in the admission order, from 0 up to 1: a hash of
// its name. The lower it is, the longer the program is admitted while the level falls.
func positionOf(program string) float64 {
	return float64(xxhash.Sum64String("admission/"+program)>>11) / (1 << 53)
}

// retryAfter returns the delay after which a rejected caller should retry. rejected is the fraction
// of its priority that is rejected: callers of more urgent priorities retry sooner.
func retryAfter(remaining time.Duration, rejected float64) time.Duration {
	latest := max(minRetryAfter, time.Duration(float64(remaining)*retryFraction))
	return minRetryAfter + time.Duration(clamp(rejected)*float64(latest-minRetryAfter))
}

// clamp limits a fraction to the range from 0 to 1; NaN becomes 1, which rejects nothing.
func clamp(fraction float64) float64 {
	if math.IsNaN(fraction) {
		return 1
	}
	return max(0, min(1, fraction))
}
