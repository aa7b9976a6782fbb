package quota

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// takeOverShard returns holdings that took the tenant's shard over from a holder that recorded a level.
func takeOverShard(level float64, now time.Time) (*Holdings, *lease) {
	h := NewHoldings(DefaultTolerance, "run")
	l := &h.leases[ShardOf(tenant)]
	old := Holder{Address: "10.0.0.1:7", RunID: "old", Term: 4}
	l.observe(Row{Holder: old, Revision: 7, Levels: Levels{tenant: level}}, now)
	writeRow(h, l, change{holder: l.claim("10.0.0.2:7"), levels: l.row.Levels.scaled(inheritedShare)}, now)
	return h, l
}

// writeRow applies a write of the row to the lease and the accounts.
func writeRow(h *Holdings, l *lease, written change, now time.Time) {
	l.written(Row{Holder: written.holder, Revision: l.row.Revision + 1, Levels: written.levels}, now, now)
	h.levelsRecorded(ShardOf(tenant), l)
}

// requestTokens requests tokens and returns how many were granted.
func requestTokens(t *testing.T, h *Holdings, limit Limit, needed int, now time.Time) int {
	t.Helper()
	grant, held := h.Grant(now, tenant, Request{Limit: limit, Needed: needed})
	if !held {
		t.Fatal("the node does not answer for the shard")
	}
	return grant.Tokens
}

// TestALevelBindsAnAccountThatIsMadeAnew lets a tenant return after its account was dropped, or after the inherited
// level has become obsolete, while the row still records a level from which the next holder would continue.
func TestALevelBindsAnAccountThatIsMadeAnew(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 100, Version: 1}
	for name, requested := range map[string]bool{"dropped": true, "never requested": false} {
		now := time.Unix(1000, 0)
		h, l := takeOverShard(60, now)
		if requested {
			requestTokens(t, h, limit, 1, now)
		}
		for range 4*61 + 1 { // up to a renewal before the account is too old
			now = now.Add(renewPeriod)
			writeRow(h, l, h.renewal(ShardOf(tenant), l, now), now)
			if now.Sub(time.Unix(1000, 0)) >= accountRetention-renewPeriod {
				break
			}
		}
		now = now.Add(renewPeriod)
		level := l.row.Levels[tenant]
		if level == 0 {
			t.Fatalf("%s: no level is recorded", name)
		}
		capacity := DefaultTolerance.capacity(limit)
		if got := requestTokens(t, h, limit, 1000, now); float64(got) > capacity-level {
			t.Errorf("%s: %d tokens of %v were issued, and the next holder continues from %v", name, got, capacity, level)
		}
	}
}

// TestIdleTenantHasItsBurstAfterAHolderChange has a holder take over from one that had issued nearly
// all tokens, and get its first request after an idle time, up to that of a full account.
func TestIdleTenantHasItsBurstAfterAHolderChange(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 40, Version: 1}
	takenOverAt := time.Unix(1000, 0)
	for _, idle := range []time.Duration{0, time.Second, 2 * time.Second, 30 * time.Second} {
		h, l := takeOverShard(2, takenOverAt)
		now := takenOverAt.Add(idle)
		writeRow(h, l, h.renewal(ShardOf(tenant), l, now), now)
		want := min(2+limit.Rate*idle.Seconds(), DefaultTolerance.capacity(limit)) - l.row.Levels[tenant]
		if got := float64(requestTokens(t, h, limit, 1000, now)); got > want || got < want-1 {
			t.Errorf("after %v: %v tokens, want %v", idle, got, want)
		}
	}
}

