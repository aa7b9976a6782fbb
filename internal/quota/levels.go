package quota

import (
	"math"
	"time"
)

// Levels are lower bounds of the tokens in the accounts of a shard, by tenant. The shard's holder
// records them in its row and issues no tokens below them, so the next holder can continue from
// them instead of from zero. Tenants without a level may have no tokens left.
type Levels map[string]float64

// Before the level has to be recorded again, an account may issue reserveShare of its capacity or
// reserveFactor times the number of tokens issued since the last recording, whichever is more.
// Higher values would leave less to the next holder; lower ones would make a burst wait for more
// writes.
const (
	reserveShare  = 0.125
	reserveFactor = 1.5
)

// recordTimeout is how long a request for tokens waits for a level to be recorded: enough for two
// writes, and less than requestTimeout.
const recordTimeout = 60 * time.Millisecond

// inheritedShare is the fraction of an inherited level that a new holder records for a tenant
// without requests so far. The other half is for the first requests, before the row is renewed.
const inheritedShare = 0.5

// spendable returns the number of tokens that the account may issue now.
func (a *Account) spendable() float64 { return a.tokens - max(0, a.recordedLevel) }

// spend removes issued tokens.
func (a *Account) spend(tokens float64) {
	a.tokens -= tokens
	a.spentSinceRecord += tokens
}

// boundByLevel reports whether only the recorded level would make a request's grant smaller than it
// could be.
func (a *Account) boundByLevel(now time.Time, request Request) bool {
	a.adopt(request.Limit)
	a.advance(now)
	wanted := float64(request.Needed + request.NewPrograms)
	return a.recordedLevel > 0 && a.spendable() < wanted && math.Floor(a.tokens) > math.Floor(a.spendable())
}

// levelToRecord returns the level to record now. For an account with few tokens it is zero, so that
// the account may issue all of them.
func (a *Account) levelToRecord(now time.Time) float64 {
	a.advance(now)
	reserve := max(reserveShare*a.tolerance.capacity(a.limit), reserveFactor*a.spentSinceRecord)
	return max(0, math.Floor(a.tokens-reserve))
}

// recordingStarted notes that a write is in flight that may record a level. Until its outcome is
// known, the level in effect is either the previous one or this one.
func (a *Account) recordingStarted(level float64) { a.recordedLevel = max(a.recordedLevel, level) }

// recordingDone notes that level is recorded, and no other one.
func (a *Account) recordingDone(level float64) { a.recordedLevel, a.spentSinceRecord = level, 0 }

// scaled returns the levels multiplied by share and rounded down.
func (l Levels) scaled(share float64) Levels {
	scaled := make(Levels, len(l))
	for tenant, level := range l {
		if reduced := math.Floor(level * share); reduced > 0 {
			scaled[tenant] = reduced
		}
	}
	return scaled
}

// merge returns the higher level for each tenant of either map.
func (l Levels) merge(other Levels) Levels {
	merged := make(Levels, len(l)+len(other))
	for tenant, level := range l {
		merged[tenant] = level
	}
	for tenant, level := range other {
		merged[tenant] = max(merged[tenant], level)
	}
	return merged
}

// renewal returns the write by which this node keeps a shard, with the lower bounds of its
// accounts from now on. The caller holds the mutex.
func (h *Holdings) renewal(shard int, l *lease, now time.Time) change {
	levels := l.usableInherited(now).scaled(inheritedShare)
	for tenant, held := range h.accounts {
		if held.shard != shard || held.term != l.row.Term {
			continue
		}
		level := held.account.levelToRecord(now)
		held.account.recordingStarted(level)
		delete(levels, tenant)
		if level > 0 {
			levels[tenant] = level
		}
	}
	l.unconfirmed = l.unconfirmed.merge(levels)
	l.writeNow = false
	if done := h.nextWriteDone[shard]; done != nil {
		h.currentWriteDone[shard] = append(h.currentWriteDone[shard], done)
		h.nextWriteDone[shard] = nil
	}
	return change{shard: shard, revision: l.row.Revision, holder: l.row.Holder, levels: levels}
}

// release returns the write by which this node releases a shard, with the tokens of its accounts.
// The node no longer answers for the shard. The caller holds the mutex.
func (h *Holdings) release(shard int, l *lease, now time.Time) change {
	l.mine = false
	levels := l.usableInherited(now).scaled(1)
	for tenant, held := range h.accounts {
		if held.shard != shard || held.term != l.row.Term {
			continue
		}
		held.account.advance(now)
		delete(levels, tenant)
		if level := math.Floor(held.account.tokens); level > 0 {
			levels[tenant] = level
		}
	}
	return change{shard: shard, revision: l.row.Revision, holder: Holder{Term: l.row.Term}, levels: levels}
}

// levelsRecorded notes that a shard's levels are recorded as they were when the write began. Requests that started to
// wait after that wait for the next write: if this one woke them they would be refused, although the account holds
// tokens. The caller holds the mutex.
func (h *Holdings) levelsRecorded(shard int, l *lease) {
	l.unconfirmed = nil
	for tenant, held := range h.accounts {
		if held.shard == shard && held.term == l.row.Term {
			held.account.recordingDone(l.row.Levels[tenant])
		}
	}
	for _, done := range h.currentWriteDone[shard] {
		close(done)
	}
	h.currentWriteDone[shard] = nil
}

// recordingToAwait returns a channel that is closed once a tenant's level has been recorded, if a
// request would get less than it could until then; otherwise nil. It is also nil while rows cannot
// be written, as there is nothing to wait for. The caller holds the mutex.
func (h *Holdings) recordingToAwait(now time.Time, tenant string, request Request) <-chan struct{} {
	shard := ShardOf(tenant)
	l := &h.leases[shard]
	if !l.mayAnswer(now) || now.After(l.expires) {
		return nil
	}
	if !h.account(now, tenant, request.Limit, l).boundByLevel(now, request) {
		return nil
	}
	l.writeNow = true
	if h.nextWriteDone[shard] == nil {
		h.nextWriteDone[shard] = make(chan struct{})
	}
	return h.nextWriteDone[shard]
}
