package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// grownTable returns a table of many routes, of which the first ones lead to a service.
func grownTable(routes int, service string) *routing.Table {
	configuration := &routing.Configuration{}
	for i := range routes {
		name := service
		if i > 0 {
			name = fmt.Sprintf("service-%d", i%7)
		}
		configuration.Routes = append(configuration.Routes, routing.Route{
			Host: fmt.Sprintf("host%d.example", i%40), PathPrefix: fmt.Sprintf("/service-%d/part-%d/", i%7, i),
			Backends: []routing.Backend{{Service: name, Weight: 1}},
		})
	}
	return routing.NewTable(configuration)
}

// BenchmarkMovedRoutes measures the search for moved routes among 4,200, of which the first one has moved, or none.
func BenchmarkMovedRoutes(b *testing.B) {
	before, moved, same := grownTable(4200, "a"), grownTable(4200, "b"), grownTable(4200, "a")
	b.Run("one", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			movedRoutes(nil).updated(before, moved, time.Now())
		}
	})
	b.Run("none", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			movedRoutes(nil).updated(before, same, time.Now())
		}
	})
}
