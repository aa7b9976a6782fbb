package soak

import (
	"maps"
	"slices"
	"testing"
)

// TestAnEngineComesBackColdAloneOrWithItsService crashes one engine, and all of its service.
func TestAnEngineComesBackColdAloneOrWithItsService(t *testing.T) {
	for name, test := range map[string]struct {
		target uint64
		want   []string
	}{"alone": {0, []string{"portal1-2"}}, "all": {1 << 32, []string{"portal1-2", "portal2-2"}}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, end := storeDeployment(t, 0)
			defer end()
			for _, s := range []*slot{{name: "portal1", service: servicePortal}, {name: "portal2", service: servicePortal}, {name: "models1", service: serviceModels}} {
				d.slots = append(d.slots, s)
				d.addEngine(s, 0)
				defer func() { s.current.end() }()
			}
			d.inject(Fault{Kind: EngineCold, Target: test.target})
			if cold := slices.Sorted(maps.Keys(d.judge.cold.engines)); !slices.Equal(cold, test.want) {
				t.Errorf("cold are %v, want %v", cold, test.want)
			}
		})
	}
}
