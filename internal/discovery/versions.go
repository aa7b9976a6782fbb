package discovery

import (
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// VersionRetention is how long a software version is kept after its last engine was removed. No client waits that
// long for a stream that an engine of it began.
const VersionRetention = time.Minute

// versionMemory is how long it is known when a version's last engine was removed.
const versionMemory = 10 * time.Minute

// seenVersion is one software version of a service.
type seenVersion struct {
	service, version string
	unlistedSince    time.Time // when its last engine was removed; zero while one is listed
}

// seenVersions are the versions that are listed, or were within versionMemory. It is immutable.
type seenVersions []seenVersion

// updated returns the versions after a change of the listed engines.
func (s seenVersions) updated(engines map[string]routing.Engine, now time.Time) seenVersions {
	next := make(seenVersions, 0, len(s))
	for _, engine := range engines {
		if !slices.ContainsFunc(next, func(one seenVersion) bool { return one.is(engine.Service, engine.Version) }) {
			next = append(next, seenVersion{service: engine.Service, version: engine.Version})
		}
	}
	for _, previous := range s {
		if slices.ContainsFunc(next, func(one seenVersion) bool { return one.is(previous.service, previous.version) }) {
			continue
		}
		if previous.unlistedSince.IsZero() {
			previous.unlistedSince = now
		}
		if now.Sub(previous.unlistedSince) < versionMemory {
			next = append(next, previous)
		}
	}
	return next
}

func (v seenVersion) is(service, version string) bool {
	return v.service == service && v.version == version
}

// SoftwareVersions returns the versions of a service's engines that are listed or were within a duration before now,
// in lexical order.
func (v *View) SoftwareVersions(service string, now time.Time, within time.Duration) []string {
	var versions []string
	for _, one := range v.seenVersions {
		if one.service == service && (one.unlistedSince.IsZero() || now.Sub(one.unlistedSince) < within) {
			versions = append(versions, one.version)
		}
	}
	slices.Sort(versions)
	return versions
}

// versionStableFor returns how long ago an engine of a service was last listed with a version that is not retained, up to
// versionMemory. It is 0 if a route that leads to the service led elsewhere within VersionRetention.
func (v *View) versionStableFor(service string, now time.Time) time.Duration {
	stable := versionMemory
	for _, one := range v.seenVersions {
		if one.service != service || one.unlistedSince.IsZero() {
			continue
		}
		if age := now.Sub(one.unlistedSince); age >= VersionRetention {
			stable = min(stable, age)
		}
	}
	if movedAt, moved := v.movedRoutes[service]; moved {
		age := now.Sub(movedAt)
		if age < VersionRetention {
			return 0
		}
		stable = min(stable, age)
	}
	return stable
}

// ListsVersion reports whether an engine of a service is listed that runs a software version.
func (v *View) ListsVersion(service, version string) bool {
	return slices.ContainsFunc(v.seenVersions, func(one seenVersion) bool {
		return one.is(service, version) && one.unlistedSince.IsZero()
	})
}

// HasVersion reports whether an engine of a service is listed that runs a software version and accepts new requests.
func (v *View) HasVersion(service, version string) bool {
	for _, engine := range v.Engines {
		if engine.Service == service && engine.Version == version && !engine.Draining {
			return true
		}
	}
	return false
}

// VersionIsCertain reports whether a request that was sent at some time to an engine of a name and software version
// certainly did not reach a later incarnation of another version that this view did not list yet.
func (v *View) VersionIsCertain(name, version string, sent time.Time) bool {
	for _, other := range v.Engines {
		if other.Name == name && other.Version != version && sent.After(other.ListedAt.Add(-discoveryLag)) {
			return false
		}
	}
	return true
}

// EngineOf returns the listed engine of a name, whatever its version.
func (v *View) EngineOf(name string) (routing.Engine, bool) {
	for _, engine := range v.Engines {
		if engine.Name == name {
			return engine, true
		}
	}
	return routing.Engine{}, false
}
