package routing

import (
	"fmt"
	"slices"
)

// AllowedRegions returns the regions in which a request of a route and a tenant may be served,
// cached and stored, and whether there is any such restriction. If both the route and the tenant
// have regions, only regions of both are allowed, so there may be none. tenant is empty for a
// request without a tenant.
func (c *Configuration) AllowedRegions(route *Route, tenant string) (regions []string, restricted bool) {
	tenantRegions := c.TenantRegions[tenant]
	switch {
	case len(tenantRegions) == 0:
		return route.Regions, len(route.Regions) > 0
	case len(route.Regions) == 0:
		return tenantRegions, true
	}
	for _, region := range route.Regions {
		if slices.Contains(tenantRegions, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}

// RestrictsRegions reports whether any route or tenant is restricted to some regions.
func (c *Configuration) RestrictsRegions() bool {
	if len(c.TenantRegions) > 0 {
		return true
	}
	return slices.ContainsFunc(c.Routes, func(route Route) bool { return len(route.Regions) > 0 })
}

// RegionProblems returns the configuration errors in allowed regions: regions in which no zone
// lies, and pairs of a route and a tenant without a common region. Each names its fields. exists
// reports whether any zone lies in a region.
func (c *Configuration) RegionProblems(exists func(region string) bool) []string {
	var problems []string
	addUnknown := func(field string, regions []string) {
		for _, region := range regions {
			if !exists(region) {
				problems = append(problems, fmt.Sprintf("%s: no zone lies in region %q", field, region))
			}
		}
	}
	for i := range c.Routes {
		addUnknown(fmt.Sprintf("routes[%s].allowed_regions", c.Routes[i].Name), c.Routes[i].Regions)
	}
	for _, tenant := range c.Tenants {
		addUnknown(fmt.Sprintf("tenants[%s].allowed_regions", tenant.Name), c.TenantRegions[tenant.Name])
		for i := range c.Routes {
			route := &c.Routes[i]
			if regions, restricted := c.AllowedRegions(route, tenant.Name); restricted && len(regions) == 0 {
				problems = append(problems, fmt.Sprintf("tenants[%s].allowed_regions and routes[%s].allowed_regions have no region in common", tenant.Name, route.Name))
			}
		}
	}
	return problems
}
