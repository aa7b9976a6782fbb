package routing

import (
	"cmp"
	"slices"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Priority orders requests: by the priority of the tenant first, then by that of the route. 0 is
// the most urgent of each.
type Priority struct {
	Tenant int // 0 without tenants
	Route  int
}

// PriorityOf returns the priority of a tenant's requests on a route; tenant is nil if the
// route needs no tenant.
func PriorityOf(tenant *bundle.Tenant, route *Route) Priority {
	priority := Priority{Route: route.Priority}
	if tenant != nil {
		priority.Tenant = tenant.Priority
	}
	return priority
}

func comparePriorities(a, b Priority) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Route, b.Route))
}

// prioritiesOf returns the priorities that streams may have, by service, without duplicates and
// the most urgent first.
func prioritiesOf(configuration *Configuration) map[string][]Priority {
	tenantPriorities := map[int]bool{}
	for _, tenant := range configuration.Tenants {
		tenantPriorities[tenant.Priority] = true
	}
	if len(tenantPriorities) == 0 {
		tenantPriorities[0] = true
	}
	priorities := make(map[string][]Priority)
	for _, route := range configuration.Routes {
		if route.Kind != Stream {
			continue
		}
		for _, backend := range route.Backends {
			for tenant := range tenantPriorities {
				priorities[backend.Service] = append(priorities[backend.Service], Priority{Tenant: tenant, Route: route.Priority})
			}
		}
	}
	for service, list := range priorities {
		slices.SortFunc(list, comparePriorities)
		priorities[service] = slices.Compact(list)
	}
	return priorities
}

// Rank returns the index of a priority among those of a service's streams, 0 for the most
// urgent, and the number of these priorities, at least 1.
func (t *Table) Rank(service string, priority Priority) (rank, ranks int) {
	list := t.priorities[service]
	rank, _ = slices.BinarySearchFunc(list, priority, comparePriorities)
	return rank, max(1, len(list))
}
