package placement

import (
	"slices"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/interregion"
	"github.com/pewtermill/pewtermill/internal/routing"
)

// RegionBudget limits the traffic to other regions. *interregion.Meter implements it.
type RegionBudget interface {
	Allows(region string, kind interregion.Kind) bool
}

// engineRegions holds the regions that calls may be sent to. The placer's mutex guards it.
type engineRegions struct {
	regions         []string // regions that have engines, including this node's own
	restrictedCalls uint64   // calls that were restricted to fewer regions
}

// setEngines replaces the regions by those of the engines.
func (e *engineRegions) setEngines(engines map[string]routing.Engine, regionOf func(zone string) string) {
	e.regions = nil
	for _, engine := range engines {
		if region := regionOf(engine.Zone); !slices.Contains(e.regions, region) {
			e.regions = append(e.regions, region)
		}
	}
}

// restrictRegions restricts a request to the regions that may receive calls now. It returns an
// error if only engines in other regions could serve it. The mutex is held.
func (p *Placer) restrictRegions(request *Request) *api.Error {
	allowed := p.allowedRegions()
	if len(allowed) == len(p.engineRegions.regions) {
		return nil
	}
	restricted := *request
	restricted.Regions = allowed
	if request.Regions != nil {
		restricted.Regions = intersection(allowed, request.Regions)
	}
	if len(restricted.Regions) == len(request.Regions) && request.Regions != nil {
		return nil // the request may not use the full regions anyway
	}
	if !p.hasEngine(restricted) && p.hasEngine(*request) {
		return api.Errorf(api.RegionLinkFull, "service %s has engines only in other regions, and the links to them are full", request.Service)
	}
	p.engineRegions.restrictedCalls++
	request.Regions = restricted.Regions
	return nil
}

// allowedRegions returns the regions that may receive calls now. The mutex is held.
func (p *Placer) allowedRegions() []string {
	if p.options.RegionBudget == nil {
		return p.engineRegions.regions
	}
	allowed := make([]string, 0, len(p.engineRegions.regions))
	for _, region := range p.engineRegions.regions {
		if region == p.options.Topology.Region() || p.options.RegionBudget.Allows(region, interregion.Calls) {
			allowed = append(allowed, region)
		}
	}
	return allowed
}

// hasEngine reports whether there is an engine that the request may use and has not tried. The
// mutex is held.
func (p *Placer) hasEngine(request Request) bool {
	for id, engine := range p.engines {
		if engine.Service == request.Service && !engine.Draining && !p.disallows(request, engine) &&
			!slices.Contains(request.Excluded, id) {
			return true
		}
	}
	return false
}

// intersection returns the items that are in both slices; empty, not nil, if there are none.
func intersection(a, b []string) []string {
	both := make([]string, 0, len(a))
	for _, item := range a {
		if slices.Contains(b, item) {
			both = append(both, item)
		}
	}
	return both
}

// RegionRestricted returns how many calls were restricted to fewer regions because a link was full.
func (p *Placer) RegionRestricted() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.engineRegions.restrictedCalls
}
