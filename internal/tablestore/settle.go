package tablestore

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Settings of one group's commit.
const (
	commitTimeout    = 8 * time.Second // below that of the HTTP client
	settleTimeout    = 5 * time.Second // of one read that settles
	quickRetries     = 2               // after ErrUnavailable
	quickRetryBase   = 20 * time.Millisecond
	settleBase       = 10 * time.Millisecond
	settleLimit      = time.Second
	parallelReadBack = 8
)

// group commits its members in one transaction on a lane. It runs in one
// goroutine of its own.
//
// attempts are the transactions sent whose reply was lost. All carry a
// condition on the lane at its present revision, so at most one of them can
// ever apply, and none can once the lane's revision has moved on. Later
// attempts hold a part of the members of earlier ones.
type group struct {
	store       *GroupStore
	lane        *lane
	members     []*submission
	writeID     string
	attempts    map[string][]*submission // members by write id
	failures    []verdict                // answered when no attempt can apply any more
	unavailable int                      // refusals in a row
	retries     int                      // while settling
	settling    bool
}

// verdict is the answer to some members.
type verdict struct {
	member *submission
	answer answer
}

func newGroup(store *GroupStore, lane *lane, members []*submission) *group {
	return &group{store: store, lane: lane, members: members, attempts: make(map[string][]*submission)}
}

// run commits the group, answers its members and frees the lane.
func (g *group) run() {
	g.writeID = g.store.nextWriteID()
	done := false
	for !done {
		done = g.attempt()
	}
}

// attempt sends the transaction once. It returns true when every member is
// answered or back in the queue.
func (g *group) attempt() (done bool) {
	receipt, err := g.send()
	var conflict *ConflictError
	switch {
	case err == nil:
		g.store.healthy()
		return g.committed(receipt)
	case errors.As(err, &conflict):
		g.store.healthy()
		return g.conflicted(conflict)
	case errors.Is(err, ErrThrottled):
		return g.throttled()
	case errors.Is(err, ErrUnavailable):
		return g.refused()
	case errors.Is(err, ErrRejected):
		g.store.healthy()
		return g.rejected(err)
	default:
		return g.unknown(err)
	}
}

func (g *group) send() (Receipt, error) {
	g.store.count(func(stats *StoreStats) { stats.Transactions++ })
	ctx, cancel := context.WithTimeout(g.store.base, commitTimeout)
	defer cancel()
	receipt, err := g.store.table.Commit(ctx, g.transaction())
	if err != nil && ctx.Err() != nil {
		g.store.failed()
	}
	return receipt, err
}

// transaction joins the members' transactions after the lane's own row. With
// no members left it only moves the lane on.
func (g *group) transaction() Transaction {
	joined := Transaction{
		WriteID:    g.writeID,
		Conditions: []Condition{{Key: g.lane.key, Revision: g.lane.revision}},
		Writes:     []Write{{Key: g.lane.key}},
	}
	for _, member := range g.members {
		joined.Conditions = append(joined.Conditions, member.transaction.Conditions...)
		joined.Writes = append(joined.Writes, member.transaction.Writes...)
	}
	return joined
}

// committed answers after the latest attempt took effect.
func (g *group) committed(receipt Receipt) bool {
	g.lane.revision = receipt.Revisions[g.lane.key]
	verdicts := g.remainingFailures(nil)
	for _, member := range g.members {
		own := Receipt{Revisions: make(map[string]uint64, len(member.transaction.Writes))}
		for _, write := range member.transaction.Writes {
			own.Revisions[write.Key] = receipt.Revisions[write.Key]
		}
		verdicts = append(verdicts, verdict{member, answer{receipt: own}})
	}
	return g.finish(verdicts)
}

// remainingFailures are the failures of members that were not committed by an
// earlier attempt after all.
func (g *group) remainingFailures(committed []*submission) []verdict {
	applied := make(map[*submission]bool, len(committed))
	for _, member := range committed {
		applied[member] = true
	}
	var verdicts []verdict
	for _, failure := range g.failures {
		if !applied[failure.member] {
			verdicts = append(verdicts, failure)
		}
	}
	return verdicts
}

// conflicted drops the member whose condition failed and goes on without it.
func (g *group) conflicted(conflict *ConflictError) bool {
	g.unavailable = 0
	if conflict.Index == 0 {
		return g.judge(conflict.Current)
	}
	failure, found := g.dropMember(conflict)
	if !found {
		return g.rejected(errors.Wrap(ErrRejected, "conflict on an unknown condition"))
	}
	g.failures = append(g.failures, failure)
	return g.goOnWithout()
}

// rejected drops all members: the service will not take them.
func (g *group) rejected(err error) bool {
	g.failures = append(g.failures, g.failAll(err)...)
	g.members = nil
	return g.goOnWithout()
}

// goOnWithout goes on after members were dropped. While an attempt that holds
// them is open it could still commit them, so they are answered only later.
func (g *group) goOnWithout() (done bool) {
	g.writeID = g.store.nextWriteID()
	if len(g.attempts) > 0 {
		return false
	}
	failures := g.failures
	g.failures = nil
	if len(g.members) == 0 {
		return g.finish(failures)
	}
	g.store.answer(failures)
	return false
}

// dropMember takes the member out that the conflict is about.
func (g *group) dropMember(conflict *ConflictError) (failure verdict, found bool) {
	index := conflict.Index - 1
	for i, member := range g.members {
		conditions := len(member.transaction.Conditions)
		if index < conditions {
			g.members = slices.Concat(g.members[:i], g.members[i+1:])
			err := &ConflictError{Index: index, Current: conflict.Current}
			return verdict{member, answer{err: err}}, true
		}
		index -= conditions
	}
	return verdict{}, false
}

