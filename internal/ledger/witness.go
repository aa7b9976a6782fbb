package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// ErrNotWitnessed reports that nobody knows how much of an allowance was used: it has no witness, or its witness has ended or has no
// report of it.
var ErrNotWitnessed = errors.New("the allowance has no witness")

// errNotCounted reports that a turn's tokens could not be made known beside the turns that began meanwhile.
var errNotCounted = errors.New("the witness confirms no report, and writes did not cover the turns in flight")

// Timeouts and limits of reports to witnesses.
const (
	// reportTimeout is how long a witness may take to confirm a report. A turn waits for it, and a peer that waits for the turn's
	// reservation expects a keep-alive within twice that time.
	reportTimeout = 40 * time.Millisecond
	// closeTimeout is how long a witness may take to close an allowance. The program cannot go on without it.
	closeTimeout = 250 * time.Millisecond
	// maxReportAge is how long after the account was read or written reports count. A witness forgets a closed allowance in the end, so that a
	// holder that stood still for as long has to read the account first.
	maxReportAge = 5 * time.Minute
	// maxCoveringWrites is how many writes are made in a row for a turn beside which others begin.
	maxCoveringWrites = 3
)

// Witnesses are nodes that count what others use of their allowances. An account names the witness of an allowance. The
// holder reports to it before it uses tokens that the account does not show as begun, and a node that needs the tokens of a holder that
// does not answer closes the allowance at the witness, which confirms no report from then on and returns what was reported.
// Safe for concurrent use.
type Witnesses interface {
	// Choose returns a witness for a program's allowance, other than the given one; ok is false if there is none.
	Choose(ctx context.Context, program string, other Witness) (witness Witness, ok bool)
	// Report returns nil once the witness has confirmed the report.
	Report(ctx context.Context, witness Witness, report UsageReport) error
	// Close makes the witness confirm no report that is based on a write of a run's allowance, or on an earlier one. It returns the
	// tokens that the run has used at most. The error is ErrNotWitnessed if the witness cannot know.
	Close(ctx context.Context, witness Witness, program, runID string, write uint64) (used int64, err error)
}

// UsageReport is how many tokens of a program a run has used at most: charged, to be charged, and in flight.
type UsageReport struct {
	Program string
	RunID   string // of the holder
	Number  uint64 // rises with each report of the run
	Write   uint64 // of the allowance on which the report is based
	Used    int64
	First   bool // the first report based on that write
}

// reportState is what the witness of this run's allowance knows. The entry's mutex guards it.
type reportState struct {
	witness     Witness // that the fields below are about
	confirmed   bool    // the witness has confirmed a report
	used        int64   // that the witness has been told at least
	sentWrite   uint64  // on which the last report was based; 0 if none was sent
	unconfirmed bool    // the last report was not confirmed
}

// SetWitnesses makes the ledger name witnesses for its allowances.
func (l *Ledger) SetWitnesses(witnesses Witnesses) { l.witnesses.Store(&witnesses) }

