package tablestore

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Settings of the commit of one group.
const (
	commitTimeout        = 8 * time.Second // below that of the HTTP client
	resolveReadTimeout   = 5 * time.Second // of one read that resolves an unknown outcome
	unavailableRetries   = 2               // after ErrUnavailable
	unavailableRetryBase = 20 * time.Millisecond
	resolveRetryBase     = 10 * time.Millisecond
	resolveRetryMax      = time.Second
	parallelReadBack     = 8
)

// group commits its members in one transaction on a lane. It runs in a
// goroutine of its own.
//
// unresolved holds the transactions that were sent and got no reply. All of
// them have a condition on the lane row at its current revision, so at most
// one of them can ever commit, and none can once the lane row has a newer
// revision. Later attempts contain a subset of the members of earlier ones.
type group struct {
	store             *GroupStore
	lane              *lane
	members           []*submission
	writeID           string
	unresolved        map[string][]*submission // members by write id
	deferredResults   []memberResult           // of dropped members; sent when no unresolved attempt can commit any more
	unavailableInARow int                      // consecutive ErrUnavailable
	resolveRetries    int                      // while resolving
	resolving         bool
}

// memberResult is the result of one member.
type memberResult struct {
	member *submission
	answer answer
}

func newGroup(store *GroupStore, lane *lane, members []*submission) *group {
	return &group{store: store, lane: lane, members: members, unresolved: make(map[string][]*submission)}
}

// run commits the group, sends the results to its members and frees the lane.
func (g *group) run() {
	g.writeID = g.store.nextWriteID()
	done := false
	for !done {
		done = g.attempt()
	}
}

// attempt sends the transaction once. It returns true when every member has
// its result or is back in the queue.
func (g *group) attempt() (done bool) {
	receipt, err := g.send()
	var conflict *ConflictError
	switch {
	case err == nil:
		g.store.recordSuccess()
		return g.completeCommitted(receipt)
	case errors.As(err, &conflict):
		g.store.recordSuccess()
		return g.handleConflict(conflict)
	case errors.Is(err, ErrThrottled):
		return g.handleThrottled()
	case errors.Is(err, ErrUnavailable):
		return g.handleUnavailable()
	case errors.Is(err, ErrRejected):
		g.store.recordSuccess()
		return g.handleRejected(err)
	default:
		return g.handleUnknown(err)
	}
}

func (g *group) send() (Receipt, error) {
	g.store.count(func(stats *StoreStats) { stats.Transactions++ })
	ctx, cancel := context.WithTimeout(g.store.baseContext, commitTimeout)
	defer cancel()
	receipt, err := g.store.table.Commit(ctx, g.transaction())
	if err != nil && ctx.Err() != nil {
		g.store.recordFailure()
	}
	return receipt, err
}

// transaction joins the members' transactions after the write of the lane
// row. Without members it only gives the lane row a new revision.
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

// completeCommitted sends the results after the latest attempt committed.
func (g *group) completeCommitted(receipt Receipt) bool {
	g.lane.revision = receipt.Revisions[g.lane.key]
	results := g.uncommittedResults(nil)
	for _, member := range g.members {
		own := Receipt{Revisions: make(map[string]uint64, len(member.transaction.Writes))}
		for _, write := range member.transaction.Writes {
			own.Revisions[write.Key] = receipt.Revisions[write.Key]
		}
		results = append(results, memberResult{member, answer{receipt: own}})
	}
	return g.finish(results)
}

// uncommittedResults returns the deferred results, without those of members
// that an earlier attempt committed after all.
func (g *group) uncommittedResults(committed []*submission) []memberResult {
	applied := make(map[*submission]bool, len(committed))
	for _, member := range committed {
		applied[member] = true
	}
	var results []memberResult
	for _, failure := range g.deferredResults {
		if !applied[failure.member] {
			results = append(results, failure)
		}
	}
	return results
}

// handleConflict drops the member whose condition failed and continues
// without it.
func (g *group) handleConflict(conflict *ConflictError) bool {
	g.unavailableInARow = 0
	if conflict.Index == 0 {
		return g.resolveByRow(conflict.Current)
	}
	failure, found := g.dropMember(conflict)
	if !found {
		return g.handleRejected(errors.Wrap(ErrRejected, "conflict on an unknown condition"))
	}
	g.deferredResults = append(g.deferredResults, failure)
	return g.continueAfterDrop()
}

// handleRejected drops all members, since the service does not accept them.
func (g *group) handleRejected(err error) bool {
	g.deferredResults = append(g.deferredResults, g.failAll(err)...)
	g.members = nil
	return g.continueAfterDrop()
}

// continueAfterDrop continues after members were dropped. While an earlier
// attempt that contains them is unresolved it could still commit them, so
// their results are deferred.
func (g *group) continueAfterDrop() (done bool) {
	g.writeID = g.store.nextWriteID()
	if len(g.unresolved) > 0 {
		return false
	}
	failures := g.deferredResults
	g.deferredResults = nil
	if len(g.members) == 0 {
		return g.finish(failures)
	}
	g.store.sendResults(failures)
	return false
}

// dropMember removes the member whose condition failed.
func (g *group) dropMember(conflict *ConflictError) (failure memberResult, found bool) {
	index := conflict.Index - 1
	for i, member := range g.members {
		conditions := len(member.transaction.Conditions)
		if index < conditions {
			g.members = slices.Concat(g.members[:i], g.members[i+1:])
			err := &ConflictError{Index: index, Current: conflict.Current}
			return memberResult{member, answer{err: err}}, true
		}
		index -= conditions
	}
	return memberResult{}, false
}

