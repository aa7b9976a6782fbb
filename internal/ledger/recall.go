package ledger

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrBudgetUnsettled reports that a turn does not fit in addition to the allowances of runs that did not
// answer a recall, and would fit without them.
var ErrBudgetUnsettled = errors.New("runs that do not respond hold allowances of the program")

// Timeouts of recalls: requests to other runs to return their unused allowances.
const (
	// recallLatency is the network time of one recall: two round trips between regions, for a new connection and
	// the request.
	recallLatency = 100 * time.Millisecond
	// recallWrites is the number of writes that a recall waits for: the holder's, and one of the same program
	// that is in flight there.
	recallWrites = 2
	// Limits of the timeout of a recall. The minimum leaves time for writes that wait for another call; beyond the
	// maximum it is better to have the caller retry, while the holder completes the return.
	minRecallTimeout = 250 * time.Millisecond
	maxRecallTimeout = time.Second
	// maxRecallRounds is how often a turn recalls allowances: once more if a run has written its allowance since it was read, and has ended.
	maxRecallRounds = 2
	// recallInterval is how long the result of a recall is reused. Repeated requests of a program
	// whose budget is spent cause no further recalls within that time.
	recallInterval = 100 * time.Millisecond
)

// recallState is the result of the last recall of a program's allowances. One turn
// recalls at a time; turns that wait for it share its result.
type recallState struct {
	lock       chan struct{} // semaphore of one, which guards the fields
	lastAt     time.Time
	unanswered map[string]error // runs that did not answer, and why
}

// holder is a run that holds an allowance.
type holder struct {
	runID     string
	allowance Allowance
}

// reserve reserves the turn's tokens from this node's allowance. If they do not fit because of
// allowances of other runs, it recalls those first: a run may hold tokens for a turn whose
// node did not wait for the response, or may have ended.
func (l *Ledger) reserve(ctx context.Context, e *entry, request TurnRequest) error {
	err := l.reserveLocally(ctx, e, request)
	for range maxRecallRounds {
		if !errors.Is(err, ErrBudgetSpent) || e.isExhausted(l.options.RunID, request) {
			return err
		}
		unanswered, tried := l.recall(ctx, e)
		if !tried {
			return err
		}
		err = l.reserveLocally(ctx, e, request)
		if errors.Is(err, ErrBudgetSpent) && e.fitsIfReturned(l.options.RunID, unanswered, request) {
			return errors.Wrapf(ErrBudgetUnsettled, "%d did not respond (%v): %v", len(unanswered), slices.Collect(maps.Values(unanswered)), err)
		}
		if !e.hasOutdatedClosure() {
			return err
		}
	}
	return err
}

// recall requests the other runs that hold allowances to return what they do not need. It
// returns those that did not answer; tried is false if there was no run to ask, or ctx ended first.
func (l *Ledger) recall(ctx context.Context, e *entry) (unanswered map[string]error, tried bool) {
	holders := e.holders(l.options.RunID)
	if len(holders) == 0 {
		return nil, false
	}
	select {
	case e.recalls.lock <- struct{}{}:
		defer func() { <-e.recalls.lock }()
	case <-ctx.Done():
		return nil, false
	}
	if l.options.Now().Sub(e.recalls.lastAt) >= recallInterval || e.hasOutdatedClosure() {
		e.recalls.unanswered = l.requestReturns(ctx, e, holders)
		e.recalls.lastAt = l.options.Now()
		e.forceRead()
	}
	return e.recalls.unanswered, true
}

// recallTimeout returns the timeout of a recall, from the current duration of writes.
func (l *Ledger) recallTimeout() time.Duration {
	return min(maxRecallTimeout, max(minRecallTimeout, recallLatency+recallWrites*l.health.writeTime()))
}

// requestReturns recalls the allowances of all holders in parallel, and closes those of holders that have ended or do not
// answer. It returns the holders that may yet return tokens.
func (l *Ledger) requestReturns(ctx context.Context, e *entry, holders []holder) map[string]error {
	var group sync.WaitGroup
	failures := make([]error, len(holders))
	for i, target := range holders {
		group.Go(func() { failures[i] = l.requestReturn(ctx, e, target) })
	}
	group.Wait()
	unanswered := make(map[string]error)
	for i, target := range holders {
		if failures[i] != nil {
			unanswered[target.runID] = failures[i]
		}
	}
	return unanswered
}

// requestReturn recalls one allowance. If its run has ended or does not answer, it closes the allowance at its witness, once. An
// allowance that no witness knows of stays spent if its run has ended, and is an error if the run may answer later.
func (l *Ledger) requestReturn(ctx context.Context, e *entry, target holder) error {
	owners := l.owners.Load()
	if owners == nil {
		return ErrNoOwner
	}
	limited, cancel := context.WithTimeout(ctx, l.recallTimeout())
	ended, err := (*owners).Recall(limited, target.allowance.Address, target.runID, e.program)
	cancel()
	if err == nil && !ended {
		return nil
	}
	if target.allowance.Closed {
		return nil
	}
	closeErr := l.closeAllowance(ctx, e, target)
	switch {
	case closeErr == nil, ended && errors.Is(closeErr, ErrNotWitnessed):
		return nil
	case ended:
		return closeErr
	}
	return errors.CombineErrors(err, closeErr)
}

// ReturnUnused returns the tokens that this run holds of a program beyond its turns in flight. It
// reports ended if the request names another run: that run has ended, since this one
// serves its address.
func (l *Ledger) ReturnUnused(ctx context.Context, program, runID string) (ended bool, err error) {
	if runID != l.options.RunID {
		return true, nil
	}
	e := l.entryOf(program)
	if err := e.lock(ctx); err != nil {
		return false, err
	}
	defer e.unlock()
	if e.holdsNothingUnused() {
		return false, nil
	}
	return false, l.write(ctx, e, TurnRequest{ReturnUnused: true})
}

// holders returns the other runs that hold an allowance and have an address for recalls.
func (e *entry) holders(ownRunID string) []holder {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var others []holder
	for run, allowance := range e.account.Allowances {
		if run != ownRunID && allowance.Tokens > 0 && allowance.Address != "" {
			others = append(others, holder{run, allowance})
		}
	}
	return others
}

// forceRead makes the next write read the account before it reports that the budget is spent.
func (e *entry) forceRead() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.readAt = time.Time{}
}

// holdsNothingUnused reports whether it is certain that the allowance covers only the tokens in flight and the
// uncharged tokens.
func (e *entry) holdsNothingUnused() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.loaded && !e.outcomeUnknown && e.held <= e.inFlight+e.uncharged
}

// fitsIfReturned reports whether the turn would fit if the given runs returned all that they hold.
func (e *entry) fitsIfReturned(ownRun string, runs map[string]error, request TurnRequest) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	committed := e.account.Spent + e.uncharged + e.inFlight
	var others int64
	for run, allowance := range e.account.Allowances {
		if run != ownRun && runs[run] == nil {
			others += allowance.Tokens
		}
	}
	return len(runs) > 0 && e.account.fits(committed+others, others, request.MaxTokens)
}
