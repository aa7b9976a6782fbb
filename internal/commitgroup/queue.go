package commitgroup

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Bounds of one group. The service takes 100 entries and 1 MB of a transaction.
const (
	maxEntries = 100
	maxBytes   = 900 << 10 // of the encoded transaction, with a margin for its frame
	// maxMemberEntries and maxMemberBytes are those of a transaction that joins a group;
	// a larger one gains nothing from company.
	maxMemberEntries = 40
	maxMemberBytes   = 256 << 10
	// entryBytes is what the encoding of an entry adds to its key and value.
	entryBytes = 96
	// maxWaiting is how many transactions wait at most: what ten groups hold.
	maxWaiting = 512
	// aloneFor is for how long a part that may be down is written on its own, since the
	// service refuses a whole transaction if one of its parts is.
	aloneFor = 2 * time.Second
)

// member is a transaction that waits for a group, or is in one.
type member struct {
	transaction tablestore.Transaction
	part        string
	entries     int
	bytes       int
	throttled   bool // refused for the service's rate at least once
	queuedAt    time.Time
	taken       bool // out of the queue
	left        bool // its caller no longer waits
	solo        bool // was in a group that the service rejected, and goes on its own
	inDoubt     bool // was in a group that gave no answer, and may be applied by it
	answered    bool
	answers     chan answer
}

// answer tells the member's caller the outcome, once.
func (m *member) answer(outcome answer) {
	if m.answered {
		return
	}
	m.answered = true
	if m.inDoubt {
		outcome.err = inDoubt(outcome.err)
	}
	m.answers <- outcome
}

// inDoubt is the error of a transaction that was sent more than once. That the last time it was
// not applied does not say that it was not before: a conflict tells the row as it is now, which
// may be what the transaction made of it, or what others have made of that.
func inDoubt(err error) error {
	var conflict *tablestore.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return errors.Mark(err, tablestore.ErrUnknownOutcome)
	}
	return errors.Mark(errors.Newf("sent again, since the first group gave no answer: %v", err), tablestore.ErrUnknownOutcome)
}

// answer is what a member comes to.
type answer struct {
	receipt tablestore.Receipt
	err     error
}

// newMember returns a member, or nil if the transaction has to go on its own: it is large,
// of several parts, or would apply a second time.
func newMember(transaction tablestore.Transaction) *member {
	m := &member{
		transaction: transaction,
		entries:     len(transaction.Conditions) + len(transaction.Writes),
		answers:     make(chan answer, 1),
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
	repeats := true
	for _, condition := range transaction.Conditions {
		if partOf(condition.Key) != m.part {
			return nil
		}
		repeats = repeats && !written[condition.Key]
		m.bytes += entryBytes + len(condition.Key)
	}
	if repeats || m.bytes > maxMemberBytes {
		return nil
	}
	return m
}

// partOf returns the part of a key TABLE/PART/REST.
func partOf(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	part, _, _ := strings.Cut(rest, "/")
	return part
}

// queue holds the members that wait, those that are not deferrable first, each kind in the
// order of arrival. Not safe for concurrent use.
type queue struct {
	across  bool // whether one group may be of several parts
	waiting []*member
	prompt  int // of these, the first so many are not deferrable
	held    tablestore.KeyLocks
	alone   map[string]time.Time // until when parts are written on their own
	silent  silences
}

func newQueue(across bool) queue {
	return queue{across: across, held: tablestore.NewKeyLocks(), alone: make(map[string]time.Time), silent: make(silences)}
}

// push adds a member behind those of its kind.
func (q *queue) push(m *member) {
	if m.transaction.Deferrable {
		q.waiting = append(q.waiting, m)
		return
	}
	q.waiting = slices.Insert(q.waiting, q.prompt, m)
	q.prompt++
}

// putBack adds members of a group that was refused ahead of those of their kind.
func (q *queue) putBack(members []*member) {
	for _, m := range slices.Backward(members) {
		m.taken = false
		if m.transaction.Deferrable {
			q.waiting = slices.Insert(q.waiting, q.prompt, m)
			continue
		}
		q.waiting = slices.Insert(q.waiting, 0, m)
		q.prompt++
	}
}

// beginsInDoubt reports whether the next group begins with a member that was sent before.
func (q *queue) beginsInDoubt(now time.Time) bool {
	for _, m := range q.waiting {
		if q.silent.mayWrite(m.part, now) && !q.held.Collides(m.transaction) {
			return m.inDoubt
		}
	}
	return false
}

// remove takes members out.
func (q *queue) remove(members ...*member) {
	for _, m := range members {
		m.taken = true
		if !m.transaction.Deferrable {
			q.prompt--
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(m *member) bool { return m.taken })
}

// next takes out the members of the next group and locks their keys until release. The
// keys of a group's members are disjoint, and disjoint from those of groups under way;
// members that share a key are taken in order. Those of silent parts stay, but for one group
// of each at times.
func (q *queue) next(now time.Time) []*member { return q.nextOf("", now) }

// nextOf is next for the members of one part; of any if it is empty.
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
		if q.joins(group, m, now) && q.silent.mayWrite(m.part, now) && !q.held.Collides(m.transaction) && !claimed.Collides(m.transaction) {
			group = append(group, m)
			entries += m.entries
			bytes += m.bytes
		}
		claimed.Lock(m.transaction)
	}
	for _, m := range group {
		q.held.Lock(m.transaction)
	}
	q.remove(group...)
	if len(group) > 0 && !spans(group) {
		q.silent.wrote(group[0].part, now)
	}
	return group
}

