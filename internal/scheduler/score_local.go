package scheduler

// LocalCosts are costs of engines that a node has measured or chosen itself, in addition to
// the engines' reports. Each cost is in milliseconds of delay.
type LocalCosts interface {
	// ConnectCost returns the cost of a new connection; 0 if there is an idle one.
	ConnectCost(engine string) float64
	// LagCost returns how much later than other engines this one has recently answered
	// the node's own calls.
	LagCost(engine string) float64
	// PreferenceCost returns a cost that differs from node to node, so that nodes without
	// information that distinguishes the engines do not all choose the same one.
	PreferenceCost(engine string) float64
}

// scoreConnection adds the cost of a new connection. Called for every engine
// that could run the call.
type scoreConnection struct{}

func (scoreConnection) name() string { return "connection" }

func (scoreConnection) score(r *request, e *engine) float64 {
	if r.local == nil {
		return 0
	}
	return r.local.ConnectCost(e.view.Name)
}

// scoreLag adds the engine's recent response lag. Called for every
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
