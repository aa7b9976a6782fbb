package scheduler

import "time"

// tenant keeps one tenant's account of engine service. Virtual service is
// seconds of service divided by the tenant's weight: the tenant with the
// least goes first (start-time fair queueing).
type tenant struct {
	name     string
	weight   float64
	virtual  float64
	queued   int
	inFlight int
}

// activate is called when a call of the tenant is queued. A tenant that was
// idle starts at the current virtual time: idleness earns no credit.
func (t *tenant) activate(virtualTime float64) {
	if t.queued == 0 && t.inFlight == 0 {
		t.virtual = max(t.virtual, virtualTime)
	}
}

// charge adds service, or takes back what an estimate had added too much.
func (t *tenant) charge(service time.Duration) {
	t.virtual += service.Seconds() / t.weight
}

// tenantFor returns the account that a call is charged to. The baselines
// share one account, so they serve in order of arrival.
func (c *Core) tenantFor(name string) *tenant {
	if c.policy != ProgramAware {
		name = ""
	}
	owner, known := c.tenants[name]
	if !known {
		owner = &tenant{name: name}
		c.tenants[name] = owner
	}
	owner.weight = c.weightOf(name)
	return owner
}

// weightOf returns a tenant's weight, 1 unless a positive one is configured.
func (c *Core) weightOf(name string) float64 {
	if c.tenantWeight == nil {
		return 1
	}
	if weight := c.tenantWeight(name); weight > 0 {
		return weight
	}
	return 1
}

// pick returns the call to look at next: of the tenants that are within the
// fairness window of the one with the least virtual service, the best call.
// Only models with a free slot count. It returns nil when none is left.
func (c *Core) pick(now time.Time) *queuedCall {
	least, found := c.leastVirtual(now)
	if !found {
		return nil
	}
	c.virtualTime = max(c.virtualTime, least)
	var best *queuedCall
	for _, queue := range c.queues {
		if queue.free <= 0 {
			continue
		}
		for _, owned := range queue.tenants {
			if owned.tenant.virtual > least+fairnessWindow {
				continue
			}
			call := owned.next(now)
			if call != nil && (best == nil || compareCalls(call, best) < 0) {
				best = call
			}
		}
	}
	return best
}

// leastVirtual returns the least virtual service of the tenants that have a
// call to look at.
func (c *Core) leastVirtual(now time.Time) (float64, bool) {
	least := 0.0
	found := false
	for _, queue := range c.queues {
		if queue.free <= 0 {
			continue
		}
		for _, owned := range queue.tenants {
			if owned.next(now) == nil {
				continue
			}
			if !found || owned.tenant.virtual < least {
				least, found = owned.tenant.virtual, true
			}
		}
	}
	return least, found
}
