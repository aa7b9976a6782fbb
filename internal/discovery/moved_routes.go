package discovery

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// movedRoutes are the services to which a route leads that had other services within versionMemory, with the time of the
// last such change. It is immutable.
type movedRoutes map[string]time.Time

// updated returns the services after a change of the configuration.
func (m movedRoutes) updated(previous, next *routing.Table, now time.Time) movedRoutes {
	if previous == nil {
		return m
	}
	updated := maps.Clone(m)
	if updated == nil {
		updated = make(movedRoutes)
	}
	maps.DeleteFunc(updated, func(_ string, movedAt time.Time) bool { return now.Sub(movedAt) >= versionMemory })
	changedBefore, changedAfter := withoutCommonEnds(previous.Configuration.Routes, next.Configuration.Routes)
	if len(changedBefore) == 0 && len(changedAfter) == 0 {
		return updated
	}
	before, after := routesByPrefix(previous), routesByPrefix(next)
	for _, changed := range [][]routing.Route{changedBefore, changedAfter} {
		for i := range changed {
			key := keyOf(&changed[i])
			earlier, later := before.match(key), after.match(key)
			if earlier == nil || later == nil || slices.Equal(serviceNames(earlier), serviceNames(later)) {
				continue
			}
			for _, service := range serviceNames(later) {
				updated[service] = now
			}
		}
	}
	return updated
}

// withoutCommonEnds returns two lists of routes without the routes with which both begin, and with which both end. Most
// changes of a configuration leave nearly all routes as they are.
func withoutCommonEnds(before, after []routing.Route) (changedBefore, changedAfter []routing.Route) {
	for len(before) > 0 && len(after) > 0 && leadAlike(&before[0], &after[0]) {
		before, after = before[1:], after[1:]
	}
	for len(before) > 0 && len(after) > 0 && leadAlike(&before[len(before)-1], &after[len(after)-1]) {
		before, after = before[:len(before)-1], after[:len(after)-1]
	}
	return before, after
}

// leadAlike reports whether two routes lead from the same paths to the same services.
func leadAlike(a, b *routing.Route) bool {
	return a.Host == b.Host && a.PathPrefix == b.PathPrefix && slices.EqualFunc(a.Backends, b.Backends, func(x, y routing.Backend) bool {
		return x.Service == y.Service
	})
}

// routeKey identifies a route of a configuration.
type routeKey struct{ host, prefix string }

func keyOf(route *routing.Route) routeKey {
	return routeKey{host: strings.ToLower(route.Host), prefix: route.PathPrefix}
}

// routeIndex is a configuration's routes.
type routeIndex map[routeKey]*routing.Route

func routesByPrefix(table *routing.Table) routeIndex {
	index := make(routeIndex, len(table.Configuration.Routes))
	for i := range table.Configuration.Routes {
		route := &table.Configuration.Routes[i]
		index[keyOf(route)] = route
	}
	return index
}

// match returns the route that serves the paths of another configuration's route; nil if there is none. Unlike
// routing.Table.Match it does not look at all routes of the host.
func (r routeIndex) match(key routeKey) *routing.Route {
	for {
		if route := r[key]; route != nil {
			return route
		}
		parent := strings.LastIndexByte(strings.TrimSuffix(key.prefix, "/"), '/')
		if parent < 0 {
			return nil
		}
		key.prefix = key.prefix[:parent+1]
	}
}

// serviceNames returns the services of a route, in lexical order.
func serviceNames(route *routing.Route) []string {
	names := make([]string, 0, len(route.Backends))
	for _, backend := range route.Backends {
		names = append(names, backend.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
