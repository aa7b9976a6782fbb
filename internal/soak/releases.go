package soak

import (
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// maxReleaseLead is the longest time from the end of a release to the kill: streams of the other versions are still in progress, or have
// just been aborted.
const maxReleaseLead = 100 * time.Millisecond

// releaseAndKillAll moves the service of models to one software version: engines of all others are replaced, and their entries removed.
// Then all processes are killed at once, and started again: they list one version, while clients resume streams of the others. It
// returns false if another fault is applied to one of the engines, or if all have the version already.
func (d *deployment) releaseAndKillAll(fault Fault) bool {
	var engines []*slot
	for _, s := range d.slots {
		if s.service != serviceModels {
			continue
		}
		if !s.busy.TryLock() {
			return false
		}
		defer s.busy.Unlock()
		engines = append(engines, s)
	}
	released := engines[fault.Target%uint64(len(engines))].current.Version()
	others := slices.DeleteFunc(engines, func(s *slot) bool { return s.current.Version() == released })
	if len(others) == 0 {
		return false
	}
	return d.killAll(func() {
		for _, s := range others {
			d.replaceWithVersion(s, released)
		}
		backoff.Wait(d.context, time.Duration(fault.Target>>32%uint64(maxReleaseLead)))
	})
}

// replaceWithVersion replaces a slot's engine by one of a software version.
func (d *deployment) replaceWithVersion(s *slot, version string) {
	s.released = version
	d.retireEngine(s, false) // an entry that says draining would still name its version
	s.released = ""
}