// nextProbe returns when the first of the silent parts for which members wait is written to; ok is
// false if there is none.
func (q *queue) nextProbe() (next time.Time, ok bool) {
	return q.silent.nextProbe(func(yield func(string) bool) {
		for _, m := range q.waiting {
			if !yield(m.part) {
				return
			}
		}
	})
}

// joins reports whether a member may be in one group with others, as to its part.
func (q *queue) joins(group []*member, m *member, now time.Time) bool {
	if len(group) == 0 {
		return true
	}
	if m.solo || group[0].solo {
		return false
	}
	if group[0].part == m.part {
		return true
	}
	return q.across && !q.isAlone(m.part, now) && !q.isAlone(group[0].part, now)
}

// isAlone reports whether a part is to be written on its own.
func (q *queue) isAlone(part string, now time.Time) bool {
	if q.silent.holds(part) {
		return true
	}
	until, found := q.alone[part]
	if found && now.After(until) {
		delete(q.alone, part)
		return false
	}
	return found
}

// release gives the keys of a group back.
func (q *queue) release(group []*member) {
	for _, m := range group {
		q.held.Unlock(m.transaction)
	}
}

// setApart sets a refused group's parts apart, since one of them may be down.
func (q *queue) setApart(group []*member, now time.Time) {
	for _, m := range group {
		q.alone[m.part] = now.Add(aloneFor)
	}
}

// rejoin notes that a part was answered. One whose answer was late stays on its own: a group of
// several parts would be late with it.
func (q *queue) rejoin(part string, late bool, now time.Time) {
	if late {
		q.alone[part] = now.Add(aloneFor)
	} else {
		delete(q.alone, part)
	}
	q.silent.answered(part)
}

// groups returns how many groups those ahead of a new member make up.
func (q *queue) groups(deferrable bool) int {
	ahead := q.waiting
	if !deferrable {
		ahead = ahead[:q.prompt]
	}
	entries := 0
	for _, m := range ahead {
		entries += m.entries
	}
	return entries / maxEntries
}

// spans reports whether a group is of several parts.
func spans(group []*member) bool {
	return slices.ContainsFunc(group, func(m *member) bool { return m.part != group[0].part })
}
