package serving

import (
	"maps"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// TestExtendedRetentions compares the routes of two configurations.
func TestExtendedRetentions(t *testing.T) {
	route := func(name string, retention time.Duration) routing.Route {
		return routing.Route{Name: name, Retain: retention > 0, RetainFor: retention}
	}
	before := retentionsOf([]routing.Route{
		route("longer", time.Minute), route("longest", time.Minute), route("shorter", time.Hour), route("same", 2*time.Minute),
		route("dropped", time.Second), route("plain", 0),
	})
	after := retentionsOf([]routing.Route{
		route("longer", 5*time.Minute), route("longest", 10*time.Minute), route("shorter", time.Minute), route("same", 2*time.Minute),
		route("added", time.Hour), route("plain", time.Hour),
	})
	if got, want := before.extendedTo(after), map[time.Duration]time.Duration{time.Minute: 10 * time.Minute}; !maps.Equal(got, want) {
		t.Errorf("extended are %v, want %v", got, want)
	}
	if got := retentions(nil).extendedTo(after); len(got) > 0 {
		t.Errorf("extended by the first configuration are %v", got)
	}
}
