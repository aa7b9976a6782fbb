package zonefeed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Times of the wait for the first peers.
const (
	// firstPeersTimeout is how long after the service first answered it a process waits for its peers before it reads a
	// table from the service itself: it reads their addresses within 0.5 s on a slow machine of another region, and
	// discovery gives a call 1 s until its answer begins.
	firstPeersTimeout = 800 * time.Millisecond
	// firstProbeAfter is how long after its start a process finds out whether the service answers it, if it knows no peers
	// by then. Where the service answers, they are mostly known before, so that a usual start costs no call more.
	firstProbeAfter = 300 * time.Millisecond
	// probePause is the minimum time between the beginnings of two such calls of a process. It doubles with each that the
	// service throttles, as the calls of many processes are why it does, up to maxProbePause.
	probePause    = 200 * time.Millisecond
	maxProbePause = time.Second
	// unreachedVersion is higher than any version of a table, so that its changes after it are none. It is the highest
	// number that every reader of JSON can represent.
	unreachedVersion = 1<<53 - 1
)

// peersUnknown is why a table is not read yet, in errors.
const peersUnknown = "no peers are known yet, and the table service has not answered for long enough"

// firstPeers decides how long a process that starts waits for its peers. Their addresses are rows of the service, so that
// the time for it begins when the service first answers this process: counted from the start, it would be over at the end of
// an outage, and all processes would read a large table over the same link. It does no I/O and has no clock. Not safe
// for concurrent use.
type firstPeers struct {
	probeAt time.Time     // when a small call to the service may begin
	pause   time.Duration // between the beginnings of two small calls
	readAt  time.Time     // when the process reads tables from the service itself; zero until the service has answered
	failed  bool          // a small call has failed
}

// probeResult is how a small call to the service has ended.
type probeResult int

const (
	probeFailed    probeResult = iota
	probeThrottled             // for its rate: the service may throttle this process only, so that it counts as not answered
	probeAnswered
)

// newFirstPeers returns the wait of a process that starts now. Without peers to wait for, it is over.
func newFirstPeers(now time.Time, standalone bool) firstPeers {
	if standalone {
		return firstPeers{readAt: now}
	}
	return firstPeers{probeAt: now.Add(firstProbeAfter), pause: probePause}
}

// startProbe reports whether a small call is to begin now, and records that it has.
func (p *firstPeers) startProbe(now time.Time) bool {
	if !p.readAt.IsZero() || now.Before(p.probeAt) {
		return false
	}
	p.probeAt = now.Add(p.pause)
	return true
}

// nextStep returns when to go on: with a small call, or by reading tables from the service.
func (p *firstPeers) nextStep() time.Time {
	if p.readAt.IsZero() {
		return p.probeAt
	}
	return p.readAt
}

// isOver reports whether the process reads tables from the service though it knows no peers.
func (p *firstPeers) isOver(now time.Time) bool { return !p.readAt.IsZero() && !now.Before(p.readAt) }

// recordProbe records the result of a small call. It reports whether the service answered for the first time, after it had
// not answered before.
func (p *firstPeers) recordProbe(result probeResult, now time.Time) (returned bool) {
	switch {
	case result == probeThrottled:
		p.failed = true
		p.probeAt = p.probeAt.Add(min(p.pause, maxProbePause-p.pause))
		p.pause = min(2*p.pause, maxProbePause)
	case result == probeFailed:
		p.failed, p.pause = true, probePause
	case p.readAt.IsZero():
		p.readAt = now.Add(firstPeersTimeout)
		return p.failed
	}
	return false
}

// ServiceReturned returns a channel that is closed when the service first answers this process, if it did not answer at the
// process's start. It is then the time to read the addresses of the peers.
func (f *Feed) ServiceReturned() <-chan struct{} { return f.serviceReturned }

// awaitFirstPeers waits until the process knows its peers, another process uses it as the watcher, or the time for it is
// over. Processes that start together would otherwise all read a large table over the same link. It returns an error if the
// service does not answer, or if too little of the caller's time is left to read the table.
func (f *Feed) awaitFirstPeers(ctx context.Context, name string) error {
	_, following := f.updateAssignment()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.peersKnown, cancel)()
	defer context.AfterFunc(following, cancel)()
	for waited := false; waiting.Err() == nil; waited = true {
		f.mutex.Lock()
		now := time.Now()
		over, probes, next := f.firstPeers.isOver(now), f.firstPeers.startProbe(now), f.firstPeers.nextStep()
		f.mutex.Unlock()
		switch {
		case over && waited && isShortOfTime(ctx):
			return errNoTimeLeft // the next call has more
		case over:
			return nil
		case probes:
			if err := f.probeService(waiting, name); err != nil {
				return err
			}
		default:
			backoff.Wait(waiting, time.Until(next))
		}
	}
	return errors.Wrap(ctx.Err(), peersUnknown) // nil if the wait has ended for another reason
}

// isShortOfTime reports whether a caller would give up a table before it begins to arrive. Its first bytes would cross the
// link in vain.
func isShortOfTime(ctx context.Context) bool {
	deadline, hasDeadline := ctx.Deadline()
	return hasDeadline && time.Until(deadline) < minSnapshotTime
}

// probeService makes a small call to the service, and records whether it was answered. The error is nil if it was, or if the
// wait for the first peers has ended meanwhile.
func (f *Feed) probeService(waiting context.Context, name string) error {
	_, _, err := f.options.Feed.Changes(waiting, name, unreachedVersion, pollWait)
	result := probeResultOf(err)
	if result != probeAnswered && errors.Is(waiting.Err(), context.Canceled) {
		return nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.firstPeers.recordProbe(result, time.Now()) {
		close(f.serviceReturned)
	}
	if result == probeAnswered {
		return nil
	}
	f.failures.Store = reasonOf(err)
	return errors.Wrap(err, peersUnknown)
}

// probeResultOf derives the result of a small call from its error.
func probeResultOf(err error) probeResult {
	switch {
	case err == nil, errors.Is(err, tablestore.ErrHistoryTruncated), errors.Is(err, tablestore.ErrRejected):
		return probeAnswered
	case errors.Is(err, tablestore.ErrThrottled):
		return probeThrottled
	}
	return probeFailed
}
