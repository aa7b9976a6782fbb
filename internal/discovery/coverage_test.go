package discovery

import (
	"slices"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestCoverage confirms a collection after gaps of several lengths. Only what an answer rules out is covered.
func TestCoverage(t *testing.T) {
	for name, test := range map[string]struct {
		gap, took time.Duration // since the last confirmation; of the call that ends it
		unchanged bool
		covered   bool // from before the gap on
	}{
		"no gap, changes":             {gap: maxUpdateGap, took: 2 * time.Second, covered: true},
		"no gap, no changes":          {gap: maxUpdateGap, took: 2 * time.Second, unchanged: true, covered: true},
		"a gap with changes":          {gap: maxUpdateGap + time.Millisecond, took: time.Millisecond},
		"a gap without changes":       {gap: time.Hour, took: time.Millisecond, unchanged: true, covered: true},
		"an answer from before a gap": {gap: time.Hour, took: time.Hour, unchanged: true},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			first := coverage{}.confirmed(start, start, false)
			end := start.Add(test.gap)
			covered := first.confirmed(end.Add(-test.took), end, test.unchanged)
			want := time.Duration(0)
			if test.covered {
				want = test.gap
			}
			if got := covered.duration(end); got != want {
				t.Errorf("covered for %s, want %s", got, want)
			}
			if got := covered.duration(end.Add(maxUpdateGap + time.Millisecond)); got != 0 {
				t.Errorf("covered for %s without a confirmation, want 0", got)
			}
		})
	}
	if got := (coverage{}).duration(time.Now()); got != 0 {
		t.Errorf("covered for %s before the first list, want 0", got)
	}
}

// TestStableVersionsAreRemembered has a version leave. The time since then is known for longer than clients usually need.
func TestStableVersionsAreRemembered(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFollower()
		applyUpdates(f, []storeUpdate{{fullList: true, version: 1, records: []Record{versionedRecord("a", "v1", 1)}}})
		applyUpdates(f, []storeUpdate{{version: 2, records: []Record{versionedRecord("b", "v2", 2)}}, {version: 3, records: []Record{deletedRecord("a", 3)}}})
		time.Sleep(5 * time.Minute)
		if got := f.View().versionStableFor("s", time.Now()); got != 5*time.Minute {
			t.Errorf("stable for %s, want 5 m", got)
		}
		if got := f.View().versionStableFor("other", time.Now()); got != versionMemory {
			t.Errorf("a service of one version is stable for %s, want %s", got, versionMemory)
		}
		time.Sleep(versionMemory)
		applyUpdates(f, []storeUpdate{{version: 4, records: []Record{versionedRecord("c", "v2", 4)}}})
		if count := len(f.View().seenVersions); count != 1 {
			t.Errorf("%d versions are kept, want 1", count)
		}
	})
}

// routeOf returns a route of a host to services.
func routeOf(prefix string, services ...string) routing.Route {
	one := routing.Route{Name: prefix, Host: "Site.example", PathPrefix: prefix}
	for _, service := range services {
		one.Backends = append(one.Backends, routing.Backend{Service: service, Weight: 1})
	}
	return one
}

// TestMovedRoutesAreKnown changes a configuration. A service counts as stable unless one of its paths was served by another
// service before.
func TestMovedRoutesAreKnown(t *testing.T) {
	before := []routing.Route{routeOf("/a/", "one"), routeOf("/b/", "two"), routeOf("/a/deep/", "three"), routeOf("/s/", "one", "two")}
	for name, test := range map[string]struct {
		after []routing.Route
		moved []string
	}{
		"unchanged":                 {before, nil},
		"another order":             {[]routing.Route{routeOf("/s/", "two", "one"), before[2], before[1], before[0]}, nil},
		"a route of its own":        {append(slices.Clone(before), routeOf("/new/", "four")), nil},
		"a route removed":           {[]routing.Route{before[0], before[2], before[3]}, nil},
		"to another service":        {[]routing.Route{routeOf("/a/", "four"), before[1], before[2], before[3]}, []string{"four"}},
		"split":                     {[]routing.Route{routeOf("/a/", "one", "four"), before[1], before[2], before[3]}, []string{"four", "one"}},
		"no longer split":           {[]routing.Route{before[0], before[1], before[2], routeOf("/s/", "two")}, []string{"two"}},
		"below another one":         {append(slices.Clone(before), routeOf("/a/x/", "four")), []string{"four"}},
		"below, of the same":        {append(slices.Clone(before), routeOf("/a/x/", "one")), nil},
		"no longer below it":        {[]routing.Route{before[0], before[1], before[3]}, []string{"one"}},
		"of a host in another case": {[]routing.Route{{Host: "SITE.example", PathPrefix: "/a/", Backends: []routing.Backend{{Service: "one"}}}, before[2]}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			moved := movedRoutes(nil).updated(nil, tableOf(before), now)
			moved = moved.updated(tableOf(before), tableOf(test.after), now)
			var services []string
			for service := range moved {
				services = append(services, service)
			}
			slices.Sort(services)
			if !slices.Equal(services, test.moved) {
				t.Errorf("moved are %q, want %q", services, test.moved)
			}
			view := View{movedRoutes: moved}
			for _, service := range test.moved {
				if got := view.versionStableFor(service, now.Add(VersionRetention-time.Second)); got != 0 {
					t.Errorf("service %s is stable for %s soon after, want 0", service, got)
				}
				if got := view.versionStableFor(service, now.Add(VersionRetention)); got != VersionRetention {
					t.Errorf("service %s is stable for %s, want %s", service, got, VersionRetention)
				}
			}
		})
	}
}

// tableOf returns the table of a configuration with routes.
func tableOf(routes []routing.Route) *routing.Table {
	return routing.NewTable(&routing.Configuration{Version: 1, Routes: routes})
}
