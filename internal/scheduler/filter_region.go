package scheduler

import "slices"

// filterRegion excludes engines outside the regions in which the call may be served. Called
// for engines that have the model loaded.
type filterRegion struct{}

func (filterRegion) name() string { return "outside_regions" }

func (filterRegion) rejects(r *request, e *engine) bool {
	return r.call.Regions != nil && !slices.Contains(r.call.Regions, e.view.Region)
}
