package quota

import (
	"sync"
	"time"
)

// accountRetention is how long an account is kept without requests. It is full again by then.
const accountRetention = 60 * time.Second

// unlimitedLease exceeds the lifetime of any process.
const unlimitedLease = 100 * 365 * 24 * time.Hour

// Holdings are the leases of all shards as this node knows them, and the accounts of the shards
// that it holds. Safe for concurrent use.
type Holdings struct {
	tolerance Tolerance

	mutex    sync.Mutex
	leases   [Shards]lease
	accounts map[string]*heldAccount // by tenant
	// nextWriteDone is closed once the next write of a shard's row has recorded its levels; nil if
	// nobody waits for it. currentWriteDone is the same for writes that have already begun.
	nextWriteDone    [Shards]chan struct{}
	currentWriteDone [Shards][]chan struct{}
	cleanedAt        time.Time
}

// heldAccount is an account with the term in which it was created.
type heldAccount struct {
	account     *Account
	shard       int
	term        uint64
	requestedAt time.Time
}

// NewHoldings returns holdings without any shard. runID identifies this run of the node, one process lifetime.
func NewHoldings(tolerance Tolerance, runID string) *Holdings {
	h := &Holdings{tolerance: tolerance, accounts: make(map[string]*heldAccount)}
	for shard := range h.leases {
		h.leases[shard].runID = runID
	}
	return h
}

// HoldAll makes this node the permanent holder of every shard, since it has no peers.
func (h *Holdings) HoldAll(now time.Time) {
	h.each(func(_ int, l *lease) {
		l.written(Row{Holder: Holder{Address: "self", RunID: l.runID, Term: firstTerm + 1}}, now, now)
		l.expires = now.Add(unlimitedLease)
		l.answerUntil = l.expires
	})
}

// Grant answers a node's request for a tenant's tokens. It returns false if this node may not
// answer for the tenant's shard.
func (h *Holdings) Grant(now time.Time, tenant string, request Request) (Grant, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.grantLocked(now, tenant, request)
}

// grantUnlessBound answers as Grant does, unless the recorded level would reduce the grant: then it leaves the account
// unchanged and returns a channel that is closed once a new level has been recorded. Check and answer are one step:
// when they were separate, simultaneous requests that had all passed the check took each other's tokens, and the last
// one was refused.
func (h *Holdings) grantUnlessBound(now time.Time, tenant string, request Request) (grant Grant, held bool, recorded <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if recorded = h.recordingToAwait(now, tenant, request); recorded != nil {
		return Grant{}, false, recorded
	}
	grant, held = h.grantLocked(now, tenant, request)
	return grant, held, nil
}

// grantLocked is Grant for callers that hold the mutex.
func (h *Holdings) grantLocked(now time.Time, tenant string, request Request) (Grant, bool) {
	l := &h.leases[ShardOf(tenant)]
	if !l.mayAnswer(now) {
		return Grant{}, false
	}
	return h.account(now, tenant, request.Limit, l).Grant(now, request, l.row.Term), true
}

// account returns a tenant's account. It creates a new one if there is none of the current term
// of the shard's lease. The caller holds the mutex.
func (h *Holdings) account(now time.Time, tenant string, limit Limit, l *lease) *Account {
	h.clean(now)
	entry := h.accounts[tenant]
	if entry == nil || entry.term != l.row.Term {
		entry = &heldAccount{account: h.openAccount(now, tenant, limit, l), shard: ShardOf(tenant), term: l.row.Term}
		h.accounts[tenant] = entry
	}
	entry.requestedAt = now
	return entry.account
}

// openAccount returns a new account at the first request in a term, or at the first one after the
// account was dropped. Whatever tokens it starts with, the row may record a level of the tenant.
func (h *Holdings) openAccount(now time.Time, tenant string, limit Limit, l *lease) *Account {
	var account *Account
	if level, found := l.usableInherited(now)[tenant]; found {
		account = NewAccountFromLevel(h.tolerance, limit, level, l.claimedAt, now)
	} else {
		account = NewAccount(h.tolerance, limit, l.claimedAt, now)
	}
	account.recordedLevel = max(l.row.Levels[tenant], l.unconfirmed[tenant])
	return account
}

// clean drops accounts without recent requests. The caller holds the mutex.
func (h *Holdings) clean(now time.Time) {
	if now.Sub(h.cleanedAt) < accountRetention {
		return
	}
	h.cleanedAt = now
	for tenant, entry := range h.accounts {
		if now.Sub(entry.requestedAt) >= accountRetention {
			delete(h.accounts, tenant)
		}
	}
}

// rowValid reports whether this node's row of a tenant's shard is valid, so that no other node may
// take the shard over.
func (h *Holdings) rowValid(now time.Time, tenant string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	l := &h.leases[ShardOf(tenant)]
	return l.mine && now.Before(l.expires)
}

// Held returns how many shards this node may answer for.
func (h *Holdings) Held(now time.Time) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	count := 0
	for shard := range h.leases {
		if h.leases[shard].mayAnswer(now) {
			count++
		}
	}
	return count
}

// holder returns the holder of a tenant's shard as far as this node knows. own reports that it is
// this node itself, queryable that there is a holder that may be queried now.
func (h *Holdings) holder(now time.Time, tenant string) (holder Holder, own, queryable bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	l := &h.leases[ShardOf(tenant)]
	return l.row.Holder, l.mine, l.mine || l.queryNow(now)
}

// holderAnswered records that the holder of a tenant's shard answered a request that was sent at sentAt.
func (h *Holdings) holderAnswered(tenant string, holder Holder, sentAt time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if l := &h.leases[ShardOf(tenant)]; l.row.Holder == holder {
		l.answered(sentAt)
	}
}

// holderFailed records that the holder of a tenant's shard did not answer. It reports whether the
// holder was not known to be lost before.
func (h *Holdings) holderFailed(now time.Time, tenant string, holder Holder, kind loss) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	l := &h.leases[ShardOf(tenant)]
	if l.row.Holder != holder {
		return false // the shard has another holder by now
	}
	return l.failed(kind, now)
}

// nextHolderExpected reports whether the next holder of a tenant's shard will be known soon.
func (h *Holdings) nextHolderExpected(now time.Time, tenant string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.leases[ShardOf(tenant)].nextHolderExpected(now)
}

// each calls a function for each lease, under the mutex.
func (h *Holdings) each(visit func(shard int, l *lease)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for shard := range h.leases {
		visit(shard, &h.leases[shard])
	}
}