// TestNextAccountIsCappedWhilePrefetchedTokensAreValid checks a full account of a new holder at times
// at which tokens that the previous holder prefetched may still be used.
func TestNextAccountIsCappedWhilePrefetchedTokensAreValid(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100, Version: 1}
	capacity := DefaultTolerance.capacity(limit)
	takenOverAt := time.Unix(1000, 0)
	for _, elapsed := range []time.Duration{0, prefetchLife / 2, prefetchLife, 2 * prefetchLife, 4 * prefetchLife} {
		account := NewAccountFromLevel(DefaultTolerance, limit, capacity, takenOverAt, takenOverAt.Add(elapsed))
		maxTokens := capacity * prefetchWatermark
		if refilling := elapsed - prefetchLife; refilling > 0 {
			maxTokens += limit.Rate * refilling.Seconds()
		}
		if maxTokens = min(maxTokens, capacity); account.tokens > maxTokens+1e-9 {
			t.Errorf("after %v: %v tokens, want at most %v", elapsed, account.tokens, maxTokens)
		}
	}
}

// TestEachHolderChangeIsAwaited lets requests stop waiting for a next holder, which is then found and ends before
// anybody queries it: requests wait for the holder after it as well. No request waits longer because another holder
// was found in between.
func TestEachHolderChangeIsAwaited(t *testing.T) {
	holder := func(term uint64) Row {
		return Row{Holder: Holder{Address: "10.0.0.1:7", RunID: "r", Term: term}, Revision: term}
	}
	now := time.Unix(1000, 0)
	l := &lease{runID: "own"}
	l.observe(holder(4), now)
	l.failed(ended, now)
	if !l.nextHolderExpected(now) {
		t.Fatal("the next holder is not awaited")
	}
	l.observe(holder(5), now.Add(nextHolderWait/2))
	l.failed(ended, now.Add(nextHolderWait/2))
	if now = now.Add(nextHolderWait); l.nextHolderExpected(now) {
		t.Fatal("a request waits longer than nextHolderWait")
	}
	l.observe(holder(6), now.Add(nextHolderWait))
	now = now.Add(time.Hour)
	l.failed(ended, now)
	if !l.nextHolderExpected(now) {
		t.Error("the holder after the next is not awaited")
	}
	if l.nextHolderExpected(now.Add(nextHolderWait)) {
		t.Error("the holder after the next is awaited without end")
	}
}

// TestANodeThatKnowsOfNoOtherIsNotAlone has a node start first, so that it finds no other, hold all shards, and release
// them as it stops, while a tenant sends many times its limit to both nodes. The failure: the first node, left without a
// shard, continued in local mode with its share of the rate, which was all of it, as it knew no other node. Seen in a
// soak: 430 requests where 372 are allowed.
func TestANodeThatKnowsOfNoOtherIsNotAlone(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 40, Version: 1}
	var f *fleet
	virtualtime.Test(t, func(*testing.T) {
		f = newFleet(DefaultTolerance, 0)
		defer f.shutdown()
		const one, other = "10.0.0.0:7", "10.0.0.1:7"
		first := f.startNode(one, "run of "+one, []string{one})
		f.nodes = append(f.nodes, first)
		time.Sleep(settleTime)
		second := f.startNode(other, "run of "+other, []string{one, other})
		f.update(func() { f.nodes = append(f.nodes, second) })
		time.Sleep(settleTime)
		for _, n := range f.nodes {
			f.send(n, tenant, limit, 100, 8*time.Second)
		}
		time.Sleep(time.Second)
		first.leases.ReleaseAll(f.ctx)
		time.Sleep(9 * time.Second)
	})
	if got := f.ran.maxInWindow(DefaultTolerance.Window); float64(got) > allowed(DefaultTolerance, limit) {
		t.Errorf("%d requests in a window, allowed: %v", got, allowed(DefaultTolerance, limit))
	}
}

// TestAFirstHolderThatIsCutOffStopsCounting has a node start first, so that it finds no other, hold all shards, and be
// partitioned from the table and its peers before its next poll for other nodes, while a tenant sends many times its limit to
// all nodes. The failure: it kept counting at the whole rate alongside its successor, as the only node may while the table is
// unavailable. Seen in a soak: 398 requests where 372 are allowed. It must not do so either if it has polled twice before
// the others start, since they send it requests.
func TestAFirstHolderThatIsCutOffStopsCounting(t *testing.T) {
	for _, polls := range []int{1, 2} {
		for _, delay := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
			checkFirstHolderCutOff(t, polls, delay)
		}
	}
}

