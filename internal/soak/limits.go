package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// Tenants of the soak.
const (
	tenantFree    = "free"    // runs programs, without a limit
	tenantGreedy  = "greedy"  // idle until its account is full, then sends several times its limit
	tenantGreedy2 = "greedy2" // the same, while the other one is idle
	tenantSteady  = "steady"  // stays within its limit
)

// Limits of tenants, as written into the soak's settings files and configuration.
const (
	limitRate     = 40.0  // requests per second
	limitBurst    = 120.0 // requests
	limitWindow   = 5 * time.Second
	limitFraction = 0.1  // fraction of the limit
	limitSlack    = 20.0 // requests
)

// recoveryTime is how long after the last disruption and planned stop of any process, or of the store, a tenant within
// its limit must be served: until then a process that has just started may not know its peers.
const recoveryTime = contactBound

// Times and numbers of callers of tenants with a limit.
const (
	greedyCallers  = 6               // per tenant
	greedyPeriod   = 5 * time.Second // of sending, then of idling: longer than the account takes to refill its burst
	maxGreedyPause = 40 * time.Millisecond
	// minSteadyPause keeps the tenant at 20 requests per second at most, below limitRate.
	minSteadyPause = 50 * time.Millisecond
)

var tenants = []operators.Tenant{
	{Name: tenantFree, Key: keyOf(tenantFree)},
	{Name: tenantGreedy, Key: keyOf(tenantGreedy), Rate: limitRate, Burst: limitBurst},
	{Name: tenantGreedy2, Key: keyOf(tenantGreedy2), Rate: limitRate, Burst: limitBurst},
	{Name: tenantSteady, Key: keyOf(tenantSteady), Rate: limitRate, Burst: limitBurst},
}

// keyOf returns the API key of a tenant.
func keyOf(tenant string) string { return "key-of-" + tenant }

// outcomeGroup returns the group that an attempt's outcome is counted in.
func outcomeGroup(sent Attempt) string {
	if sent.Tenant == tenantFree {
		return sent.Route
	}
	return sent.Tenant
}

// runLimitedTenants runs the callers of tenants with a limit until the context ends.
func (d *deployment) runLimitedTenants(ctx context.Context, seed uint64, callers *sync.WaitGroup) {
	for number := range greedyCallers {
		d.runTenant(ctx, callers, tenantGreedy, rand.New(rand.NewPCG(seed, 1<<32+uint64(number))), 0)
		d.runTenant(ctx, callers, tenantGreedy2, rand.New(rand.NewPCG(seed, 1<<33+uint64(number))), 0)
	}
	d.runTenant(ctx, callers, tenantSteady, rand.New(rand.NewPCG(seed, 1<<34)), minSteadyPause)
}

func (d *deployment) runTenant(ctx context.Context, callers *sync.WaitGroup, tenant string, random *rand.Rand, minPause time.Duration) {
	c := &caller{deployment: d, random: random}
	callers.Go(func() {
		for backoff.Wait(ctx, pauseOf(tenant, d.now())+minPause+c.randomUpTo(maxGreedyPause)) {
			c.send(Attempt{ID: c.name("l"), Route: routeSafe, Tenant: tenant, Repeatable: true}, operators.ClientRequest{Method: http.MethodGet})
		}
	})
}

// pauseOf returns how long a tenant idles now before it sends again.
func pauseOf(tenant string, now time.Duration) time.Duration {
	period := now / greedyPeriod
	if tenant == tenantGreedy && period%2 == 1 || tenant == tenantGreedy2 && period%2 == 0 {
		return (period+1)*greedyPeriod - now
	}
	return 0
}

// burstSpentAfter is how long after a tenant starts to send its burst is certainly used up: its callers send about 200
// requests per second.
const burstSpentAfter = 750 * time.Millisecond

// untilBurstSpent returns the time until a tenant has just used up its burst: the loss of all holders has the largest
// effect then.
func untilBurstSpent(now time.Duration) time.Duration {
	return (greedyPeriod + burstSpentAfter - now%greedyPeriod) % greedyPeriod
}

// hasLimit reports whether a tenant has a limit.
func hasLimit(tenant string) bool {
	return slices.ContainsFunc(tenants, func(candidate operators.Tenant) bool { return candidate.Name == tenant && candidate.Rate > 0 })
}

// sendWindow holds the send times of requests that have arrived. A request that was sent within a window that ends now
// was certainly admitted within it.
type sendWindow []time.Duration

// add records an arrival and returns how many of the requests so far were sent in the window that ends now.
func (s *sendWindow) add(now, sent, window time.Duration) int {
	*s = slices.DeleteFunc(append(*s, sent), func(at time.Duration) bool { return at <= now-window })
	return len(*s)
}

// maxInWindow returns how many requests of a tenant with a limit may run in a window.
func maxInWindow() float64 {
	return (limitRate*limitWindow.Seconds()+limitBurst)*(1+limitFraction) + limitSlack
}

// checkLimit checks a request's first arrival against its tenant's limit. The caller holds the mutex.
func (c *Checker) checkLimit(now time.Duration, a *attempt) {
	if !hasLimit(a.Tenant) || len(a.ranAt) > 1 {
		return
	}
	window := c.tenantWindows[a.Tenant]
	if window == nil {
		window = &sendWindow{}
		c.tenantWindows[a.Tenant] = window
	}
	count := window.add(now, a.sent, limitWindow)
	c.check(float64(count) <= maxInWindow(), TenantLimit, now, a, "", "%d requests of tenant %s in %s, %.0f at most", count, a.Tenant, limitWindow, maxInWindow())
}

// checkWithinLimit checks that a tenant within its limit is not throttled. The caller holds the mutex.
func (c *Checker) checkWithinLimit(now time.Duration, a *attempt, outcome Outcome) {
	if a.Tenant != tenantSteady || outcome.Status == 0 || !c.bounds.allUndisturbedSince(min(a.sent, now)-recoveryTime) {
		return
	}
	c.check(outcome.Status != http.StatusTooManyRequests, WithinLimit, now, a, "", "answered 429, though its tenant is within its limit")
}

// allUndisturbedSince reports whether no process and not the store has been disrupted, or stopped as planned, after
// since.
func (b *bounds) allUndisturbedSince(since time.Duration) bool {
	for _, windows := range []map[string]*disruptionWindow{b.unplanned, b.planned} {
		for _, disruptions := range windows {
			if !disruptions.undisturbedSince(since) {
				return false
			}
		}
	}
	return true
}
