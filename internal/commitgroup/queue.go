package commitgroup

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Bounds of one group. The service accepts at most 100 entries and 1 MB in a transaction.
const (
	maxEntries = 100
	maxBytes   = 900 << 10 // of the encoded transaction, with a margin for its frame
	// maxMemberEntries and maxMemberBytes bound a transaction that joins a group; a larger one gains
	// nothing from being grouped.
	maxMemberEntries = 40
	maxMemberBytes   = 256 << 10
	// entryBytes is the encoding overhead of an entry, on top of its key and value.
	entryBytes = 96
	// maxWaiting is the largest number of queued transactions: about ten groups.
	maxWaiting = 512
	// isolationTime is how long a part that may be down is written in groups of its own, since the service
	// rejects a whole transaction if one of its parts is down.
	isolationTime = 2 * time.Second
)

// member is a transaction that waits for a group or belongs to one.
type member struct {
	transaction tablestore.Transaction
	part        string
	entries     int
	bytes       int
	throttled   bool // rejected by the service's rate limit at least once
	queuedAt    time.Time
	deadline    time.Time      // when its caller leaves; zero if unknown
	dequeued    bool           // out of the queue
	cancelled   bool           // its caller no longer waits
	sendAlone   bool           // was in a group that the service rejected, and is sent on its own
	unconfirmed bool           // was in a group without a response, which may have applied it
	urgent      bool           // was in an overdue group, and need not wait for the send rate
	ownPartOnly bool           // was in a group of several parts that failed, and is sent with others of its part only
	failedIn    *inFlightGroup // the newest group of several parts that it was in and that failed: by then no part of it was known to fail
	answered    bool
	answers     chan answer
	wasSent     bool
	sentLate    chan struct{} // closed when it is first sent, if it was queued for longer than ackAfter
}

// recordSent records that the member is sent.
func (m *member) recordSent(now time.Time) {
	if !m.wasSent && now.Sub(m.queuedAt) > ackAfter {
		close(m.sentLate)
	}
	m.wasSent = true
}

// answer sends the result to the member's caller, once.
func (m *member) answer(outcome answer) {
	if m.answered {
		return
	}
	m.answered = true
	if m.unconfirmed {
		outcome.err = m.markUnconfirmed(outcome.err)
	}
	m.answers <- outcome
}

// markUnconfirmed returns the error for a member that was sent more than once. If the last attempt was not
// applied, an earlier one may have been: a conflict returns the current row, which may be what the transaction
// itself wrote, or what others have written since.
func (m *member) markUnconfirmed(err error) error {
	var conflict *tablestore.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return errors.Mark(err, tablestore.ErrUnknownOutcome)
	}
	return m.markThrottled(errors.Mark(errors.Newf("sent again, since the first group gave no answer: %v", err), tablestore.ErrUnknownOutcome))
}

// markThrottled marks the error for a member of unknown outcome that the service has throttled: it is up.
func (m *member) markThrottled(err error) error {
	if m.throttled {
		return errors.Mark(err, tablestore.ErrWasThrottled)
	}
	return err
}

// answer is the result of a member.
type answer struct {
	receipt tablestore.Receipt
	err     error
}

// newMember returns a member, or nil if the transaction cannot join a group: it is large, spans several parts,
// or would apply a second time if it were repeated.
func newMember(transaction tablestore.Transaction) *member {
	m := &member{
		transaction: transaction,
		entries:     len(transaction.Conditions) + len(transaction.Writes),
		answers:     make(chan answer, 1),
		sentLate:    make(chan struct{}),
	}
	if m.entries > maxMemberEntries || len(transaction.Conditions) == 0 || len(transaction.Writes) == 0 {
		return nil
	}
	m.part = partOf(transaction.Writes[0].Key)
	written := make(map[string]bool, len(transaction.Writes))
	for _, write := range transaction.Writes {
		if written[write.Key] || partOf(write.Key) != m.part {
			return nil
		}
		written[write.Key] = true
		m.bytes += entryBytes + len(write.Key) + len(write.Value)/3*4 + 4
	}
	repeatable := true
	for _, condition := range transaction.Conditions {
		if partOf(condition.Key) != m.part {
			return nil
		}
		repeatable = repeatable && !written[condition.Key]
		m.bytes += entryBytes + len(condition.Key)
	}
	if repeatable || m.bytes > maxMemberBytes {
		return nil
	}
	return m
}

