package placement

// keptDivisor is which part of an engine's slots is kept for streams that only its version can go on with, where its
// version is the lesser one. Streams that break off come a few at a time; new ones have the other engines.
const keptDivisor = 4

// versionKey names one software version of a service.
type versionKey struct{ service, version string }

// lesserVersions returns the versions of services with several that at most half of the service's engines
// run. New streams fill all engines alike, so that without places of their own the streams that must stay at
// such a version would find none while a release goes on. The mutex is held.
func (p *Placer) lesserVersions() map[versionKey]bool {
	engines := make(map[string]int)
	ofVersion := make(map[versionKey]int)
	for _, engine := range p.engines {
		if !engine.Draining {
			engines[engine.Service]++
			ofVersion[versionKey{engine.Service, engine.Version}]++
		}
	}
	lesser := make(map[versionKey]bool)
	for key, count := range ofVersion {
		if 2*count <= engines[key.service] {
			lesser[key] = true
		}
	}
	return lesser
}

// keptSlots returns how many of an engine's slots are kept for streams of its version.
func keptSlots(slots int, lesser bool) int {
	if !lesser {
		return 0
	}
	return max(1, slots/keptDivisor)
}
