package scheduler

// filterEjected excludes engines that failed several times in a row, until
// their delay is over. It lets them pass while no other engine can serve the
// model, and for a call that names a version while no other one of that version can. Called last of the filters that exclude an engine outright.
type filterEjected struct{}

func (filterEjected) name() string { return "ejected" }

func (filterEjected) rejects(r *request, e *engine) bool {
	return !r.ignoreEjection && e.ejected(r.now)
}
