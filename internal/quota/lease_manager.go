package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/rendezvous"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Bounds of a LeaseManager's calls.
const (
	// maxHolders is the maximum number of nodes among which shards are distributed.
	maxHolders = 64
	// readPause is the pause between two reads of the rows while a shard has no responsive holder.
	readPause = 200 * time.Millisecond
	// readRetryPause is the pause after a failed read.
	readRetryPause = time.Second
	// tableTimeout bounds one call to the table. A holder must notice that the table is
	// unavailable before its lease expires: tableTimeout, renewPeriod and requestTimeout together
	// are less than leaseDuration.
	tableTimeout = 400 * time.Millisecond
)

// LeaseObserver is notified of changes of shards. It must not block.
type LeaseObserver interface {
	// ShardTaken is called when this node becomes the holder of a shard; levels is the number of
	// accounts of which the previous holder recorded a level. ShardLost is called when it no
	// longer is the holder, ShardUnreadable when a row is invalid and is ignored.
	ShardTaken(shard int, term uint64, levels int)
	ShardLost(shard int, holder Holder)
	ShardUnreadable(shard int, err error)
}

// LeaseManager finds the holder of each shard, and makes this node the holder of free shards. Safe
// for concurrent use.
type LeaseManager struct {
	holdings *Holdings
	table    tablestore.Table
	runID    string // of this process
	address  string // at which this node answers peers; empty if it does not
	ring     *rendezvous.Selector
	observer LeaseObserver
	prober   Prober
	wake     chan struct{}
	enabled  atomic.Bool // some tenant has a limit

	stepSlot   chan struct{} // semaphore of one, held over I/O, so that one step runs at a time
	stopping   atomic.Bool   // the node is stopping and takes no shard
	nextReadAt time.Time     // earliest time of the next read; guarded by stepSlot

	peersMutex sync.Mutex
	peers      []string // addresses
}

// NewLeaseManager returns a manager of a node without an address, which holds no shard until
// SetAddress is called. runID identifies this run of the node, one process lifetime.
func NewLeaseManager(holdings *Holdings, table tablestore.Table, runID string, observer LeaseObserver) *LeaseManager {
	return &LeaseManager{
		holdings: holdings, table: table, runID: runID,
		ring: rendezvous.New(maxHolders), observer: observer, wake: make(chan struct{}, 1), stepSlot: make(chan struct{}, 1),
	}
}

// Prober checks which nodes this node reaches. *Client implements it.
type Prober interface {
	// ReachesPeer reports whether any peer responds.
	ReachesPeer() bool
	// Responds reports whether a holder responds now.
	Responds(holder Holder) bool
}

// SetProber sets the prober. It is called once, before Run.
func (k *LeaseManager) SetProber(prober Prober) { k.prober = prober }

// SetSuspected sets the check for nodes that are skipped because their zone is suspected. It is
// called once, before Run.
func (k *LeaseManager) SetSuspected(suspected func(address string) bool) {
	k.ring.SetExcluded(suspected)
}

// SetAddress sets the address at which this node answers peers. It is called once, before Run.
func (k *LeaseManager) SetAddress(address string) {
	k.address = address
	k.ring.Set([]string{address})
}

// SetPeers replaces the addresses of the other nodes.
func (k *LeaseManager) SetPeers(addresses []string) {
	k.ring.Set(append([]string{k.address}, addresses...))
	k.peersMutex.Lock()
	defer k.peersMutex.Unlock()
	k.peers = slices.Clone(addresses)
}

// SetEnabled sets whether any tenant has a limit. While none has, the manager makes no calls, and
// the leases of this node expire.
func (k *LeaseManager) SetEnabled(enabled bool) {
	if k.enabled.Swap(enabled) != enabled {
		k.Wake()
	}
}

// Wake makes Run take its next step soon, because a holder did not respond or a level is to be
// recorded.
func (k *LeaseManager) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run renews and takes shards until ctx ends.
func (k *LeaseManager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.step(ctx)
		k.pause(ctx)
	}
}

// pause waits until there may be something to do.
func (k *LeaseManager) pause(ctx context.Context) {
	timer := time.NewTimer(backoff.Jitter(renewPeriod / 2))
	defer timer.Stop()
	readNeeded, holdsAny := k.leaseNeeds()
	if !k.enabled.Load() || (!readNeeded && !holdsAny) {
		timer.Stop()
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.wake:
	}
}

// leaseNeeds reports whether any row has to be read to find its holder, and whether this node holds any shard.
func (k *LeaseManager) leaseNeeds() (readNeeded, holdsAny bool) {
	k.holdings.each(func(_ int, l *lease) {
		readNeeded = readNeeded || l.needsRead()
		holdsAny = holdsAny || l.mine
	})
	return readNeeded, holdsAny
}