// handleThrottled puts the members back into the queue, to join larger groups.
// If an attempt is still unresolved, the group keeps its lane and tries again.
func (g *group) handleThrottled() bool {
	g.store.recordSuccess()
	wait := g.store.recordThrottled()
	if len(g.unresolved) > 0 {
		return g.resolveAfter(wait)
	}
	g.store.requeue(g)
	return true
}

// handleUnavailable retries a few times and then rejects the members.
func (g *group) handleUnavailable() bool {
	g.store.recordFailure()
	if len(g.unresolved) > 0 {
		return g.resolve()
	}
	g.unavailableInARow++
	if g.unavailableInARow <= unavailableRetries && g.store.breaker.allow() {
		if backoff.Wait(g.store.baseContext, backoff.FullJitter(unavailableRetryBase, unavailableRetryBase*4, g.unavailableInARow-1)) {
			return false
		}
	}
	return g.finish(g.failAll(ErrUnavailable))
}

// failAll returns the same error as the result of all members.
func (g *group) failAll(err error) []memberResult {
	var results []memberResult
	for _, member := range g.members {
		results = append(results, memberResult{member, answer{err: err}})
	}
	return results
}

// handleUnknown starts or continues to resolve the outcome of a lost reply.
func (g *group) handleUnknown(err error) bool {
	g.store.count(func(stats *StoreStats) { stats.Unknown++ })
	g.store.logger.Warn("table reply lost, settling", "lane", g.lane.key, "write_id", g.writeID, "error", err.Error())
	g.unresolved[g.writeID] = g.members
	if g.lane.revision == 0 {
		g.lane.keepRow = true
	}
	if !g.resolving {
		g.resolving = true
		g.store.resolutionStarted()
	}
	return g.resolve()
}

// resolve reads the lane row until the service responds, and resolves the
// outcome by that row.
func (g *group) resolve() bool {
	g.resolveRetries++
	return g.resolveAfter(backoff.FullJitter(resolveRetryBase, resolveRetryMax, g.resolveRetries-1))
}

func (g *group) resolveAfter(wait time.Duration) bool {
	for backoff.Wait(g.store.baseContext, wait) {
		row, err := g.readRow(g.lane.key)
		if err == nil {
			return g.resolveByRow(row)
		}
		g.resolveRetries++
		wait = backoff.FullJitter(resolveRetryBase, resolveRetryMax, g.resolveRetries-1)
	}
	return g.failUnknown()
}

func (g *group) readRow(key string) (Row, error) {
	ctx, cancel := context.WithTimeout(g.store.baseContext, resolveReadTimeout)
	defer cancel()
	row, err := g.store.table.Get(ctx, key)
	if err == nil {
		g.store.recordSuccess()
	} else {
		g.store.recordFailure()
	}
	return row, err
}

// resolveByRow resolves the outcome by the lane row. If its revision is
// unchanged, nothing was applied yet, and it is safe to send again, since at
// most one attempt on that revision can commit.
func (g *group) resolveByRow(row Row) bool {
	if row.Revision == g.lane.revision {
		return false
	}
	g.lane.revision = row.Revision
	if applied, ours := g.unresolved[row.WriteID]; ours {
		return g.completeEarlierAttempt(row.WriteID, applied)
	}
	if len(g.unresolved) == 0 {
		return false
	}
	g.store.logger.Error("lane row changed by another writer", "lane", g.lane.key, "write_id", row.WriteID)
	return g.failUnknown()
}

// completeEarlierAttempt sends the results when an attempt without a reply
// turned out to have committed. It reads the revisions back.
func (g *group) completeEarlierAttempt(writeID string, applied []*submission) bool {
	receipts, err := g.readBack(writeID, applied)
	if err != nil {
		return g.failUnknown()
	}
	results := g.uncommittedResults(applied)
	for i, member := range applied {
		results = append(results, memberResult{member, answer{receipt: receipts[i]}})
	}
	return g.finish(results)
}

// readBack returns the receipts of members committed under the write id.
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

// readReceipt retries its reads until it has the revision of each written row.
// It fails only if the store closes.
func (g *group) readReceipt(writeID string, transaction Transaction) (Receipt, error) {
	receipt := Receipt{Revisions: make(map[string]uint64, len(transaction.Writes))}
	for _, write := range transaction.Writes {
		if write.Delete {
			receipt.Revisions[write.Key] = 0
			continue
		}
		row, err := g.readWithRetries(write.Key)
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

func (g *group) readWithRetries(key string) (Row, error) {
	for retry := 0; ; retry++ {
		row, err := g.readRow(key)
		if err == nil {
			return row, nil
		}
		if !backoff.Wait(g.store.baseContext, backoff.FullJitter(resolveRetryBase, resolveRetryMax, retry)) {
			return Row{}, err
		}
	}
}

// failUnknown ends the group with unknown outcomes, because the store closes or
// another writer changed the lane row.
func (g *group) failUnknown() bool {
	g.lane.keepRow = true
	for _, failure := range g.deferredResults {
		g.members = append(g.members, failure.member)
	}
	return g.finish(g.failAll(ErrUnknownOutcome))
}

// finish frees the lane and sends the results.
func (g *group) finish(results []memberResult) bool {
	g.store.completeGroup(g, results)
	return true
}
