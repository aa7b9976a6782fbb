package scheduler

import "slices"

// filterModel excludes engines that do not have the call's model loaded.
// Called for engines with a recent report.
type filterModel struct{}

func (filterModel) name() string { return "model_not_loaded" }

func (filterModel) rejects(r *request, e *engine) bool {
	return !slices.Contains(e.view.Models, r.call.Model)
}