func checkFirstHolderCutOff(t *testing.T, polls int, delay time.Duration) {
	t.Helper()
	limit := Limit{Rate: 40, Burst: 120, Version: 1}
	var f *fleet
	virtualtime.Test(t, func(*testing.T) {
		f = newFleet(DefaultTolerance, 0)
		defer f.shutdown()
		addresses := []string{"10.0.0.0:7", "10.0.0.1:7", "10.0.0.2:7"}
		for i, address := range addresses {
			started := f.startNode(address, "run of "+address, addresses[:i+1])
			f.update(func() { f.nodes = append(f.nodes, started) })
			for range polls - 1 {
				started.client.SetPeers(started, i+1)
			}
			time.Sleep(settleTime / 4)
		}
		for _, n := range f.nodes {
			f.send(n, tenant, limit, 70, 8*time.Second)
		}
		time.Sleep(delay)
		f.update(func() {
			f.nodes[0].tableCutUntil = time.Now().Add(2700 * time.Millisecond)
			f.nodes[0].peersCutUntil = f.nodes[0].tableCutUntil
		})
		time.Sleep(9 * time.Second)
	})
	if got := f.ran.maxInWindow(DefaultTolerance.Window); float64(got) > allowed(DefaultTolerance, limit) {
		t.Errorf("%d polls, cut off after %v: %d requests in a window, allowed: %v", polls, delay, got, allowed(DefaultTolerance, limit))
	}
}

// TestSingleNodeKeepsCountingWithoutTheTable makes the table unavailable to a single node whose polls
// for other nodes found none: it continues to serve its tenants.
func TestSingleNodeKeepsCountingWithoutTheTable(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 120, Version: 1}
	var f *fleet
	virtualtime.Test(t, func(*testing.T) {
		f = newFleet(DefaultTolerance, 0)
		defer f.shutdown()
		const only = "10.0.0.0:7"
		f.nodes = append(f.nodes, f.startNode(only, "run of "+only, []string{only}))
		f.nodes[0].client.SetPeers(f.nodes[0], 1)
		time.Sleep(settleTime)
		f.send(f.nodes[0], tenant, limit, 30, 8*time.Second)
		time.Sleep(time.Second)
		f.update(func() { f.tableDownUntil = time.Now().Add(5 * time.Second) })
		time.Sleep(9 * time.Second)
	})
	if f.refused > 0 {
		t.Errorf("%d requests within the limit were refused", f.refused)
	}
}

// TestStoppingNodesFollowTheNextHolder has two of three nodes, the holder among them, stop within a third of a second
// and continue to serve, while a tenant sends many times its limit to all nodes. The failure: the two did not learn of
// the next holder, and continued in local mode alongside it until they ended. Seen in a soak: 382 requests where 372 are
// allowed.
func TestStoppingNodesFollowTheNextHolder(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 120, Version: 1}
	var f *fleet
	virtualtime.Test(t, func(t *testing.T) {
		f = newFleet(DefaultTolerance, 3)
		defer f.shutdown()
		time.Sleep(settleTime)
		for _, n := range f.nodes {
			f.send(n, tenant, limit, 70, 6*time.Second)
		}
		time.Sleep(time.Second)
		holder := f.holder(tenant)
		holder.leases.ReleaseAll(f.ctx)
		time.Sleep(300 * time.Millisecond)
		other := f.nodes[0]
		if other == holder {
			other = f.nodes[1]
		}
		other.leases.ReleaseAll(f.ctx)
		time.Sleep(2 * time.Second)
		for _, n := range f.nodes {
			if decision := n.client.Admit(f.ctx, tenant, limit, false); decision.Basis == Local {
				t.Errorf("%s is in local mode 2 s after it began to stop", n.address)
			}
		}
		time.Sleep(5 * time.Second)
	})
	if got := f.ran.maxInWindow(DefaultTolerance.Window); float64(got) > allowed(DefaultTolerance, limit) {
		t.Errorf("%d requests in a window, allowed: %v", got, allowed(DefaultTolerance, limit))
	}
}
