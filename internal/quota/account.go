package quota

import (
	"math"
	"time"
)

// Settings of an account.
const (
	// prefetchLife is how long prefetched tokens may be used. A program's next requests fall
	// within it: a turn takes 0.1 to 0.2 s, a tool call less.
	prefetchLife = 500 * time.Millisecond
	// prefetchWatermark is the fraction of its capacity above which an account grants prefetch.
	prefetchWatermark = 0.5
	// partialGrantPause is how long a node waits before its next request if the last one was not
	// granted in full. It saves the holder from rejecting each request of a tenant far beyond
	// its limit. A tenant whose burst has just ended loses no more than this time.
	partialGrantPause = 200 * time.Millisecond
	// lowWatermark is the fraction of its capacity below which an account lets no program start:
	// the remaining tokens are for running programs.
	lowWatermark = 0.25
	// newProgramShare is the fraction of the rate that is budgeted for new programs. The rest
	// covers requests that programs need beyond the average of earlier ones.
	newProgramShare = 0.9
	// newProgramSpan limits the budget for new programs to the tokens that accrue in this time.
	// Programs take some seconds each, so the tokens that one needs accrue while it runs.
	newProgramSpan = 3 * time.Second
	// programDecayTime is the time constant with which past programs are forgotten when the
	// requests per program are averaged. defaultProgramRequests is assumed until
	// minCountedPrograms programs have been counted.
	programDecayTime       = 15 * time.Second
	defaultProgramRequests = 10
	minCountedPrograms     = 3
	// maxRetryAfter is the upper bound of the retry time sent to a rejected caller.
	maxRetryAfter = 2 * time.Second
)

// Request is a node's request for tokens of a tenant's account.
type Request struct {
	Limit            Limit
	Needed           int    // requests waiting for a token, except those that start a program
	NewPrograms      int    // further waiting requests, each of which starts a program
	Prefetch         int    // tokens for future requests, granted above prefetchWatermark
	AdmittedLocally  int    // requests admitted without the holder since its last answer
	RejectedPrograms int    // new programs that the node has rejected since then
	Unused           int    // unused tokens of Term that the node returns
	Term             uint64 // in which those tokens were issued; 0 if there are none
	// UnusedAge is an upper bound of the age of the oldest returned token.
	UnusedAge time.Duration
}

// Grant is the answer to a Request.
type Grant struct {
	Tokens      int           // for requests of running programs, or outside programs
	NewPrograms int           // requests that start a program and may run
	Pause       time.Duration // until the node may request again; 0 if it may at once
	// NewProgramPause is the pause until the node may request again for new programs.
	NewProgramPause      time.Duration
	RetryAfter           time.Duration // after which a rejected caller has a chance
	NewProgramRetryAfter time.Duration // the same for a request that starts a program
	Term                 uint64        // of the holder
	Remaining            int           // tokens left in the account; negative if nodes admitted more locally
}

// Account is a tenant's token bucket, one token for each request, kept by the holder of the
// tenant's shard. Not safe for concurrent use.
//
// Invariant: over any window, the number of tokens that were issued and used is at most
// Rate x window + capacity. A prefetched token can be used later than it was counted, so
// prefetched tokens reduce the capacity until they have expired.
type Account struct {
	tolerance Tolerance
	limit     Limit
	tokens    float64
	countedAt time.Time // up to which the refill is counted
	fullAt    time.Time // when the account was last full

	prefetched          [2]float64 // issued ahead in the current period of prefetchLife and in the one before
	prefetchPeriodStart time.Time  // start of the current period

	retryQueueEnd time.Time // latest time at which rejected callers were scheduled to retry

	// recordedLevel is the level below which the account issues no tokens, because the next
	// holder may start from it; zero or less if there is none. See Levels.
	recordedLevel    float64
	spentSinceRecord float64 // issued since the level was last recorded

	programs programs
}

