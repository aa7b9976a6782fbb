package quota

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// startFleetWithHolder starts nodes of which one holds a tenant's shard, and returns one that has sent no request yet.
func startFleetWithHolder(limit Limit) (f *fleet, requester *fleetNode) {
	f = newFleet(DefaultTolerance, 12)
	time.Sleep(settleTime)
	f.request(f.nodes[0], tenant, limit) // makes a node take the shard
	requester = f.nodes[1]
	if requester == f.holder(tenant) {
		requester = f.nodes[2]
	}
	return f, requester
}

// TestNodeThatNeverAskedFollowsALateHolder has a node send a tenant's first requests while all answers of other nodes
// are late. It does not wait for the first one for as long, but follows the holder once it has answered.
func TestNodeThatNeverAskedFollowsALateHolder(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 500, Version: 1}
	for _, delay := range []time.Duration{200, 300, 400} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f, requester := startFleetWithHolder(limit)
				defer f.shutdown()
				requester.client.SetPeers(latePeers{requester, time.Now().Add(time.Minute), delay}, len(f.nodes))
				time.Sleep(3 * time.Second) // virtual: the node reads the row of the shard
				f.request(requester, tenant, limit)
				time.Sleep(holderTimeout)
				f.update(func() { f.refused = 0 })
				for range 10 {
					f.request(requester, tenant, limit)
					time.Sleep(200 * time.Millisecond)
				}
				if f.refused > 0 {
					t.Errorf("%d of 10 requests of a tenant within its limit were refused", f.refused)
				}
			})
		})
	}
}

// TestLateAnswersKeepTheLimit has five nodes send five times a tenant's limit while the answers that each gets are late by
// another time, for some of them longer than they wait.
func TestLateAnswersKeepTheLimit(t *testing.T) {
	for _, limit := range []Limit{{Rate: 40, Burst: 40, Version: 1}, {Rate: 200, Burst: 20, Version: 1}} {
		for _, step := range []time.Duration{40, 100, 160, 250} {
			step *= time.Millisecond
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(DefaultTolerance, 5)
				defer f.shutdown()
				time.Sleep(settleTime)
				for _, n := range f.nodes {
					f.send(n, tenant, limit, limit.Rate, 12*time.Second)
				}
				time.Sleep(2 * time.Second)
				for i, n := range f.nodes {
					n.client.SetPeers(latePeers{n, time.Now().Add(6 * time.Second), time.Duration(i) * step}, len(f.nodes))
				}
				time.Sleep(14 * time.Second)
				var got int
				f.update(func() { got = f.ran.maxInWindow(DefaultTolerance.Window) })
				if float64(got) > allowed(DefaultTolerance, limit) {
					t.Errorf("limit %+v, answers late by up to %s: %d requests in a window, allowed: %v", limit, 4*step, got, allowed(DefaultTolerance, limit))
				}
			})
		}
	}
}

// TestRequestIsNotHeldByALateHolder bounds how long a request waits, however late the holder's answers are.
func TestRequestIsNotHeldByALateHolder(t *testing.T) {
	limit := Limit{Rate: 200, Burst: 2000, Version: 1}
	for _, delay := range []time.Duration{400, 700, 1500} {
		delay *= time.Millisecond
		virtualtime.Test(t, func(t *testing.T) {
			f, requester := startFleetWithHolder(limit)
			defer f.shutdown()
			f.request(requester, tenant, limit)
			requester.client.SetPeers(latePeers{requester, time.Now().Add(time.Minute), delay}, len(f.nodes))
			for range 20 {
				time.Sleep(localPeriod)
				sentAt := time.Now()
				f.request(requester, tenant, limit)
				if waited := time.Since(sentAt); waited > 4*requestTimeout {
					t.Errorf("answers late by %s: a request waited for %s, want at most %s", delay, waited, 4*requestTimeout)
				}
			}
		})
	}
}

// TestTokensOfALateAnswerAreReturned applies an answer for which nobody waits any longer.
func TestTokensOfALateAnswerAreReturned(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100, Version: 1}
	sentAt := time.Unix(1000, 0)
	share := NewShare(DefaultTolerance, func() float64 { return 0.5 })
	request := share.Request(sentAt, limit, 2, 0)
	share.Answered(sentAt, request, Grant{Tokens: 2, Term: 3})
	for range 2 {
		share.Take(sentAt, limit, false)
	}
	request = share.Request(sentAt, limit, 4, 0)
	share.Unanswered(sentAt.Add(requestTimeout), limit, 12, true)
	arrived := sentAt.Add(requestTimeout + 50*time.Millisecond)
	share.AnsweredLate(arrived, request, Grant{Tokens: 4, Term: 3}, sentAt)
	if !share.followsHolder() {
		t.Error("the node stays in local mode although the holder has answered")
	}
	if decision := share.Take(arrived, limit, false); decision.Outcome != Undecided {
		t.Errorf("a token of a late answer is used: %+v", decision)
	}
	share.AnsweredLate(arrived, request, Grant{Tokens: 4, Term: 2}, sentAt) // of a former holder
	next := share.Request(arrived, limit, 1, 0)
	if next.Unused != 4 || next.UnusedAge != arrived.Sub(sentAt) || next.Term != 3 {
		t.Errorf("the next request returns %d tokens of term %d, issued %s ago; want 4 of term 3, %s ago", next.Unused, next.Term, next.UnusedAge, arrived.Sub(sentAt))
	}
	share.Unanswered(arrived, limit, 12, true)
	share.AnsweredLate(sentAt.Add(2*holderTimeout), next, Grant{Term: 3}, sentAt)
	if share.followsHolder() {
		t.Error("the node follows a holder whose answers take longer than requests may wait")
	}
}