// partOf returns the part of a key of the form TABLE/PART/REST.
func partOf(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	part, _, _ := strings.Cut(rest, "/")
	return part
}

// queue holds the waiting members: those that are not deferrable first, each kind in order of arrival. It is
// not safe for concurrent use.
type queue struct {
	multiPart     bool // whether one group may span several parts
	waiting       []*member
	nonDeferrable int // length of the prefix of waiting that is not deferrable
	locks         tablestore.KeyLocks
	isolatedUntil map[string]time.Time // until when parts are written in groups of their own
	unresponsive  unresponsiveParts
	failing       failingParts
}

func newQueue(multiPart bool) queue {
	return queue{multiPart: multiPart, locks: tablestore.NewKeyLocks(), isolatedUntil: make(map[string]time.Time), unresponsive: make(unresponsiveParts), failing: newFailingParts()}
}

// push adds a member after the others of its kind.
func (q *queue) push(m *member) {
	if m.transaction.Deferrable {
		q.waiting = append(q.waiting, m)
		return
	}
	q.waiting = slices.Insert(q.waiting, q.nonDeferrable, m)
	q.nonDeferrable++
}

// requeue adds members of a failed group ahead of the others of their kind.
func (q *queue) requeue(members []*member) {
	for _, m := range slices.Backward(members) {
		m.dequeued = false
		if m.transaction.Deferrable {
			q.waiting = slices.Insert(q.waiting, q.nonDeferrable, m)
			continue
		}
		q.waiting = slices.Insert(q.waiting, 0, m)
		q.nonDeferrable++
	}
}

// first returns the member with which the next group starts, or nil.
func (q *queue) first(now time.Time) *member {
	for _, m := range q.waiting {
		if q.unresponsive.mayWrite(m.part, now) && !q.locks.Collides(m.transaction) {
			return m
		}
	}
	return nil
}

