package scheduler

// filterNotReady excludes engines whose last report states that they are not
// ready, unless the call is a last resort. Called first, for every engine.
type filterNotReady struct{}

func (filterNotReady) name() string { return "not_ready" }

func (filterNotReady) rejects(r *request, e *engine) bool {
	return !e.view.Ready && !r.call.LastResort
}
