package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Limits of returning allowances before a planned stop.
const (
	// maxParallelReturns is how many programs' allowances are returned in parallel. Writes to one part that wait for
	// a slow table share a call, so that more in parallel need fewer calls; the number is a quarter of the
	// transactions that may wait at a writer.
	maxParallelReturns = 4 * Parts
	// returnInterval is the time between two scans for programs whose turns have ended, so that a node makes
	// at most 640 of these writes a second.
	returnInterval = 200 * time.Millisecond
	// returnTimeout limits the writes for one program, so that an unresponsive table does not make
	// the stop as long as its grace period. A write to a slow table takes 0.3 s, and may be queued.
	returnTimeout = 2 * time.Second
)

// Drain makes the ledger reserve nothing ahead from now on, since the node is stopping, and returns what no turn
// in flight needs, until ctx ends or ReturnAllowances is called. Turns may start and end during the call; if a turn's
// own write returns its program's allowance, no extra write is needed here.
func (l *Ledger) Drain(ctx context.Context) {
	l.draining.Store(true)
	var returns errgroup.Group
	returns.SetLimit(maxParallelReturns)
	for !l.finalReturn.Load() {
		l.returnIdle(ctx, &returns)
		if !backoff.Wait(ctx, returnInterval) {
			break
		}
	}
	_ = returns.Wait() // none returns an error
}

// returnIdle starts to return the allowances of programs without turns in flight, up to the limit of parallel
// returns. It skips a program that is being written, which the next call sees again.
func (l *Ledger) returnIdle(ctx context.Context, returns *errgroup.Group) {
	for _, e := range l.entriesWhere((*entry).holdsUnusedWhileIdle) {
		if !e.tryLock() {
			continue
		}
		started := returns.TryGo(func() error {
			defer e.unlock()
			l.returnAllowance(ctx, e, true)
			return nil
		})
		if !started {
			e.unlock()
			return
		}
	}
}

// ReturnAllowances returns all unused allowances, as far as ctx allows, at the end of a planned stop.
func (l *Ledger) ReturnAllowances(ctx context.Context) {
	l.finalReturn.Store(true)
	var group sync.WaitGroup
	entries := make(chan *entry)
	for range maxParallelReturns {
		group.Go(func() {
			for e := range entries {
				l.lockAndReturn(ctx, e)
			}
		})
	}
	for _, e := range l.entriesWhere((*entry).holdsUnused) {
		entries <- e
	}
	close(entries)
	group.Wait()
}

// lockAndReturn returns one program's allowance, after a write of the program in flight has ended.
func (l *Ledger) lockAndReturn(ctx context.Context, e *entry) {
	if ctx.Err() != nil || e.lock(ctx) != nil {
		return
	}
	defer e.unlock()
	l.returnAllowance(ctx, e, false)
}

// returnAllowance charges one program's tokens and reserves none for later turns. If deferrable is set, the write
// may be sent after writes that callers wait for. The right to write is held.
func (l *Ledger) returnAllowance(ctx context.Context, e *entry, deferrable bool) {
	if e.holdsNothingUnused() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	_ = l.write(ctx, e, TurnRequest{ReturnUnused: true, deferrable: deferrable}) // an allowance that could not be returned stays charged
}

// entriesWhere returns the entries for which match is true. It calls match with the entry's mutex held.
func (l *Ledger) entriesWhere(match func(*entry) bool) []*entry {
	l.mutex.Lock()
	entries := make([]*entry, 0, len(l.entries))
	for _, e := range l.entries {
		entries = append(entries, e)
	}
	l.mutex.Unlock()
	return slices.DeleteFunc(entries, func(e *entry) bool {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		return !match(e)
	})
}

// holdsUnused reports whether this run holds more than its turns need, or may hold more, since the outcome of a
// write is unknown. The mutex is held.
func (e *entry) holdsUnused() bool {
	return e.outcomeUnknown || (e.loaded && e.held > e.inFlight+e.uncharged)
}

// holdsUnusedWhileIdle is holdsUnused for a program without turns in flight. The mutex is held.
func (e *entry) holdsUnusedWhileIdle() bool { return e.inFlight == 0 && e.holdsUnused() }

// tryLock acquires the right to write the program's rows if it is free.
func (e *entry) tryLock() bool {
	select {
	case e.commit <- struct{}{}:
		return true
	default:
		return false
	}
}
