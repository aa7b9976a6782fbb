package quota

import (
	"math"
	"time"
)

// Settings of a share.
const (
	// initialPrefetch is how many tokens a node prefetches if it has had no recent requests of the
	// tenant: enough for a program's next requests.
	initialPrefetch = 3
	maxPrefetch     = 16
	// localPeriod is how long a node stays in local mode after a failed request to the holder, so
	// that not every request waits for an answer that does not come.
	localPeriod = 250 * time.Millisecond
	// localRetryAfter is the retry time for a caller that a node rejects in local mode: a lost
	// holder is replaced in that time.
	localRetryAfter = time.Second
	// startRetryAfter is the retry time at a node that has had no answer of any holder yet: it has
	// just started, perhaps together with all others. Shards were taken within 0.3 s of such a start.
	startRetryAfter = 300 * time.Millisecond
)

// Outcome is the result of the decision on one request.
type Outcome int

// Outcomes.
const (
	Undecided Outcome = iota // a request to the holder is needed
	Granted
	Refused
)

// String returns the outcome's name in metrics.
func (o Outcome) String() string { return [...]string{"undecided", "granted", "refused"}[o] }

// Basis is what an outcome is based on, for logs.
type Basis string

// Bases.
const (
	ByHolder Basis = "holder" // the holder's tokens or its lack of tokens
	Local    Basis = "alone"  // local mode: the node's own share, since it does not reach the holder
)

// Decision is the outcome for one request, with the data that explains it.
type Decision struct {
	Outcome    Outcome
	Basis      Basis
	RetryAfter time.Duration // of a refusal, until a retry makes sense
	Term       uint64        // of the holder that answered last; 0 if none has
	AnswerAge  time.Duration // since that answer
	Remaining  int           // tokens left at the holder then; negative if nodes had admitted more
	// IssuedAt is the earliest time at which the token of a grant was issued.
	IssuedAt time.Time
}

// Share is one node's part of a tenant's tokens. Not safe for concurrent use.
type Share struct {
	tolerance Tolerance
	random    func() float64 // from 0 to 1

	// Tokens that the node holds, and unused ones that it is to return.
	tokens  int
	expires time.Time
	term    uint64 // in which the tokens were issued
	unused  int    // expired or returned tokens of the term
	// unusedIssuedAt is the earliest time at which the first unused token was issued.
	unusedIssuedAt time.Time
	issuedAt       time.Time // earliest time at which the first of tokens was issued
	newPrograms    int       // programs that may start by the last answer
	requestedAt    time.Time // time of the last request to the holder

	// Content of the last answer.
	answeredAt             time.Time
	remaining              int // tokens left at the holder
	pausedUntil            time.Time
	retryAfter             time.Duration // of refusals during that pause
	newProgramsPausedUntil time.Time
	newProgramRetryAfter   time.Duration // of refusals during that pause

	// Decisions since the last answer.
	used             int // tokens; predicts the number of next requests
	rejectedPrograms int
	admittedLocally  int // requests admitted without the holder

	// State of local mode.
	localUntil      time.Time
	localTokens     float64   // requests that the node may admit
	localCountedAt  time.Time // up to which localTokens are counted
	nodes           int
	reachesPeer     bool      // as of the last failed request to the holder
	failedRequestAt time.Time // when that request was sent
}

// NewShare returns a share without tokens. random draws numbers from 0 to 1.
func NewShare(tolerance Tolerance, random func() float64) *Share {
	return &Share{tolerance: tolerance, nodes: 1, random: random}
}

// Take decides on one request if that needs no answer of the holder. A request that starts a
// program always needs one, since only the holder knows what the tenant's programs will need.
func (s *Share) Take(now time.Time, limit Limit, newProgram bool) Decision {
	s.expire(now)
	switch {
	case newProgram && s.newPrograms > 0:
		s.newPrograms--
		return s.grant(now, ByHolder, s.requestedAt)
	case newProgram && now.Before(s.newProgramsPausedUntil):
		s.rejectedPrograms++
		return s.decision(now, Refused, ByHolder, max(s.newProgramRetryAfter, s.newProgramsPausedUntil.Sub(now)))
	case !newProgram && s.tokens > 0:
		s.tokens--
		s.used++
		return s.grant(now, ByHolder, s.issuedAt)
	case now.Before(s.pausedUntil):
		return s.decision(now, Refused, ByHolder, max(s.retryAfter, s.pausedUntil.Sub(now)))
	case now.Before(s.localUntil):
		return s.takeLocal(now, limit)
	}
	return Decision{Outcome: Undecided}
}

// ReturnToken returns the token of a granted request that reached no engine. The token goes back to
// the holder: if this node used it, it would count at another time than the one it was issued for.
// A token of another holder's term stays counted.
func (s *Share) ReturnToken(granted Decision) {
	if granted.Term == s.term {
		s.noteUnused(1, granted.IssuedAt)
	}
}

// noteUnused notes unused tokens and the earliest time at which they were issued.
func (s *Share) noteUnused(tokens int, issuedAt time.Time) {
	if s.unused == 0 || issuedAt.Before(s.unusedIssuedAt) {
		s.unusedIssuedAt = issuedAt
	}
	s.unused += tokens
}

// Request returns the request to the holder for needed waiting requests and newPrograms that start
// a program. Unused tokens are reported once: if the answer is lost, they stay counted.
func (s *Share) Request(now time.Time, limit Limit, needed, newPrograms int) Request {
	s.expire(now)
	prefetch := min(maxPrefetch, s.used)
	if now.Sub(s.answeredAt) > prefetchLife {
		prefetch = initialPrefetch
	}
	prefetch = max(0, prefetch-s.tokens)
	s.requestedAt = now
	request := Request{
		Limit: limit, Needed: needed, NewPrograms: newPrograms, Prefetch: prefetch,
		AdmittedLocally: s.admittedLocally, RejectedPrograms: s.rejectedPrograms, Unused: s.unused, Term: s.term,
	}
	if s.unused > 0 {
		request.UnusedAge = now.Sub(s.unusedIssuedAt)
	}
	s.unused = 0
	return request
}

