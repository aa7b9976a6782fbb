package scheduler

// LocalCosts is what a node knows of engines by its own doing, beside their
// reports. Each cost is in milliseconds of delay that it is worth.
type LocalCosts interface {
	// ConnectCost is what a call costs for want of a connection at rest.
	ConnectCost(engine string) float64
	// LagCost is how much later than other engines this one has answered the
	// node's own calls of late.
	LagCost(engine string) float64
	// PreferenceCost differs from node to node, so that nodes which know
	// nothing that sets engines apart do not all take the same one.
	PreferenceCost(engine string) float64
}

// scoreConnection counts what a new connection costs. Called for every engine
// that could run the call.
type scoreConnection struct{}

func (scoreConnection) name() string { return "connection" }

func (scoreConnection) score(r *request, e *engine) float64 {
	if r.local == nil {
		return 0
	}
	return r.local.ConnectCost(e.view.Name)
}

// scoreLag counts how late the engine has answered of late. Called for every
// engine that could run the call.
type scoreLag struct{}

func (scoreLag) name() string { return "lag" }

func (scoreLag) score(r *request, e *engine) float64 {
	if r.local == nil {
		return 0
	}
	return r.local.LagCost(e.view.Name)
}

// scorePreference breaks ties, differently on each node. Called for every engine
// that could run the call.
type scorePreference struct{}

func (scorePreference) name() string { return "preference" }

func (scorePreference) score(r *request, e *engine) float64 {
	if r.local == nil {
		return 0
	}
	return r.local.PreferenceCost(e.view.Name)
}
