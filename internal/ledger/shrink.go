package ledger

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Limits of shrinking allowances that were reserved while the table was slow.
const (
	// shrinkPause is the time between two programs, so that a node makes at most ten of these writes a second.
	shrinkPause = 100 * time.Millisecond
	// slowProbePeriod is how long no call may have been answered before a node that considers the table
	// slow tries one of these writes: a node that makes no calls would never learn otherwise that the table is fast.
	slowProbePeriod = 5 * time.Second
)

// ShrinkAllowances returns the part of allowances that was reserved while the table was slow, beyond the normal
// share, once the table is fast again. If a node dies, the tokens that it holds are lost. Programs with turns in
// flight are skipped: the records of those turns write the account. It stops at the first write that is slow.
func (l *Ledger) ShrinkAllowances(ctx context.Context) {
	now := l.options.Now()
	if l.draining.Load() || (l.health.slow() && l.health.answeredSince(now.Add(-slowProbePeriod))) {
		return
	}
	for _, e := range l.entriesWhere(func(e *entry) bool { return e.exceedsNormalShare(l.options.RunID) }) {
		if !e.tryLock() {
			continue
		}
		began := l.options.Now()
		err := l.shrink(ctx, e)
		e.unlock()
		if err != nil || l.health.isSlowWrite(l.options.Now().Sub(began)) || !backoff.Wait(ctx, shrinkPause) {
			return // allowances that could not be returned are tried again by the next call
		}
	}
}

// shrink returns the part of one program's allowance beyond the normal share. The right to write is held.
func (l *Ledger) shrink(ctx context.Context, e *entry) error {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	return l.write(ctx, e, TurnRequest{normalShare: true, deferrable: true})
}

// exceedsNormalShare reports whether the allowance was reserved, or may have been, at slowDivisor,
// no turn is in flight, and a write would make the allowance smaller. The mutex is held.
func (e *entry) exceedsNormalShare(runID string) bool {
	if !e.atSlowShare || e.inFlight > 0 || !e.loaded {
		return false
	}
	normal, err := e.account.Apply(Change{Node: runID, Settled: e.uncharged, ReserveAhead: true, ShareDivisor: aheadDivisor})
	return err == nil && normal.Allowances[runID].Tokens < e.held-e.uncharged
}
