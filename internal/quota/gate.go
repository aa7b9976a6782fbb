package quota

import (
	"context"
	"slices"
	"sync"
	"time"
)

// gate decides on the requests of one tenant at one node. Requests that arrive while a request to
// the holder is in flight wait for its answer and are then sent together. Safe for concurrent use.
type gate struct {
	client *Client
	tenant string
	usedAt time.Time // guarded by Client.mutex

	mutex      sync.Mutex
	share      *Share
	waiters    []*waiter // oldest first
	requesting bool
}

// waiter is a request that waits for the holder's answer.
type waiter struct {
	limit      Limit
	newProgram bool          // the request starts a program
	decided    chan Decision // buffered, for one element
}

// admit decides on one request. It returns Refused if ctx ends before there is a decision.
func (g *gate) admit(ctx context.Context, limit Limit, newProgram bool) Decision {
	g.mutex.Lock()
	decision := g.share.Take(time.Now(), limit, newProgram)
	if decision.Outcome != Undecided {
		g.mutex.Unlock()
		return decision
	}
	own := &waiter{limit: limit, newProgram: newProgram, decided: make(chan Decision, 1)}
	g.waiters = append(g.waiters, own)
	if !g.requesting {
		g.requesting = true
		go g.requestTokens()
	}
	g.mutex.Unlock()
	select {
	case decision := <-own.decided:
		return decision
	case <-ctx.Done():
		g.withdraw(own)
		return Decision{Outcome: Refused, Basis: ByHolder}
	}
}

// withdraw removes a request whose caller no longer waits, and returns its token if it was granted.
func (g *gate) withdraw(own *waiter) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if i := slices.Index(g.waiters, own); i >= 0 {
		g.waiters = slices.Delete(g.waiters, i, i+1)
		return
	}
	if decision := <-own.decided; decision.Outcome == Granted {
		g.share.ReturnToken(decision)
	}
}

// returnToken returns the token of a granted request that reached no engine.
func (g *gate) returnToken(granted Decision) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.share.ReturnToken(granted)
}

// requestTokens sends requests to the holder until none waits. A holder that answered the last request
// is waited for longer before the node switches to local mode: without tokens the node would refuse a
// tenant that is within its limit. In local mode requests do not wait that long.
func (g *gate) requestTokens() {
	for {
		request, pending := g.nextRequest()
		if !pending {
			return
		}
		sentAt := time.Now()
		grant, err := g.client.requestTokens(g.tenant, request, g.holderTimeout(), func(grant Grant) { g.applyLateGrant(request, grant, sentAt) })
		switch {
		case err == nil:
			g.applyGrant(request, grant)
		case g.client.awaitsHolder(g.tenant, err):
			time.Sleep(nextHolderPoll)
		default:
			g.fallBackToLocal(request)
		}
	}
}

// holderTimeout returns how long the holder's answer is waited for.
func (g *gate) holderTimeout() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.share.followsHolder() {
		return holderTimeout
	}
	return requestTimeout
}

// nextRequest returns the request to the holder for all waiters. If there are none, pending is
// false, and the caller must stop requesting.
func (g *gate) nextRequest() (request Request, pending bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.waiters) == 0 {
		g.requesting = false
		return Request{}, false
	}
	newest, newPrograms := g.waiters[0].limit, 0
	for _, w := range g.waiters {
		if w.limit.Version > newest.Version {
			newest = w.limit
		}
		if w.newProgram {
			newPrograms++
		}
	}
	return g.share.Request(time.Now(), newest, len(g.waiters)-newPrograms, newPrograms), true
}

// applyGrant applies the holder's answer and decides on the waiters that it covers.
func (g *gate) applyGrant(request Request, grant Grant) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.share.Answered(now, request, grant)
	g.decide(now)
}

// applyLateGrant applies the holder's answer to a request, sent at sentAt, whose waiters are decided.
func (g *gate) applyLateGrant(request Request, grant Grant, sentAt time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.share.AnsweredLate(time.Now(), request, grant, sentAt)
}

// fallBackToLocal switches the node to local mode and decides on the waiters.
func (g *gate) fallBackToLocal(request Request) {
	peers, nodes := g.client.peers()
	// A node that knows no other gets no share of the rate: its request failed, so another node
	// counts the tenant's requests, or soon will, and the node count is not right.
	reachesPeer := peers != nil && nodes > 1 && g.client.ReachesPeer()
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.share.Unanswered(now, request.Limit, nodes, reachesPeer)
	g.decide(now)
}

// decide decides on the waiters, except those that need another request to the holder. The
// caller holds the mutex.
func (g *gate) decide(now time.Time) {
	undecided := g.waiters[:0]
	for _, w := range g.waiters {
		decision := g.share.Take(now, w.limit, w.newProgram)
		if decision.Outcome == Undecided {
			undecided = append(undecided, w)
			continue
		}
		w.decided <- decision
	}
	clear(g.waiters[len(undecided):])
	g.waiters = undecided
}
