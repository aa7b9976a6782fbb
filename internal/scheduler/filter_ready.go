package scheduler

// filterNotReady excludes engines whose last report says that they are not
// ready. Called first for every engine.
type filterNotReady struct{}

func (filterNotReady) name() string { return "not_ready" }

func (filterNotReady) rejects(_ *request, e *engine) bool { return !e.view.Ready }