// chooseWitness returns the witness that the next write of the account names: that of the allowance, unless it did not
// confirm a report.
func (l *Ledger) chooseWitness(ctx context.Context, e *entry, policy aheadPolicy) Witness {
	witnesses := l.witnesses.Load()
	if witnesses == nil || !policy.reserve {
		return Witness{}
	}
	current, isConfirming := e.currentWitness(l.options.RunID)
	if isConfirming {
		return current
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	chosen, _ := (*witnesses).Choose(ctx, e.program, current)
	return chosen
}

// currentWitness returns the witness of this run's allowance, and whether it may be named again.
func (e *entry) currentWitness(runID string) (witness Witness, isConfirming bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	own := e.account.Allowances[runID]
	return own.Witness, own.Witness != Witness{} && !e.reports.failed(own.Witness, own.Write)
}

// ensureCounted returns once whoever closes the allowance would learn of the turns in flight, and reports whether that is so.
// A report is sent only if the account does not show them.
func (l *Ledger) ensureCounted(ctx context.Context, e *entry) bool {
	if isCounted, _ := e.countState(l.options); isCounted {
		return true
	}
	return l.reportUsage(ctx, e)
}

// ensureCountedAfterWrite is ensureCounted after a turn's write. Turns that begin during the write are not part of what it shows as begun, so if the
// witness does not confirm them, another write shows all. The right to write is held.
func (l *Ledger) ensureCountedAfterWrite(ctx context.Context, e *entry, request TurnRequest) error {
	for range maxCoveringWrites {
		if l.ensureCounted(ctx, e) {
			return nil
		}
		if err := l.write(ctx, e, TurnRequest{}); err != nil {
			e.release(request.MaxTokens)
			return err
		}
	}
	if l.ensureCounted(ctx, e) {
		return nil
	}
	e.release(request.MaxTokens)
	return errors.Mark(errNotCounted, tablestore.ErrUnavailable)
}

// introduceWitness sends the first report to a witness that has confirmed none, without waiting for it: a witness knows
// nothing of an allowance before.
func (l *Ledger) introduceWitness(ctx context.Context, e *entry) {
	if !e.needsIntroduction(l.options.RunID) {
		return
	}
	go l.reportUsage(context.WithoutCancel(ctx), e)
}

// needsIntroduction reports whether the witness of the allowance may know nothing of it.
func (e *entry) needsIntroduction(runID string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	own := e.account.Allowances[runID]
	return own.Witness != Witness{} && !(e.reports.witness == own.Witness && e.reports.confirmed)
}

// reportUsage sends a report to the witness, and reports whether it is confirmed. A turn that waits for another one's report may
// find itself part of it.
func (l *Ledger) reportUsage(ctx context.Context, e *entry) bool {
	witnesses := l.witnesses.Load()
	if witnesses == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	select {
	case e.reporting <- struct{}{}:
		defer func() { <-e.reporting }()
	case <-ctx.Done():
		return false
	}
	isCounted, mayReport := e.countState(l.options)
	if !mayReport {
		return isCounted
	}
	if isCounted && !e.needsIntroduction(l.options.RunID) {
		return true
	}
	witness, report, ok := e.nextReport(l.options.RunID, l.reportNumber.Add(1))
	if !ok {
		return false
	}
	// A report goes on if its turn's caller leaves: abandoned, it would cost the next turn a write.
	ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	err := (*witnesses).Report(ctx, witness, report)
	e.reportEnded(witness, report, err)
	return err == nil
}

// countState reports whether the turns in flight and the uncharged tokens are known to whoever closes the allowance, and whether a
// report to its witness makes them known otherwise. Any of the writes whose outcome is unknown may have taken
// effect. A report holds for each of them, since none changes what the run has used, but only if they name no other witness.
func (e *entry) countState(options Options) (isCounted, mayReport bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	own := e.account.Allowances[options.RunID]
	witness, isOnlyOne := e.namedWitness(own)
	switch {
	case !isOnlyOne:
		return false, false
	case witness == Witness{}:
		return true, false
	case len(e.attempts) == 0 && e.uncharged+e.inFlight <= own.Begun:
		return true, true
	case options.Now().Sub(e.readAt) > maxReportAge, e.reports.failed(witness, own.Write):
		return false, false
	}
	return e.reports.witness == witness && e.reports.used >= e.used(own), true
}

// namedWitness returns the witness that the account names for this run's allowance, or may name after a write whose outcome is
// unknown. isOnlyOne is false if it may name different ones. The mutex is held.
func (e *entry) namedWitness(own Allowance) (witness Witness, isOnlyOne bool) {
	witness = own.Witness
	for _, unresolved := range e.attempts {
		if witness == (Witness{}) {
			witness = unresolved.witness
		}
		if unresolved.witness != (Witness{}) && unresolved.witness != witness {
			return Witness{}, false
		}
	}
	return witness, true
}

// failed reports whether a witness has not confirmed a report that was based on a write. The entry's mutex is held.
func (r *reportState) failed(witness Witness, write uint64) bool {
	return r.unconfirmed && r.witness == witness && r.sentWrite == write
}

// used returns the tokens of the program that this run has used at most. The mutex is held.
func (e *entry) used(own Allowance) int64 { return own.Charged + e.uncharged + e.inFlight }

// nextReport returns the next report, and its receiver; ok is false if there is none any more. Until it is confirmed, the witness
// knows the smaller of it and of the one before.
func (e *entry) nextReport(runID string, number uint64) (witness Witness, report UsageReport, ok bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	own := e.account.Allowances[runID]
	if witness, _ = e.namedWitness(own); witness == (Witness{}) {
		return witness, report, false
	}
	if e.reports.witness != witness {
		e.reports = reportState{witness: witness}
	}
	report = UsageReport{
		Program: e.program, RunID: runID, Number: number, Write: own.Write, Used: e.used(own), First: e.reports.sentWrite != own.Write,
	}
	e.reports.sentWrite = own.Write
	e.reports.used = min(e.reports.used, report.Used)
	return witness, report, true
}

// reportEnded records whether a report was confirmed.
func (e *entry) reportEnded(witness Witness, report UsageReport, err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.reports.witness != witness {
		return
	}
	if err != nil {
		e.reports.confirmed, e.reports.unconfirmed, e.reports.used = false, true, 0
		return
	}
	e.reports.confirmed, e.reports.unconfirmed, e.reports.used = true, false, report.Used
}

// closeAllowance closes the allowance of another run. The next write of the account returns what the run has not used of it.
// The error is ErrNotWitnessed if nobody knows how much that is.
func (l *Ledger) closeAllowance(ctx context.Context, e *entry, target holder) error {
	witnesses, witness := l.witnesses.Load(), target.allowance.Witness
	if witnesses == nil || witness == (Witness{}) {
		return ErrNotWitnessed
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	used, err := (*witnesses).Close(ctx, witness, e.program, target.runID, target.allowance.Write)
	if err != nil {
		return errors.Wrapf(err, "witness %s", witness.Address)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.closed[target.runID] = Closure{Write: target.allowance.Write, Used: used}
	return nil
}

// hasOutdatedClosure reports whether an allowance was closed as of a write before its latest one.
func (e *entry) hasOutdatedClosure() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for run, closure := range e.closed {
		if e.account.Allowances[run].Write > closure.Write {
			return true
		}
	}
	return false
}