// programs are statistics of a tenant's programs. A program that is rejected midway has wasted
// the tokens it used, so while tokens are short a program starts only if the rate covers all
// requests that it is expected to make.
type programs struct {
	budget          float64 // requests for which new programs may still be started
	started         float64 // recent programs, weighted less the longer ago they started
	runningRequests float64 // requests of running programs, weighted in the same way
}

// requestsPerProgram returns the estimated number of requests that a program makes.
func (p *programs) requestsPerProgram() float64 {
	if p.started < minCountedPrograms {
		return defaultProgramRequests
	}
	return 1 + p.runningRequests/p.started
}

// advance accounts for the time that has passed at the limit's rate.
func (p *programs) advance(passed time.Duration, limit Limit) {
	decay := math.Exp(-passed.Seconds() / programDecayTime.Seconds())
	p.started *= decay
	p.runningRequests *= decay
	maxBudget := limit.Rate*newProgramSpan.Seconds() + limit.Burst
	p.budget = min(maxBudget, p.budget+newProgramShare*limit.Rate*passed.Seconds())
}

// NewAccount returns an account whose holder does not know what was issued before since.
func NewAccount(tolerance Tolerance, limit Limit, since, now time.Time) *Account {
	a := &Account{tolerance: tolerance, limit: limit, countedAt: since, prefetchPeriodStart: now, retryQueueEnd: now}
	a.tokens = startShare * tolerance.excess(limit)
	a.advance(now)
	return a
}

// NewAccountFromLevel returns an account that continues from the level that its last holder recorded.
// No tokens have been issued since the shard was taken over at since. The last holder may have
// prefetched up to the fraction of the capacity above prefetchWatermark, so the new account stays
// that much lower until those tokens have expired.
func NewAccountFromLevel(tolerance Tolerance, limit Limit, level float64, since, now time.Time) *Account {
	a := &Account{tolerance: tolerance, limit: limit, countedAt: since, prefetchPeriodStart: since, retryQueueEnd: now, tokens: level}
	a.prefetched[0] = (1 - prefetchWatermark) * tolerance.capacity(limit)
	a.advance(since)
	if allExpired := since.Add(prefetchLife); now.After(allExpired) {
		a.advance(allExpired) // the lower ceiling holds until then, however late the first request comes
	}
	a.advance(now)
	return a
}

// Grant answers a node's request; term is the holder's.
func (a *Account) Grant(now time.Time, request Request, term uint64) Grant {
	a.adopt(request.Limit)
	a.advance(now)
	if request.Term == term {
		a.reclaim(now, request)
	}
	a.tokens = max(a.tokens-float64(request.AdmittedLocally), -a.tolerance.capacity(a.limit))
	grant := Grant{Term: term, Tokens: a.take(request.Needed), NewPrograms: a.startPrograms(request.NewPrograms)}
	unmet, notStarted := request.Needed-grant.Tokens, request.NewPrograms-grant.NewPrograms
	if unmet+notStarted == 0 {
		grant.Tokens += a.prefetch(request.Prefetch)
	}
	a.programs.runningRequests += float64(grant.Tokens)
	grant.Remaining = int(math.Floor(a.tokens))
	if unmet > 0 {
		grant.Pause = partialGrantPause
		grant.RetryAfter = a.retryAfter(unmet)
	}
	if notStarted > 0 {
		grant.NewProgramPause = partialGrantPause
		grant.NewProgramRetryAfter = a.newProgramRetryAfter(now, notStarted+request.RejectedPrograms)
	}
	return grant
}

// reclaim adds tokens that a node returns unused. If the account has been full since they were
// issued, the refill has already replaced them, and adding them would count them twice.
func (a *Account) reclaim(now time.Time, request Request) {
	a.programs.runningRequests = max(0, a.programs.runningRequests-float64(request.Unused))
	if firstIssued := now.Add(-request.UnusedAge); !firstIssued.Before(a.fullAt) {
		a.tokens = min(a.tokens+float64(request.Unused), a.ceiling())
	}
}

