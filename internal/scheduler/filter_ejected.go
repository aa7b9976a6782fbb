package scheduler

// filterEjected excludes engines that failed several times in a row, until
// their delay is over. It accepts them while no other engine can serve the
// model, and for a call that names a version while no other engine of that version
// can serve it. Called last of the filters that exclude an engine.
type filterEjected struct{}

func (filterEjected) name() string { return "ejected" }

func (filterEjected) rejects(r *request, e *engine) bool {
	return !r.ignoreEjection && e.ejected(r.now)
}
