package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of shards over which tenants are spread. It is the same on every node and
// in every build. A shard that loses its holder stops counting for its tenants until the next
// holder is found, and the load of a holder is the requests of its shards.
const Shards = 16

// Times of a lease. An unresponsive holder is replaced within takeOverAfter and one read of the rows.
const (
	// leaseDuration is how long a holder may answer after it wrote its row.
	leaseDuration = time.Second
	// renewPeriod is how often a holder writes its row.
	renewPeriod = 250 * time.Millisecond
	// takeOverAfter is how long the row of an unresponsive holder must be unchanged before another
	// node takes the shard over. It exceeds leaseDuration by a margin for differences in clock
	// speed and for the time until a write is acknowledged.
	takeOverAfter = 1200 * time.Millisecond
	// yieldPause is how long nodes leave a free shard to its preferred node, so that they do not
	// all write at once.
	yieldPause = 100 * time.Millisecond
	// lostHolderRetry is the time after which an unresponsive holder is queried again, whatever its
	// row states: the table may be unavailable, and the requests that this node admitted locally
	// have to be counted.
	lostHolderRetry = 400 * time.Millisecond
	// nextHolderWait is how long requests wait for the next holder of a free shard. After a
	// restart of all nodes, 0.2 to 0.3 s passed until each shard had a holder.
	nextHolderWait = 400 * time.Millisecond
	// nextHolderPoll is the interval at which a waiting request checks for the next holder.
	nextHolderPoll = 20 * time.Millisecond
)

// ShardOf returns a tenant's shard.
func ShardOf(tenant string) int { return int(xxhash.Sum64String(tenant) % Shards) }

// Holder identifies the holder of a shard as its row names it.
type Holder struct {
	Address string // at which it answers peers; empty if it released the shard
	RunID   string // of the node's process; each start has another one
	Term    uint64 // increases with each new holder
}

// firstTerm is the term of the first holder that a shard ever has.
const firstTerm = 1

// Row is a shard's row as it was read or written.
type Row struct {
	Holder
	Revision uint64 // 0: there is no row
	Levels   Levels // recorded by its holder
}

// loss states how a holder failed to respond.
type loss int

const (
	notLost      loss = iota
	unresponsive      // it may be isolated or paused, and may continue later
	ended             // it answered that it does not hold the shard, or its process has ended
)

// lease is the state of one shard as one node knows it. It does no I/O and has no clock. Not safe
// for concurrent use.
//
// Two nodes answer for a shard at the same time only if its holder does not reach the table, and
// some node that does reach the table no longer reaches the holder: see mayAnswer.
type lease struct {
	runID          string // of this node
	row            Row
	unchangedSince time.Time // since when the row is unchanged, as far as this node has read it
	read           bool      // the row has been read
	lost           loss      // of the row's holder
	lostAt         time.Time
	queriedAt      time.Time // when the holder was last queried
	freeSince      time.Time // since when the shard is known to have no holder; zero if it has one
	missingSince   time.Time // first failed search for a holder since one last answered; zero if there was none

	mine        bool      // this node holds the shard
	expires     time.Time // end of the lease, set by the last write of the row
	claimedAt   time.Time
	answerUntil time.Time // until when this node may answer, even if the row could not be renewed

	inherited   Levels // recorded by the previous holder
	unconfirmed Levels // possibly recorded by writes whose outcome is unknown
	writeNow    bool   // the row is to be written at once, to record levels
}

// observe applies the row as it was read. A row older than the known one is a stale read and is
// ignored. A row that its holder has written since it was lost shows that the holder runs.
func (l *lease) observe(row Row, now time.Time) {
	if l.read && row.Revision < l.row.Revision {
		return
	}
	if !l.read || row.Revision != l.row.Revision {
		if row.Holder != l.row.Holder || !l.unchangedSince.Before(l.lostAt) {
			l.lost, l.freeSince = notLost, time.Time{}
		}
		if row.Holder != l.row.Holder && row.Address != "" && now.Sub(l.missingSince) >= nextHolderWait {
			l.missingSince = time.Time{} // no request waits for this change of holder any more
		}
		l.row, l.unchangedSince, l.read = row, now, true
	}
	if row.RunID != l.runID || row.Address == "" {
		l.mine = false
	}
	if row.Address == "" && l.freeSince.IsZero() {
		l.freeSince = now
	}
}

// failed records that the row's holder did not answer. It reports whether it was not lost before.
func (l *lease) failed(kind loss, now time.Time) bool {
	l.queriedAt = now
	if kind <= l.lost {
		return false
	}
	if kind == ended && l.freeSince.IsZero() {
		l.freeSince = now
	}
	first := l.lost == notLost
	if first {
		l.lostAt = now
	}
	l.lost = kind
	return first
}

