package scheduler

import "slices"

// filterExcluded excludes engines that earlier attempts of the call have
// tried. Called for engines that have the model loaded.
type filterExcluded struct{}

func (filterExcluded) name() string { return "already_tried" }

func (filterExcluded) rejects(r *request, e *engine) bool {
	return slices.Contains(r.call.Excluded, e.view.Name)
}