// throttled puts the members back into the queue, to join larger groups. If
// an attempt is still open, the group stays and tries again.
func (g *group) throttled() bool {
	g.store.healthy()
	wait := g.store.pushedBack()
	if len(g.attempts) > 0 {
		return g.settleAfter(wait)
	}
	g.store.requeue(g)
	return true
}

// refused retries a few times and then refuses the members.
func (g *group) refused() bool {
	g.store.failed()
	if len(g.attempts) > 0 {
		return g.settle()
	}
	g.unavailable++
	if g.unavailable <= quickRetries && g.store.breaker.allow() {
		if backoff.Wait(g.store.base, backoff.FullJitter(quickRetryBase, quickRetryBase*4, g.unavailable-1)) {
			return false
		}
	}
	return g.finish(g.failAll(ErrUnavailable))
}

// failAll gives all members the same error.
func (g *group) failAll(err error) []verdict {
	var verdicts []verdict
	for _, member := range g.members {
		verdicts = append(verdicts, verdict{member, answer{err: err}})
	}
	return verdicts
}

// unknown starts or goes on with the settlement of a lost reply.
func (g *group) unknown(err error) bool {
	g.store.count(func(stats *StoreStats) { stats.Unknown++ })
	g.store.logger.Warn("table reply lost, settling", "lane", g.lane.key, "write_id", g.writeID, "error", err.Error())
	g.attempts[g.writeID] = g.members
	if g.lane.revision == 0 {
		g.lane.keepRow = true
	}
	if !g.settling {
		g.settling = true
		g.store.settlementStarted()
	}
	return g.settle()
}

// settle reads the lane's row, until it gets an answer, and judges by it.
func (g *group) settle() bool {
	g.retries++
	return g.settleAfter(backoff.FullJitter(settleBase, settleLimit, g.retries-1))
}

func (g *group) settleAfter(wait time.Duration) bool {
	for backoff.Wait(g.store.base, wait) {
		row, err := g.readRow(g.lane.key)
		if err == nil {
			return g.judge(row)
		}
		g.retries++
		wait = backoff.FullJitter(settleBase, settleLimit, g.retries-1)
	}
	return g.giveUp()
}

func (g *group) readRow(key string) (Row, error) {
	ctx, cancel := context.WithTimeout(g.store.base, settleTimeout)
	defer cancel()
	row, err := g.store.table.Get(ctx, key)
	if err == nil {
		g.store.healthy()
	} else {
		g.store.failed()
	}
	return row, err
}

// judge decides by the lane's row. Unmoved: nothing was applied yet, and
// sending again is safe, as the lane lets one attempt through at most.
func (g *group) judge(row Row) bool {
	if row.Revision == g.lane.revision {
		return false
	}
	g.lane.revision = row.Revision
	if applied, ours := g.attempts[row.WriteID]; ours {
		return g.committedEarlier(row.WriteID, applied)
	}
	if len(g.attempts) == 0 {
		return false
	}
	g.store.logger.Error("lane row changed by another writer", "lane", g.lane.key, "write_id", row.WriteID)
	return g.giveUp()
}

// committedEarlier answers when an attempt with a lost reply turned out to
// have taken effect. The revisions are read back.
func (g *group) committedEarlier(writeID string, applied []*submission) bool {
	receipts, err := g.readBack(writeID, applied)
	if err != nil {
		return g.giveUp()
	}
	verdicts := g.remainingFailures(applied)
	for i, member := range applied {
		verdicts = append(verdicts, verdict{member, answer{receipt: receipts[i]}})
	}
	return g.finish(verdicts)
}

// readBack makes the receipts of members committed under the write id.
func (g *group) readBack(writeID string, members []*submission) ([]Receipt, error) {
	receipts := make([]Receipt, len(members))
	var reads errgroup.Group
	reads.SetLimit(parallelReadBack)
	for i, member := range members {
		reads.Go(func() (err error) {
			receipts[i], err = g.readReceipt(writeID, member.transaction)
			return err
		})
	}
	return receipts, reads.Wait()
}

// readReceipt reads until it has the revision of each written row. It fails
// only if the store closes.
func (g *group) readReceipt(writeID string, transaction Transaction) (Receipt, error) {
	receipt := Receipt{Revisions: make(map[string]uint64, len(transaction.Writes))}
	for _, write := range transaction.Writes {
		if write.Delete {
			receipt.Revisions[write.Key] = 0
			continue
		}
		row, err := g.readUntilAnswered(write.Key)
		if err != nil {
			return Receipt{}, err
		}
		receipt.Revisions[write.Key] = RevisionOverwritten
		if row.WriteID == writeID {
			receipt.Revisions[write.Key] = row.Revision
		}
	}
	return receipt, nil
}

func (g *group) readUntilAnswered(key string) (Row, error) {
	for retry := 0; ; retry++ {
		row, err := g.readRow(key)
		if err == nil {
			return row, nil
		}
		if !backoff.Wait(g.store.base, backoff.FullJitter(settleBase, settleLimit, retry)) {
			return Row{}, err
		}
	}
}

// giveUp leaves the outcome unknown, because the store closes or the lane's
// row was changed by another writer.
func (g *group) giveUp() bool {
	g.lane.keepRow = true
	for _, failure := range g.failures {
		g.members = append(g.members, failure.member)
	}
	return g.finish(g.failAll(ErrUnknownOutcome))
}

// finish frees the lane and answers.
func (g *group) finish(verdicts []verdict) bool {
	g.store.finished(g, verdicts)
	return true
}
