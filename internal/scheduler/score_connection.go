package scheduler

// scoreConnection counts what a new connection costs where the engine has
// none at rest. Called for every engine that could run the call.
type scoreConnection struct{}

func (scoreConnection) name() string { return "connection" }

func (scoreConnection) score(r *request, e *engine) float64 {
	if r.connectCost == nil {
		return 0
	}
	return r.connectCost(e.view.Name)
}
