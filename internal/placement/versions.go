package placement

// reservedDivisor sets the fraction of an engine's slots, 1/reservedDivisor, that is reserved for streams that only its
// version can continue, if that is a minority version. Interrupted streams come a few at a time; new ones can use the
// other engines.
const reservedDivisor = 4

// versionKey identifies one software version of a service.
type versionKey struct{ service, version string }

// minorityVersions returns the versions, of services with several, that at most half of the service's engines
// run. New streams fill all engines alike. Without reserved slots, the streams that must stay at such a version
// would find no slot during a release. The mutex is held.
func (p *Placer) minorityVersions() map[versionKey]bool {
	ofService := make(map[string]int)
	ofVersion := make(map[versionKey]int)
	for _, engine := range p.engines {
		if !engine.Draining {
			ofService[engine.Service]++
			ofVersion[versionKey{engine.Service, engine.Version}]++
		}
	}
	minority := make(map[versionKey]bool)
	for key, count := range ofVersion {
		if 2*count <= ofService[key.service] {
			minority[key] = true
		}
	}
	return minority
}

// reservedSlots returns how many of an engine's slots are reserved for streams of its version.
func reservedSlots(slots int, minority bool) int {
	if !minority {
		return 0
	}
	return max(1, slots/reservedDivisor)
}
