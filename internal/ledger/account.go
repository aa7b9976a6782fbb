// Package ledger keeps the durable state of programs that are created
// implicitly by their turns: the account of a program's token budget, and the turns that later turns
// continue from. Account is pure; Ledger makes it durable by conditional writes.
//
// No node exclusively owns a program. Each node holds an allowance: tokens of the budget
// that only this node may use, counted as spent until the node charges what it used and returns the rest.
// The budget therefore holds whichever nodes die, stall or lose the store, and a turn
// that fits the allowance needs no write before it runs.
package ledger

import (
	"cmp"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrBudgetSpent reports that a turn does not fit the rest of the budget.
var ErrBudgetSpent = errors.New("the program's token budget is spent")

// maxAheadTurns is the largest number of turns that an allowance covers beyond those in flight.
const maxAheadTurns = 8

// aheadDivisor limits the tokens that an allowance reserves ahead, for later turns, to the unspent
// budget divided by this number. The program loses the allowance of a node that dies, so
// reservations shrink with the budget.
const aheadDivisor = 4

// slowDivisor replaces aheadDivisor while the table is slow: each write that a turn has to wait for costs it
// more than the risk that the node fails in that time.
const slowDivisor = 1

// Account is the durable state of one program's budget, in tokens.
//
// Invariant: Spent + the sum of all allowances <= Budget, except that a program's first
// turn may be larger than the budget. Where other runs hold allowances, which may
// belong to nodes that died, the limit is Budget + Least: the budget may be
// exceeded by the max tokens of one turn.
type Account struct {
	Budget     int64                `json:"b"`
	Spent      int64                `json:"s"`
	Least      int64                `json:"l"` // smallest MaxTokens of any turn so far
	Allowances map[string]Allowance `json:"a,omitempty"`
	// RetentionMillis is the longest retention time of any turn so far, as far as it exceeds minRetention: whichever
	// run removes the rows has to keep them for it.
	RetentionMillis int64 `json:"r,omitempty"`
	// Needs names row content, other than these fields, that a reader must understand. A build that wrote the row back
	// without understanding it would lose what another build keeps in it.
	Needs []string `json:"needs,omitempty"`
}

// Allowance is the share of the budget that one run of a node may use, beyond the tokens that it has charged.
type Allowance struct {
	Tokens int64  `json:"t"`
	Write  uint64 `json:"w"` // number of the run's last write of this account
	// Address is where the run serves its peers; empty if peers cannot reach it.
	Address string `json:"d,omitempty"`
	// Begun is the part of Tokens that turns had begun on, or were about to, at that write.
	Begun int64 `json:"b,omitempty"`
	// Charged is how much of Account.Spent this run has charged.
	Charged int64 `json:"c,omitempty"`
	// Witness knows how much the run has used beyond what the account shows. If it is the zero value, nobody
	// does, and the allowance of a run that has ended stays spent.
	Witness Witness `json:"x,omitzero"`
	// Closed reports that Tokens is what the run had used at most when it did not answer.
	Closed bool `json:"e,omitempty"`
}

// Witness names a run of a node that counts what another run uses of its allowance; see Witnesses.
type Witness struct {
	Address string `json:"d"`
	RunID   string `json:"r"`
}

// Closure is what the witness of an allowance knew when it closed it.
type Closure struct {
	Write uint64 // of the allowance
	Used  int64  // tokens that the run has used at most: charged, to be charged, and in flight
}

// Outstanding returns the sum of all allowances.
func (a Account) Outstanding() int64 {
	var sum int64
	for _, allowance := range a.Allowances {
		sum += allowance.Tokens
	}
	return sum
}

// Change is an update of an account by one run of a node.
type Change struct {
	Node           string        // run of a node
	Address        string        // where it serves its peers
	Write          uint64        // increases with each write of the run
	Settled        int64         // tokens used since the last write, to be charged
	InFlightTokens int64         // sum of the max tokens of the turns that run on the old allowance
	MaxTokens      int64         // max tokens of the turn that requests to run; 0 if none does
	ReserveAhead   bool          // whether to reserve tokens for later turns
	Retention      time.Duration // longest of the run's turns
	ShareDivisor   int64         // at most the unspent budget divided by this number is reserved ahead; 0: aheadDivisor
	Witness        Witness       // of the allowance, if tokens are reserved ahead
	// Closed holds the closed allowances of other runs. What those runs have not used of them is returned.
	Closed map[string]Closure
}

// Apply returns the account after a change. It replaces the node's old allowance by a new one that covers
// the turns in flight, the requesting turn, and some turns ahead while enough of the budget is left.
// If the requesting turn does not fit, the error is ErrBudgetSpent and the account is unchanged.
func (a Account) Apply(change Change) (Account, error) {
	next := a
	next.Allowances = maps.Clone(a.Allowances)
	if next.Allowances == nil {
		next.Allowances = make(map[string]Allowance, 1)
	}
	charged := next.Allowances[change.Node].Charged + change.Settled
	delete(next.Allowances, change.Node)
	next.Spent += change.Settled
	for run, closure := range change.Closed {
		next.returnClosed(run, closure)
	}
	if change.Retention > minRetention {
		next.RetentionMillis = max(next.RetentionMillis, change.Retention.Milliseconds())
	}
	if change.MaxTokens > 0 && (next.Least == 0 || change.MaxTokens < next.Least) {
		next.Least = change.MaxTokens
	}
	committed := next.Spent + next.Outstanding() + change.InFlightTokens
	if change.MaxTokens > 0 && !next.fits(committed, next.Outstanding(), change.MaxTokens) {
		return a, errors.Wrapf(ErrBudgetSpent, "budget %d, spent %d, allowances of %d other runs %d, in flight here %d, the turn %d",
			next.Budget, next.Spent, len(next.Allowances), next.Outstanding(), change.InFlightTokens, change.MaxTokens)
	}
	begun := change.InFlightTokens + change.MaxTokens
	allowance := Allowance{Tokens: begun, Write: change.Write, Address: change.Address, Begun: begun, Charged: charged}
	if change.ReserveAhead {
		allowance.Tokens += aheadTokens(next, committed+change.MaxTokens, cmp.Or(change.ShareDivisor, aheadDivisor))
	}
	if allowance.Tokens > begun {
		allowance.Witness = change.Witness
	}
	next.Allowances[change.Node] = allowance
	return next, nil
}

// returnClosed returns what a run has not used of a closed allowance. An allowance that the run has written since is unchanged.
func (a Account) returnClosed(run string, closure Closure) {
	allowance, found := a.Allowances[run]
	if !found || allowance.Write != closure.Write || allowance.Witness == (Witness{}) {
		return
	}
	allowance.Tokens = min(allowance.Tokens, max(allowance.Begun, closure.Used-allowance.Charged))
	allowance.Witness, allowance.Closed = Witness{}, true
	a.Allowances[run] = allowance
}

// fits reports whether a turn fits in addition to the committed tokens. others is the part of them in allowances of other
// runs, whose nodes may have died.
func (a Account) fits(committed, others, maxTokens int64) bool {
	limit := a.Budget
	if others > 0 {
		limit += a.Least
	}
	return committed == 0 || committed+maxTokens <= limit
}

// aheadTokens returns how many tokens to reserve for later turns.
func aheadTokens(a Account, committed, divisor int64) int64 {
	if a.Least <= 0 {
		return 0
	}
	unspent := a.Budget - committed
	turns := min(maxAheadTurns, unspent/divisor/a.Least)
	if turns == 0 && unspent >= a.Least {
		turns = 1
	}
	return max(0, turns) * a.Least
}

// aheadPolicy determines what a write reserves for later turns.
type aheadPolicy struct {
	reserve bool
	divisor int64 // see Change.ShareDivisor
	witness Witness
}

// aheadPolicy returns what the write for a request may currently reserve for later turns.
func (l *Ledger) aheadPolicy(request TurnRequest) aheadPolicy {
	policy := aheadPolicy{reserve: !request.ReturnUnused && !l.draining.Load(), divisor: aheadDivisor}
	if l.health.slow() && !request.normalShare {
		policy.divisor = slowDivisor
	}
	return policy
}

// exhausted reports whether the charged and uncharged tokens leave no room for a turn of a run,
// even if no other turn runs and the run returns its allowance. It stays true once it is: the number of
// used tokens only grows.
func (a Account) exhausted(runID string, uncharged, maxTokens int64) bool {
	others := a.Outstanding() - a.Allowances[runID].Tokens
	return a.Budget > 0 && !a.fits(a.Spent+uncharged, others, maxTokens)
}

// nearlySpent reports whether so little of the budget is left that allowances and
// uncharged tokens may keep another node from running a turn.
func (a Account) nearlySpent() bool {
	return a.Budget-a.Spent-a.Outstanding() < 2*a.Least
}
