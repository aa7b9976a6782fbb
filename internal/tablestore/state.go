package tablestore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Healthy reports whether the table service responds. While it does not,
// submissions are rejected at once.
func (s *GroupStore) Healthy() bool { return s.breaker.allow() }

// RetryAfter returns how long a rejected caller should wait; 0 while healthy.
func (s *GroupStore) RetryAfter() time.Duration { return s.breaker.retryAfter(time.Now()) }

// recordSuccess records that the service responded.
func (s *GroupStore) recordSuccess() { s.breaker.success() }

// recordFailure records that the service did not respond. If this opens the
// circuit breaker, all queued submissions are rejected.
func (s *GroupStore) recordFailure() {
	if s.baseContext.Err() != nil || !s.breaker.failure(time.Now()) {
		return
	}
	s.logger.Warn("table service does not answer, refusing commits")
	s.rejectQueued()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed && !s.probing {
		s.probing = true
		s.prober.Go(s.probe)
	}
}

// probe reads until the service responds again or the store closes.
func (s *GroupStore) probe() {
	for !s.probingDone() {
		if !backoff.Wait(s.baseContext, s.breaker.retryAfter(time.Now())) {
			return
		}
		ctx, cancel := context.WithTimeout(s.baseContext, resolveReadTimeout)
		_, err := s.table.Get(ctx, "lane/"+s.instanceID)
		cancel()
		if err == nil || errors.Is(err, ErrThrottled) {
			s.breaker.success()
		} else {
			s.breaker.probeFailed(time.Now())
		}
	}
	s.logger.Info("table service answers again")
}

// probingDone reports whether the breaker is closed. If so, the next failure
// starts another prober.
func (s *GroupStore) probingDone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing = !s.breaker.allow()
	return !s.probing
}

// rejectQueued rejects all queued submissions; they were certainly not applied.
func (s *GroupStore) rejectQueued() {
	s.mu.Lock()
	waiting := s.queue.removeAll()
	s.stats.Refused += uint64(len(waiting))
	s.mu.Unlock()
	for _, submitted := range waiting {
		submitted.answers <- answer{err: submitted.rejection()}
	}
}

// recordThrottled increases the interval between groups after throttling, and
// returns how long no group starts.
func (s *GroupStore) recordThrottled() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Throttled++
	s.sendInterval = min(s.window, max(minSendInterval, 2*s.sendInterval))
	wait := backoff.FullJitter(throttleBackoffBase, throttleBackoffMax, s.throttleRetries)
	s.throttleRetries++
	s.notBefore = time.Now().Add(wait)
	return wait
}

// requeue puts the members of a throttled group back into the queue and frees
// its lane. While the store closes it rejects them.
func (s *GroupStore) requeue(g *group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var waiting []*submission
	for _, member := range g.members {
		s.locks.Unlock(member.transaction)
		member.throttled = true
		switch {
		case member.cancelled:
		case s.closed:
			member.answers <- answer{err: member.rejection()}
		default:
			waiting = append(waiting, member)
		}
	}
	s.queue.pushFront(waiting)
	s.releaseLane(g)
}

// resolutionStarted lets other groups start without waiting for a group whose
// outcome is being resolved.
func (s *GroupStore) resolutionStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.schedule()
}

// completeGroup frees the group's lane, sends the remaining results and counts
// the group.
func (s *GroupStore) completeGroup(g *group, results []memberResult) {
	s.mu.Lock()
	s.unlockAndCount(results)
	if g.resolving {
		s.stats.Settled++
	}
	s.releaseLane(g)
	s.mu.Unlock()
	for _, result := range results {
		result.member.answers <- result.answer
	}
}

// sendResults sends the results of members that the group no longer contains.
func (s *GroupStore) sendResults(results []memberResult) {
	s.mu.Lock()
	s.unlockAndCount(results)
	s.schedule()
	s.mu.Unlock()
	for _, result := range results {
		result.member.answers <- result.answer
	}
}

// unlockAndCount unlocks the keys of the members and updates the statistics.
// It needs s.mu.
func (s *GroupStore) unlockAndCount(results []memberResult) {
	committed := false
	for _, result := range results {
		s.locks.Unlock(result.member.transaction)
		if result.answer.err == nil {
			committed = true
			s.stats.Committed++
			s.stats.Rows += uint64(len(result.member.transaction.Writes))
		}
	}
	if committed {
		s.stats.Groups++
		s.throttleRetries = 0
		s.sendInterval -= s.sendInterval / 8
		if s.sendInterval < minSendInterval/2 {
			s.sendInterval = 0
		}
	}
}

// releaseLane frees the group's lane. It needs s.mu.
func (s *GroupStore) releaseLane(g *group) {
	if !g.resolving {
		s.active--
	}
	s.idleLanes = append(s.idleLanes, g.lane)
	s.schedule()
}

// Close rejects queued submissions, gives groups in flight closeTimeout to
// finish, returns ErrUnknownOutcome for the others and tries to remove the
// lane rows.
func (s *GroupStore) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	if s.wake != nil {
		s.wake.Stop()
	}
	s.mu.Unlock()
	s.rejectQueued()
	deadline := time.AfterFunc(closeTimeout, s.cancel)
	s.groups.Wait()
	deadline.Stop()
	s.cancel()
	s.prober.Wait()
	s.removeLaneRows()
}

// removeLaneRows tries once to remove the lane rows; rows that stay are harmless.
func (s *GroupStore) removeLaneRows() {
	var removal Transaction
	for _, idle := range s.idleLanes {
		if idle.keepRow || idle.revision == 0 {
			continue
		}
		removal.Conditions = append(removal.Conditions, Condition{Key: idle.key, Revision: idle.revision})
		removal.Writes = append(removal.Writes, Write{Key: idle.key, Delete: true})
	}
	if len(removal.Writes) == 0 || !s.breaker.allow() {
		return
	}
	removal.WriteID = s.nextWriteID()
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	if _, err := s.table.Commit(ctx, removal); err != nil {
		s.logger.Info("lane rows left behind", "error", err.Error())
	}
}