// startPrograms lets as many of the waiting programs start as there are tokens for and returns
// their number. While tokens are short, the rate must also cover their expected requests.
func (a *Account) startPrograms(waiting int) int {
	started := 0
	for ; started < waiting && a.spendable() >= 1; started++ {
		expected := a.programs.requestsPerProgram()
		if !a.mayStartProgram(expected) {
			break
		}
		a.spend(1)
		a.programs.started++
		a.programs.budget = max(a.programs.budget-expected, -a.limit.Rate*newProgramSpan.Seconds())
	}
	return started
}

// mayStartProgram reports whether one more program with this number of expected requests may start.
func (a *Account) mayStartProgram(expected float64) bool {
	level := a.tokens / a.tolerance.capacity(a.limit)
	return level >= prefetchWatermark || (level >= lowWatermark && a.programs.budget >= expected)
}

// adopt takes the limit if it is of a newer configuration.
func (a *Account) adopt(limit Limit) {
	if limit.Version > a.limit.Version {
		a.limit = limit
	}
}

// advance refills the account for the time that has passed and expires prefetched tokens.
func (a *Account) advance(now time.Time) {
	if now.Sub(a.prefetchPeriodStart) >= prefetchLife {
		a.prefetched[1] = a.prefetched[0]
		a.prefetched[0] = 0
		if now.Sub(a.prefetchPeriodStart) >= 2*prefetchLife {
			a.prefetched[1] = 0
		}
		a.prefetchPeriodStart = now
	}
	if passed := now.Sub(a.countedAt); passed > 0 {
		a.programs.advance(passed, a.limit)
		a.tokens += a.limit.Rate * passed.Seconds()
		a.countedAt = now
	}
	if ceiling := a.ceiling(); a.tokens >= ceiling {
		a.tokens, a.fullAt = ceiling, now
	}
}

// ceiling returns the maximum number of tokens that the account may hold now.
func (a *Account) ceiling() float64 {
	return max(0, a.tolerance.capacity(a.limit)-a.prefetched[0]-a.prefetched[1])
}

// take issues up to needed tokens for waiting requests and returns their number.
func (a *Account) take(needed int) int {
	taken := min(needed, max(0, int(math.Floor(a.spendable()))))
	a.spend(float64(taken))
	return taken
}

// prefetch issues up to wanted tokens ahead, while the account stays above prefetchWatermark.
func (a *Account) prefetch(wanted int) int {
	spare := math.Floor(min(a.tokens-prefetchWatermark*a.tolerance.capacity(a.limit), a.spendable()))
	granted := max(0, min(wanted, int(spare)))
	a.spend(float64(granted))
	a.prefetched[0] += float64(granted)
	return granted
}

// retryAfter returns the time until there are tokens for the unmet requests of running programs.
func (a *Account) retryAfter(unmet int) time.Duration {
	return a.timeFor(float64(unmet) - min(0, a.tokens))
}

// newProgramRetryAfter returns when rejected new programs have a chance: after the callers that
// were scheduled to retry before them, at the rate at which programs can start.
func (a *Account) newProgramRetryAfter(now time.Time, rejected int) time.Duration {
	if a.retryQueueEnd.Before(now) {
		a.retryQueueEnd = now
	}
	a.retryQueueEnd = a.retryQueueEnd.Add(a.timeFor(float64(rejected) * a.programs.requestsPerProgram()))
	if latest := now.Add(maxRetryAfter); a.retryQueueEnd.After(latest) {
		a.retryQueueEnd = latest
	}
	return a.retryQueueEnd.Sub(now)
}

// timeFor returns the time in which this number of tokens accrues, at most maxRetryAfter.
func (a *Account) timeFor(tokens float64) time.Duration {
	if tokens >= a.limit.Rate*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(tokens / a.limit.Rate * float64(time.Second))
}