// answered records that the row's holder answered a request that was sent at sentAt. A late answer to a request that was
// sent before the holder was found to have ended does not show that it runs.
func (l *lease) answered(sentAt time.Time) {
	if l.lost == ended && sentAt.Before(l.freeSince) {
		return
	}
	l.holderFound()
}

// holderFound records that the row's holder is not lost.
func (l *lease) holderFound() {
	l.lost, l.freeSince, l.missingSince = notLost, time.Time{}, time.Time{}
}

// nextHolderExpected reports whether the next holder will be known soon, after a query found none.
// The successor of an unresponsive holder comes too late to wait for it.
func (l *lease) nextHolderExpected(now time.Time) bool {
	if l.lost == unresponsive {
		return false
	}
	if l.missingSince.IsZero() {
		l.missingSince = now
	}
	return now.Sub(l.missingSince) < nextHolderWait
}

// queryNow reports whether the row's holder is to be queried now, and records the query.
func (l *lease) queryNow(now time.Time) bool {
	switch {
	case !l.read || l.row.Address == "" || l.lost == ended:
		return false
	case l.lost == unresponsive && now.Sub(l.queriedAt) < lostHolderRetry:
		return false
	}
	l.queriedAt = now
	return true
}

// needsRead reports whether the row is to be read, because its holder is unknown or lost.
func (l *lease) needsRead() bool {
	return !l.mine && (!l.read || l.row.Address == "" || l.lost != notLost)
}

// claimable reports whether this node may write itself into the row as the holder. preferred means
// that all nodes leave the shard to this node if it is free.
func (l *lease) claimable(preferred bool, now time.Time) bool {
	switch {
	case !l.read || l.mine:
		return false
	case !l.freeSince.IsZero():
		return preferred || now.Sub(l.freeSince) >= yieldPause
	}
	unchangedFor := now.Sub(l.unchangedSince)
	return l.lost == unresponsive && (unchangedFor >= takeOverAfter+yieldPause || (preferred && unchangedFor >= takeOverAfter))
}

// usableInherited returns the levels that this node took over, or nil once every account is full
// again anyway.
func (l *lease) usableInherited(now time.Time) Levels {
	if now.Sub(l.claimedAt) >= accountRetention {
		return nil
	}
	return l.inherited
}

// claim returns the holder that this node writes into the row to take the shard.
func (l *lease) claim(address string) Holder {
	return Holder{Address: address, RunID: l.runID, Term: l.row.Term + 1}
}

// written records that this node has written the row, by a call that began at startedAt.
func (l *lease) written(row Row, startedAt, now time.Time) {
	if !l.mine || row.Term != l.row.Term {
		l.claimedAt, l.inherited = now, l.row.Levels
		if row.Term == firstTerm {
			l.claimedAt = time.Time{} // there was no holder before
		}
	}
	l.row, l.unchangedSince, l.read, l.mine = row, now, true, true
	l.holderFound()
	l.expires = startedAt.Add(leaseDuration)
	l.answerUntil = l.expires
}

// regain records that the row names this node, which did not know that its write had succeeded.
// The node must write the row again before it answers.
func (l *lease) regain(now time.Time) {
	l.mine, l.claimedAt, l.inherited = true, now, l.row.Levels
	l.expires = now.Add(-leaseDuration)
	l.answerUntil = l.expires
}

// tableUnavailable records that the table did not respond to this node, and that there is no sign of a write of
// another node to the row. reachesPeer is set if this node reaches peers.
func (l *lease) tableUnavailable(reachesPeer bool, now time.Time) {
	if l.mine && reachesPeer && now.Before(l.answerUntil) {
		l.answerUntil = now.Add(leaseDuration)
	}
}

// mayAnswer reports whether this node may answer for the shard. If the table has been failing repeatedly since before
// the lease expired, a holder continues as long as it reaches peers: a node that does not reach the table cannot take
// the shard, and a node that does reach it queries this holder as long as it answers. A holder that was isolated, or
// whose own process was paused, must write its row first.
func (l *lease) mayAnswer(now time.Time) bool { return l.mine && now.Before(l.answerUntil) }

// due reports whether the row is to be written again, because renewPeriod has passed or a level is
// to be recorded.
func (l *lease) due(now time.Time) bool {
	return l.mine && (l.writeNow || now.Sub(l.expires.Add(-leaseDuration)) >= renewPeriod)
}
