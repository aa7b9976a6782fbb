package scheduler

// filterVersion excludes engines of another software version than the one that began the call's stream: what two versions
// write does not fit together. Called for engines that have the model.
type filterVersion struct{}

func (filterVersion) name() string { return "other_version" }

func (filterVersion) rejects(r *request, e *engine) bool {
	return r.call.Version != "" && e.view.Version != r.call.Version
}