// remove removes members from the queue.
func (q *queue) remove(members ...*member) {
	for _, m := range members {
		m.dequeued = true
		if !m.transaction.Deferrable {
			q.nonDeferrable--
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(m *member) bool { return m.dequeued })
}

// next removes the members of the next group and locks their keys until unlock. The keys of a group's members
// are disjoint, also from those of groups in flight; members that share a key are taken in order. Members of
// unresponsive parts stay in the queue, except for one group per part at each probe.
func (q *queue) next(now time.Time) []*member {
	part, _ := q.partToTry(now)
	return q.nextOf(part, now)
}

// nextOf is next for the members of one part; of any part if it is empty.
func (q *queue) nextOf(part string, now time.Time) []*member {
	var group []*member
	claimed := tablestore.NewKeyLocks()
	entries, bytes := 0, 0
	for _, m := range q.waiting {
		if part != "" && m.part != part {
			continue
		}
		if len(group) > 0 && (entries+m.entries > maxEntries || bytes+m.bytes > maxBytes) {
			break
		}
		if q.canJoin(group, m, now) && q.unresponsive.mayWrite(m.part, now) && !q.locks.Collides(m.transaction) && !claimed.Collides(m.transaction) {
			group = append(group, m)
			entries += m.entries
			bytes += m.bytes
		}
		claimed.Lock(m.transaction)
	}
	for _, m := range group {
		q.locks.Lock(m.transaction)
	}
	q.remove(group...)
	if len(group) > 0 && !spansParts(group) {
		q.unresponsive.recordSent(group[0].part, now)
		q.failing.recordSent(group[0].part, now)
	}
	return group
}

// nextProbe returns the earliest time at which an unresponsive part with waiting members is written to; ok is
// false if there is no such part.
func (q *queue) nextProbe() (next time.Time, ok bool) {
	return q.unresponsive.nextProbe(func(yield func(string) bool) {
		for _, m := range q.waiting {
			if !yield(m.part) {
				return
			}
		}
	})
}

// canJoin reports whether the part of a member, and the parts of a group, allow it to join the group.
func (q *queue) canJoin(group []*member, m *member, now time.Time) bool {
	if len(group) == 0 {
		return true
	}
	if m.sendAlone || group[0].sendAlone {
		return false
	}
	if group[0].part == m.part {
		return true
	}
	if q.sharesFailing(m.part, now) && q.sharesFailing(group[0].part, now) {
		return q.multiPart
	}
	if m.ownPartOnly || group[0].ownPartOnly || m.failedIn != group[0].failedIn {
		return false
	}
	return q.multiPart && !q.isIsolated(m.part, now) && !q.isIsolated(group[0].part, now)
}

// isIsolated reports whether a part is to be written in groups of its own.
func (q *queue) isIsolated(part string, now time.Time) bool {
	if q.unresponsive.isUnresponsive(part) || q.failing.isFailing(part, now) {
		return true
	}
	until, found := q.isolatedUntil[part]
	if found && now.After(until) {
		delete(q.isolatedUntil, part)
		return false
	}
	return found
}

// unlock unlocks the keys of members.
func (q *queue) unlock(group []*member) {
	for _, m := range group {
		q.locks.Unlock(m.transaction)
	}
}

// isolate isolates the parts of a failed or overdue group, since one of them may be down.
func (q *queue) isolate(group []*member, now time.Time) {
	for _, m := range group {
		delete(q.failing.parts, m.part) // if it is overdue, it does not fail at once, and must not make others wait
		q.isolatedUntil[m.part] = now.Add(isolationTime)
	}
}

// recordLost records that a part failed: its own group was lost or rejected, or one of failing parts only.
func (q *queue) recordLost(part string, now time.Time) { q.failing.recordFailed(part, now) }

// endIsolation ends the isolation of all parts.
func (q *queue) endIsolation() {
	clear(q.isolatedUntil)
	clear(q.failing.parts)
}

// endSeparation lets a part and its waiting members share groups with others again.
func (q *queue) endSeparation(part string) {
	delete(q.isolatedUntil, part)
	for _, m := range q.waiting {
		if m.part == part && m.ownPartOnly && m.failedIn.mayRejoin {
			m.ownPartOnly = false
		}
	}
}

// updateIsolation records a response from a part and ends its isolation. A part whose response was overdue stays
// isolated: it would make a group of several parts overdue.
func (q *queue) updateIsolation(part string, overdue bool, now time.Time) {
	if overdue {
		q.isolatedUntil[part] = now.Add(isolationTime)
	} else {
		delete(q.isolatedUntil, part)
	}
	q.unresponsive.recordAnswered(part)
	q.failing.recordAnswered(part)
}

// groupsAhead returns the number of full groups that are queued ahead of a new member.
func (q *queue) groupsAhead(deferrable bool) int {
	ahead := q.waiting
	if !deferrable {
		ahead = ahead[:q.nonDeferrable]
	}
	entries := 0
	for _, m := range ahead {
		entries += m.entries
	}
	return entries / maxEntries
}

// countParts returns the number of parts of a group.
func countParts(group []*member) int {
	parts := make(map[string]bool)
	for _, m := range group {
		parts[m.part] = true
	}
	return len(parts)
}

// spansParts reports whether a group spans several parts.
func spansParts(group []*member) bool {
	return slices.ContainsFunc(group, func(m *member) bool { return m.part != group[0].part })
}