// step renews the rows that are due and searches for unknown holders. A stopping node does so too, because it
// sends requests to the next holders until it ends. Two stopping nodes that instead stayed in local mode alongside
// those holders exceeded a limit.
func (k *LeaseManager) step(ctx context.Context) {
	if !k.enabled.Load() || !k.acquireStep(ctx) {
		return
	}
	defer k.releaseStep()
	k.renew(ctx)
	readNeeded, _ := k.leaseNeeds()
	if now := time.Now(); readNeeded && !now.Before(k.nextReadAt) {
		k.nextReadAt = now.Add(backoff.Jitter(readPause))
		k.readRows(ctx)
	}
}

// acquireStep waits until no other step is running. It returns false if ctx ends first.
func (k *LeaseManager) acquireStep(ctx context.Context) bool {
	select {
	case k.stepSlot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (k *LeaseManager) releaseStep() { <-k.stepSlot }

// renew writes the rows that are due.
func (k *LeaseManager) renew(ctx context.Context) {
	now := time.Now()
	var changes []change
	k.holdings.each(func(shard int, l *lease) {
		if l.due(now) {
			changes = append(changes, k.holdings.renewal(shard, l, now))
		}
	})
	k.writeUnchanged(ctx, changes)
}

// readRows reads the rows, and claims the shards that this node may take.
func (k *LeaseManager) readRows(ctx context.Context) {
	callContext, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := tablestore.ReadAll(callContext, k.table, rowTable, rowTable+"\x7f", Shards)
	if err != nil {
		k.nextReadAt = time.Now().Add(backoff.Jitter(readRetryPause))
		k.tableUnavailable(time.Now())
		return
	}
	k.observe(rows)
	if k.stopping.Load() {
		return
	}
	k.takeShards(ctx)
}

// takeShards writes this node into the rows of the shards that it may take: of all free ones by one transaction. If each had
// its own, no row would be renewed and no level recorded in the meantime, and leases would expire while the table is slow.
// A holder that did not respond is probed just before its row is written.
func (k *LeaseManager) takeShards(ctx context.Context) {
	var free []change
	for _, claim := range k.claims() {
		if claim.unresponsive.Address == "" {
			free = append(free, claim.change)
		}
	}
	k.writeUnchanged(ctx, free)
	for _, claim := range k.claims() {
		if claim.unresponsive.Address != "" && k.confirmUnresponsive(claim.unresponsive) {
			k.write(ctx, []change{claim.change})
		}
	}
}

// writeUnchanged writes rows in one transaction, without those that another node has changed.
func (k *LeaseManager) writeUnchanged(ctx context.Context, changes []change) {
	for len(changes) > 0 {
		conflicting := k.write(ctx, changes)
		if conflicting < 0 {
			return
		}
		changes = append(changes[:conflicting:conflicting], changes[conflicting+1:]...)
	}
}

// confirmUnresponsive reports whether a holder that did not respond still does not, although this
// node reaches some peer. The order of the two checks matters: with the other one, a node whose
// own connectivity returned in between would take the shard of a holder that it has not probed
// since then.
func (k *LeaseManager) confirmUnresponsive(holder Holder) bool {
	return k.prober.ReachesPeer() && !k.prober.Responds(holder)
}

// observe applies the rows of a read. Rows that are missing do not exist.
func (k *LeaseManager) observe(rows []tablestore.Row) {
	byKey := make(map[string]tablestore.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	now := time.Now()
	k.holdings.each(func(shard int, l *lease) {
		row, err := decodeRow(byKey[rowKey(shard)])
		if err != nil {
			k.observer.ShardUnreadable(shard, err)
		}
		k.applyRow(shard, l, row, now)
	})
}

// applyRow applies the current content of one row. The holdings' mutex is held.
func (k *LeaseManager) applyRow(shard int, l *lease, row Row, now time.Time) {
	wasMine := l.mine
	l.observe(row, now)
	if wasMine && !l.mine {
		k.observer.ShardLost(shard, row.Holder)
	}
	switch {
	case l.row.Address != k.address:
	case l.row.RunID != k.runID:
		l.failed(ended, now) // an earlier process of this node, which has ended
	case !l.mine && !k.stopping.Load():
		l.regain(now)
	}
}

// claim is a change by which this node takes a shard.
type claim struct {
	change
	unresponsive Holder // holder of the shard that does not respond; empty if the shard is free
}

// claims returns the changes by which this node takes the shards that it may take.
func (k *LeaseManager) claims() []claim {
	now := time.Now()
	var claims []claim
	k.holdings.each(func(shard int, l *lease) {
		if !l.claimable(k.preferred(shard, l.row.Address, now), now) {
			return
		}
		taken := claim{change: change{
			shard: shard, revision: l.row.Revision, holder: l.claim(k.address), levels: l.row.Levels.scaled(inheritedShare),
		}}
		if l.freeSince.IsZero() {
			taken.unresponsive = l.row.Holder
		}
		claims = append(claims, taken)
	})
	return claims
}

// preferred reports whether this node is the first in the shard's order, the lost holder excepted.
// All nodes leave a free shard to that node.
func (k *LeaseManager) preferred(shard int, lostHolder string, now time.Time) bool {
	for _, address := range k.ring.Candidates(rowKey(shard), now) {
		if address != lostHolder {
			return address == k.address
		}
	}
	return false
}

// SamplePeers returns the addresses of at most count peers, drawn at random.
func (k *LeaseManager) SamplePeers(count int) []string {
	k.peersMutex.Lock()
	defer k.peersMutex.Unlock()
	sample := make([]string, 0, count)
	for _, i := range rand.Perm(len(k.peers)) {
		if len(sample) == count {
			break
		}
		sample = append(sample, k.peers[i])
	}
	return sample
}

// write writes rows in one transaction, on condition that they are unchanged. If one of them has
// changed, it applies that row's current content and returns its index in changes, otherwise -1.
func (k *LeaseManager) write(ctx context.Context, changes []change) int {
	transaction, err := transactionOf(k.runID, changes)
	if err != nil {
		k.observer.ShardUnreadable(changes[0].shard, err)
		return -1
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	startedAt := time.Now()
	receipt, err := k.table.Commit(ctx, transaction)
	now := time.Now()
	var conflict *tablestore.ConflictError
	if errors.As(err, &conflict) {
		return k.applyConflict(changes, conflict, now)
	}
	if err != nil {
		k.writeFailed(changes, now)
		return -1
	}
	k.holdings.each(func(shard int, l *lease) {
		for _, committed := range changes {
			if committed.shard == shard {
				k.applyWritten(l, committed, receipt.Revisions[rowKey(shard)], startedAt, now)
			}
		}
	})
	return -1
}

// writeFailed handles a failed write of rows that shows no write of another node.
func (k *LeaseManager) writeFailed(changes []change, now time.Time) {
	k.holdings.each(func(shard int, l *lease) {
		if slices.ContainsFunc(changes, func(attempted change) bool { return attempted.shard == shard }) {
			l.writeNow = false
		}
	})
	k.tableUnavailable(now)
}

// tableUnavailable handles a call to the table without a response. It applies to all shards of this node: their rows
// are written at different moments, and a lease that expires before its own row is due would stop the counting for
// its tenants until the table is back.
func (k *LeaseManager) tableUnavailable(now time.Time) {
	if _, holdsAny := k.leaseNeeds(); !holdsAny {
		return
	}
	reachesPeer := k.prober.ReachesPeer()
	k.holdings.each(func(_ int, l *lease) { l.tableUnavailable(reachesPeer, now) })
}

// applyWritten applies a row that this node has written. The holdings' mutex is held.
func (k *LeaseManager) applyWritten(l *lease, committed change, revision uint64, startedAt, now time.Time) {
	row := Row{Holder: committed.holder, Revision: revision, Levels: committed.levels}
	if committed.holder.Address == "" {
		l.observe(row, now)
		return
	}
	if !l.mine {
		k.observer.ShardTaken(committed.shard, committed.holder.Term, len(l.row.Levels))
	}
	l.written(row, startedAt, now)
	k.holdings.levelsRecorded(committed.shard, l)
}

// applyConflict applies the current content of the row that was not as expected, and returns its index.
func (k *LeaseManager) applyConflict(changes []change, conflict *tablestore.ConflictError, now time.Time) int {
	index := min(conflict.Index, len(changes)-1)
	current, err := decodeRow(conflict.Current)
	if err != nil {
		k.observer.ShardUnreadable(changes[index].shard, err)
	}
	k.holdings.each(func(shard int, l *lease) {
		if shard == changes[index].shard {
			k.applyRow(shard, l, current, now)
		}
	})
	return index
}

// ReleaseAll releases this node's shards before a planned stop, so that other nodes take them at
// once. The node takes none afterwards.
func (k *LeaseManager) ReleaseAll(ctx context.Context) {
	k.stopping.Store(true)
	if k.address == "" || !k.acquireStep(ctx) {
		return
	}
	defer k.releaseStep()
	now := time.Now()
	var changes []change
	k.holdings.each(func(shard int, l *lease) {
		if l.mine {
			changes = append(changes, k.holdings.release(shard, l, now))
		}
	})
	k.writeUnchanged(ctx, changes)
}
