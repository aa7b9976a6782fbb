package discovery

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// TestMovedRoutesAreFoundAmongUnchangedOnes guards against a moved route that is missed since only the changed part of a
// configuration is compared. It compares the result with that of all routes of both configurations, also where a route
// stands twice.
func TestMovedRoutesAreFoundAmongUnchangedOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		before := randomRoutes(random, random.IntN(8))
		after := slices.Clone(before)
		for range random.IntN(4) {
			at := random.IntN(len(after) + 1)
			switch {
			case len(after) > 0 && random.IntN(2) == 0:
				at = random.IntN(len(after))
				after = slices.Delete(after, at, at+1)
			default:
				after = slices.Insert(after, at, randomRoutes(random, 1)...)
			}
		}
		previous := routing.NewTable(&routing.Configuration{Routes: before})
		next := routing.NewTable(&routing.Configuration{Routes: after})
		got, want := movedRoutes(nil).updated(previous, next, now), movedAmongAll(previous, next, now)
		if !maps.Equal(got, want) {
			t.Fatalf("seed %d: got %v, want %v; before %+v, after %+v", seed, got, want, before, after)
		}
	}
}

// randomRoutes returns routes of few hosts, prefixes and services.
func randomRoutes(random *rand.Rand, count int) []routing.Route {
	routes := make([]routing.Route, 0, count)
	for range count {
		routes = append(routes, routing.Route{
			Host:       []string{"a.example", "A.example", "b.example"}[random.IntN(3)],
			PathPrefix: []string{"/", "/x/", "/x/y/", "/z/"}[random.IntN(4)],
			Backends:   []routing.Backend{{Service: fmt.Sprint(random.IntN(3)), Weight: 1}},
		})
	}
	return routes
}

// movedAmongAll compares all routes of both configurations.
func movedAmongAll(previous, next *routing.Table, now time.Time) movedRoutes {
	moved := make(movedRoutes)
	before, after := routesByPrefix(previous), routesByPrefix(next)
	for _, index := range []routeIndex{before, after} {
		for key := range index {
			earlier, later := before.match(key), after.match(key)
			if earlier == nil || later == nil || slices.Equal(serviceNames(earlier), serviceNames(later)) {
				continue
			}
			for _, service := range serviceNames(later) {
				moved[service] = now
			}
		}
	}
	return moved
}
