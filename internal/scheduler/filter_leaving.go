package scheduler

// filterLeaving excludes engines that are draining. Called for every ready engine.
type filterLeaving struct{}

func (filterLeaving) name() string { return "leaving" }

func (filterLeaving) rejects(_ *request, e *engine) bool { return e.view.Leaving }
