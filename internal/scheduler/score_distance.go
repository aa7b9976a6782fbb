package scheduler

// scoreDistance estimates the network delay to the engine and back. Called
// for every engine that could run the call.
type scoreDistance struct{}

func (scoreDistance) name() string { return "distance" }

func (scoreDistance) score(r *request, e *engine) float64 {
	if r.distance == nil || r.call.Zone == e.view.Zone {
		return 0
	}
	return r.weights.distance * (r.distance(r.call.Zone, e.view.Zone) + r.distance(e.view.Zone, r.call.Zone))
}
