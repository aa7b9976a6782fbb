package scheduler

// filterStale excludes engines whose last report is older than the bundle's
// engine_max_age_millis. Called for engines that are ready and not leaving.
type filterStale struct{}

func (filterStale) name() string { return "stale" }

func (filterStale) rejects(r *request, e *engine) bool {
	return r.now.Sub(e.view.ObservedAt) > r.weights.engineMaxAge
}
