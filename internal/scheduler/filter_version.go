package scheduler

// filterVersion excludes engines of another software version than the one that started the call's
// stream: the outputs of two versions do not fit together in one stream. Called for engines that
// have the model loaded.
type filterVersion struct{}

func (filterVersion) name() string { return "other_version" }

func (filterVersion) rejects(r *request, e *engine) bool {
	return r.call.Version != "" && e.view.Version != r.call.Version
}
