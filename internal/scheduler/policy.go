package scheduler

// PolicyName selects how calls are ordered and placed.
type PolicyName string

// Policies. The last three are baselines for comparison: they serve calls
// in order of arrival and use any free engine at once. All policies apply
// the same filters, concurrency limits, admission and ejection.
const (
	// ProgramAware orders calls by program and tenant, and places them by the lowest
	// estimated delay.
	ProgramAware PolicyName = "program_aware"
	// RoundRobin chooses the engines in turn.
	RoundRobin PolicyName = "round_robin"
	// LeastLoaded chooses the engine with the smallest fraction of its batch in use.
	LeastLoaded PolicyName = "least_loaded"
	// SessionAffinity chooses the engine that served the program's previous
	// turn if it is free, and otherwise the least loaded one.
	SessionAffinity PolicyName = "session_affinity"
)

// choose returns the position in c.candidates of the free engine that the
// policy chooses, or -1 if none is free.
func (c *Core) choose(call *Call) int {
	switch c.policy {
	case RoundRobin:
		return c.chooseRoundRobin()
	case LeastLoaded:
		return c.chooseLowest(func(e *engine) float64 { return e.utilisation() })
	case SessionAffinity:
		for i := range c.candidates {
			if c.candidates[i].free() && c.candidates[i].engine.view.Name == call.LastEngine {
				return i
			}
		}
		return c.chooseLowest(func(e *engine) float64 { return e.utilisation() })
	default:
		return c.chooseTotal(func(cand *candidate) bool { return cand.free() })
	}
}

// chooseRoundRobin returns the first free engine by name after the one chosen last.
func (c *Core) chooseRoundRobin() int {
	first := -1
	for i := range c.candidates {
		if !c.candidates[i].free() {
			continue
		}
		if c.candidates[i].engine.view.Name > c.lastRoundRobin {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

// chooseLowest returns the free engine with the lowest value, the first by
// name among equals.
func (c *Core) chooseLowest(value func(*engine) float64) int {
	best := -1
	lowest := 0.0
	for i := range c.candidates {
		if !c.candidates[i].free() {
			continue
		}
		current := value(c.candidates[i].engine)
		if best < 0 || current < lowest {
			best, lowest = i, current
		}
	}
	return best
}

// chooseTotal returns the accepted candidate with the lowest total score,
// the first by name among equals.
func (c *Core) chooseTotal(accept func(*candidate) bool) int {
	best := -1
	for i := range c.candidates {
		if !accept(&c.candidates[i]) {
			continue
		}
		if best < 0 || c.candidates[i].total < c.candidates[best].total {
			best = i
		}
	}
	return best
}
