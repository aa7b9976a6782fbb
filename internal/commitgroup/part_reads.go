package commitgroup

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// maxSeparateParts is the number of parts of a failed group up to which each of them is sent on its own, whatever reads
// show: that takes few groups, and a group that fails again would delay their writes twice.
const maxSeparateParts = 4

// readsMisleadTime is how long parts of failed groups are not read after reads did not tell the cause: a part may answer
// reads and fail writes.
const readsMisleadTime = 2 * time.Second

// partReads holds the newest read of each part that was in a failed group of several parts. A group that fails does not
// tell which of its parts is the cause; a read of each does, and takes no group. It is not safe for concurrent use.
type partReads map[string]partRead

// partRead is the newest read of a part.
type partRead struct {
	sentAt   time.Time
	answered bool
}

// isDue reports whether a part may be read again.
func (r partReads) isDue(part string, now time.Time) bool {
	return now.Sub(r[part].sentAt) >= probeInterval
}

// hasAnswered reports whether a recent read of a part was answered.
func (r partReads) hasAnswered(part string, now time.Time) bool {
	return r[part].answered && !r.isDue(part, now)
}

// separate has the members of a failed group of several parts sent again with others of their part only, until a read of
// the part is answered: those of the group then go together, unless they are of few parts. If they fail again, reads do not
// tell the cause, and none are sent for readsMisleadTime. It returns the members that were separated: none if a part of the
// group is known to fail by now, since that one is the cause. The mutex is held.
func (g *Group) separate(f *inFlightGroup, members []*member, now time.Time) (separated []*member) {
	if len(members) == 0 || g.queue.anyFailing(members, now) {
		return nil
	}
	if members[0].failedIn != nil {
		g.readsMisleadUntil = now.Add(readsMisleadTime)
	}
	mayRead := now.After(g.readsMisleadUntil)
	f.mayRejoin = mayRead && countParts(members) > maxSeparateParts
	for _, m := range members {
		m.failedIn, m.ownPartOnly = f, !f.mayRejoin || !g.reads.hasAnswered(m.part, now)
		if m.ownPartOnly {
			separated = append(separated, m)
		}
	}
	if mayRead {
		g.readParts(members, now)
	}
	return separated
}

// recordMisleadingRead records that a part failed a write although it had answered a read. The mutex is held.
func (g *Group) recordMisleadingRead(f *inFlightGroup, now time.Time) {
	if g.reads.hasAnswered(f.members[0].part, now) {
		g.readsMisleadUntil = now.Add(readsMisleadTime)
	}
}

// readResult is the result of a part's read.
type readResult struct {
	part string
	err  error
}

// readParts reads a row of each part of a failed group that was not read lately. The mutex is held.
func (g *Group) readParts(members []*member, now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), g.overdueAfter())
	results, reads := make(chan readResult, len(members)), 0
	for _, m := range members {
		if !g.reads.isDue(m.part, now) {
			continue
		}
		g.reads[m.part] = partRead{sentAt: now}
		reads++
		go func() {
			_, err := g.table.Get(ctx, m.transaction.Conditions[0].Key)
			results <- readResult{m.part, err}
		}()
	}
	go func() {
		defer cancel()
		g.recordReads(ctx, results, reads)
	}()
}

// recordReads records the results of reads as they arrive. Parts whose reads fail count as failing once another read, or a
// group, is answered: until then the whole service may be failing.
func (g *Group) recordReads(ctx context.Context, results <-chan readResult, reads int) {
	var failed []string
	anyAnswered := false
	for range reads {
		result := <-results
		switch {
		case result.err == nil:
			anyAnswered = true
			g.recordReadAnswered(result.part)
		case hasFailedAtOnce(ctx, result.err):
			failed = append(failed, result.part)
		}
		failed = g.recordReadsFailed(failed, anyAnswered)
	}
}

// hasFailedAtOnce reports whether a call failed before its time was over, other than by the node's own path to the service
// or the rate limit.
func hasFailedAtOnce(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.IsAny(err, tablestore.ErrUnavailable, tablestore.ErrUnknownOutcome) &&
		!errors.IsAny(err, tablestore.ErrUnreachable, tablestore.ErrThrottled, tablestore.ErrRejected, context.Canceled)
}

// recordReadAnswered lets the waiting members of a part join others again: its read was answered.
func (g *Group) recordReadAnswered(part string) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	read := g.reads[part]
	read.answered = true
	g.reads[part] = read
	g.queue.endSeparation(part)
	g.schedule(now)
}

// recordReadsFailed records that reads of parts failed, and returns those that it could not record yet: while nothing
// else is answered, the whole service may be failing.
func (g *Group) recordReadsFailed(parts []string, anyAnswered bool) (left []string) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !anyAnswered && !g.responds(now) {
		return parts
	}
	for _, part := range parts {
		g.queue.failing.recordFailed(part, now)
	}
	g.schedule(now)
	return nil
}