// Answered applies the holder's answer to a request.
func (s *Share) Answered(now time.Time, request Request, grant Grant) {
	s.expire(now)
	if grant.Term != s.term {
		s.tokens, s.unused = 0, 0 // issued by a former holder
	}
	if s.tokens == 0 {
		// The time of the request is before the tokens were issued. Tokens that the node already
		// holds do not get a longer lifetime from new ones.
		s.expires = s.requestedAt.Add(prefetchLife)
		s.issuedAt = s.requestedAt
	}
	s.tokens += grant.Tokens
	s.term = grant.Term
	s.remaining, s.answeredAt = grant.Remaining, now
	s.used, s.rejectedPrograms = 0, 0
	s.admittedLocally = max(0, s.admittedLocally-request.AdmittedLocally)
	s.localUntil = time.Time{}
	s.newPrograms = grant.NewPrograms
	s.pausedUntil, s.newProgramsPausedUntil = now.Add(grant.Pause), now.Add(grant.NewProgramPause)
	s.retryAfter, s.newProgramRetryAfter = grant.RetryAfter, grant.NewProgramRetryAfter
}

// AnsweredLate applies the holder's answer to a request, sent at sentAt, for which nobody waited any
// longer. Its tokens are returned unused: others may have been issued to the node since, and the programs
// that it allows are decided. If requests may wait for as long as the answer took, the node follows the holder again.
func (s *Share) AnsweredLate(now time.Time, request Request, grant Grant, sentAt time.Time) {
	s.expire(now)
	if grant.Term < s.term {
		return // of a former holder
	}
	if grant.Term > s.term {
		s.tokens, s.unused = 0, 0 // issued by a former holder
		s.term = grant.Term
	}
	if grant.Tokens > 0 {
		s.noteUnused(grant.Tokens, sentAt)
	}
	s.admittedLocally = max(0, s.admittedLocally-request.AdmittedLocally)
	if now.Sub(sentAt) <= holderTimeout {
		s.remaining, s.answeredAt = grant.Remaining, now
		s.localUntil = time.Time{}
	}
}

// followsHolder reports whether the holder has answered since the last failed request to it was sent.
func (s *Share) followsHolder() bool {
	return !s.answeredAt.IsZero() && (s.failedRequestAt.IsZero() || s.answeredAt.After(s.failedRequestAt))
}

// Unanswered records a failed request to the holder, the number of nodes, and whether this node
// reaches any other. It switches the node to local mode for localPeriod.
func (s *Share) Unanswered(now time.Time, limit Limit, nodes int, reachesPeer bool) {
	s.nodes, s.reachesPeer = max(1, nodes), reachesPeer
	s.failedRequestAt = s.requestedAt
	if s.localCountedAt.IsZero() || now.Sub(s.localCountedAt) >= s.tolerance.Window {
		s.localTokens = s.initialLocalTokens(limit)
	}
	if now.After(s.localUntil) {
		s.localCountedAt = now // until then the holder counted
	}
	s.localUntil = now.Add(localPeriod)
}

// initialLocalTokens returns how many requests the node may admit at once. A single node's even
// share is usually less than one request; then it is the probability that the node admits one.
func (s *Share) initialLocalTokens(limit Limit) float64 {
	nodeShare := localShare * s.tolerance.excess(limit) / float64(s.nodes)
	tokens := math.Floor(nodeShare)
	if s.random() < nodeShare-tokens {
		tokens++
	}
	return tokens
}

// expire drops expired tokens and notes them as unused.
func (s *Share) expire(now time.Time) {
	if s.tokens > 0 && !now.Before(s.expires) {
		s.noteUnused(s.tokens, s.issuedAt)
		s.tokens = 0
	}
}

// takeLocal decides on a request in local mode. If the other nodes are in local mode too, each
// continues at its even share of the rate. A node that reaches no other has only its share of the
// tolerance, since the others may continue at the whole rate.
func (s *Share) takeLocal(now time.Time, limit Limit) Decision {
	nodeShare := localShare * s.tolerance.excess(limit) / float64(s.nodes)
	if s.reachesPeer {
		s.localTokens += localRateShare * limit.Rate / float64(s.nodes) * now.Sub(s.localCountedAt).Seconds()
	}
	s.localTokens = min(s.localTokens, max(1, nodeShare))
	s.localCountedAt = now
	if s.localTokens < 1 {
		return s.decision(now, Refused, Local, s.localRetryTime())
	}
	s.localTokens--
	s.admittedLocally++
	return s.grant(now, Local, now)
}

// localRetryTime returns the retry time for a caller that is rejected in local mode.
func (s *Share) localRetryTime() time.Duration {
	if s.term == 0 {
		return startRetryAfter
	}
	return localRetryAfter
}

// grant returns the decision that admits a request, with the earliest time at which its token was issued.
func (s *Share) grant(now time.Time, basis Basis, issuedAt time.Time) Decision {
	granted := s.decision(now, Granted, basis, 0)
	granted.IssuedAt = issuedAt
	return granted
}

// decision returns an outcome with the data that explains it.
func (s *Share) decision(now time.Time, outcome Outcome, basis Basis, retryAfter time.Duration) Decision {
	result := Decision{Outcome: outcome, Basis: basis, RetryAfter: retryAfter, Term: s.term, Remaining: s.remaining}
	if !s.answeredAt.IsZero() {
		result.AnswerAge = now.Sub(s.answeredAt)
	}
	return result
}
