package scheduler

import "time"

// tenant is one tenant's account of engine service. Virtual service is the
// seconds of service divided by the tenant's weight: the tenant with the
// lowest goes first (start-time fair queueing).
type tenant struct {
	name           string
	weight         float64
	virtualService float64
	queued         int
	inFlight       int
}

// activate is called when a call of the tenant is queued. A tenant that was
// idle starts at the current virtual time, so it gains no credit from being idle.
func (t *tenant) activate(virtualTime float64) {
	if t.queued == 0 && t.inFlight == 0 {
		t.virtualService = max(t.virtualService, virtualTime)
	}
}

// charge adds service; a negative value corrects an estimate that was too high.
func (t *tenant) charge(service time.Duration) {
	t.virtualService += service.Seconds() / t.weight
}

// tenantFor returns the account that a call is charged to. The baseline policies use
// one account for all tenants, so they serve in order of arrival.
func (c *Core) tenantFor(name string) *tenant {
	if c.policy != ProgramAware {
		name = ""
	}
	account, found := c.tenants[name]
	if !found {
		account = &tenant{name: name}
		c.tenants[name] = account
	}
	account.weight = c.weightOf(name)
	return account
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

// pick returns the call to evaluate next: the highest-ranked call of the tenants within
// the fairness window of the one with the lowest virtual service. Only models with a
// free slot count. It returns nil when no call is left.
func (c *Core) pick(now time.Time) *queuedCall {
	lowest, found := c.minVirtualService(now)
	if !found {
		return nil
	}
	c.virtualTime = max(c.virtualTime, lowest)
	var best *queuedCall
	for _, queue := range c.queues {
		if queue.free <= 0 {
			continue
		}
		for _, tq := range queue.tenants {
			if tq.tenant.virtualService > lowest+fairnessWindow {
				continue
			}
			call := tq.next(now)
			if call != nil && (best == nil || compareCalls(call, best) < 0) {
				best = call
			}
		}
	}
	return best
}

// minVirtualService returns the lowest virtual service of the tenants that have a
// call to evaluate. It returns false if there is none.
func (c *Core) minVirtualService(now time.Time) (float64, bool) {
	lowest := 0.0
	found := false
	for _, queue := range c.queues {
		if queue.free <= 0 {
			continue
		}
		for _, tq := range queue.tenants {
			if tq.next(now) == nil {
				continue
			}
			if !found || tq.tenant.virtualService < lowest {
				lowest, found = tq.tenant.virtualService, true
			}
		}
	}
	return lowest, found
}
