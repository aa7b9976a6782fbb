package scheduler

// PolicyName selects how calls are ordered and placed.
type PolicyName string

// Policies. The last three are baselines to compare with: they serve calls
// in order of arrival and take any free engine at once. All of them apply
// the same filters, concurrency limits, admission and ejection.
const (
	// ProgramAware orders by program and tenant, and places by the lowest
	// estimated delay.
	ProgramAware PolicyName = "program_aware"
	// RoundRobin takes the engines in turn.
	RoundRobin PolicyName = "round_robin"
	// LeastLoaded takes the engine with the smallest share of its batch in use.
	LeastLoaded PolicyName = "least_loaded"
	// SessionAffinity takes the engine that served the program's previous
	// turn while it is free, and otherwise the least loaded one.
	SessionAffinity PolicyName = "session_affinity"
)

// choose returns the position in c.candidates of the free engine that the
// policy takes, or -1 if none is free.
func (c *Core) choose(call *Call) int {
	switch c.policy {
	case RoundRobin:
		return c.chooseNextInTurn()
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
		return c.chooseTotal(func(candidate *candidate) bool { return candidate.free() })
	}
}

// chooseNextInTurn returns the first free engine after the one taken last.
func (c *Core) chooseNextInTurn() int {
	first := -1
	for i := range c.candidates {
		if !c.candidates[i].free() {
			continue
		}
		if c.candidates[i].engine.view.Name > c.lastInTurn {
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
