package scheduler

// filterFailing excludes engines that failed recently, here or on other nodes, as the outlier
// detection decides; the detection ensures that not all engines are excluded. A call for which no
// other engine is allowed may try one nevertheless. Called for every engine that is ready.
type filterFailing struct{}

func (filterFailing) name() string { return "failing" }

func (filterFailing) rejects(r *request, e *engine) bool {
	return e.view.Failing && !r.call.LastResort
}
