package soak

import (
	"math"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// Values of the settings that the operator changes.
const (
	routeTimeout = 4 * time.Second
	minTimeout   = 2 * time.Second // of routes, also during faults
	initialIdle  = 15 * time.Second
	weightSteps  = 10
)

// idleTimeouts are the values that the idle timeout of connections can take.
var idleTimeouts = []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second, initialIdle}

// settingsVariant holds the settings that change between versions of the configuration.
type settingsVariant struct {
	movedTo       string
	secondService string // second service of the moved route; empty for none
	weight        float64
	timeout       time.Duration // of all routes
	idleTimeout   time.Duration
}

var initialVariant = settingsVariant{movedTo: servicePortal, timeout: routeTimeout, idleTimeout: initialIdle}

// otherService returns the other of the two services that the moved route can go to.
func otherService(service string) string {
	if service == servicePortal {
		return serviceOther
	}
	return servicePortal
}

// next returns the variant after a change.
func (v settingsVariant) next(fault Fault) settingsVariant {
	switch fault.Kind {
	case ConfigurationReroute:
		v.movedTo, v.secondService = otherService(v.movedTo), ""
	case ConfigurationWeights:
		v.secondService, v.weight = otherService(v.movedTo), float64(1+fault.Target%(weightSteps-1))/weightSteps
	case ConfigurationTimeout:
		v.timeout = minTimeout + time.Duration(fault.Target%uint64(routeTimeout-minTimeout))
	case ConfigurationIdle:
		v.idleTimeout = idleTimeouts[fault.Target%uint64(len(idleTimeouts))]
	}
	return v
}

// services returns the services that the moved route goes to.
func (v settingsVariant) services() []string {
	if v.secondService == "" {
		return []string{v.movedTo}
	}
	return []string{v.movedTo, v.secondService}
}

// settingVersion is the value of a duration setting as of one version of the configuration.
type settingVersion struct{ since, value time.Duration }

// setting holds the values of a duration setting in all versions of the configuration. Safe for concurrent use.
type setting struct {
	mutex    sync.Mutex
	versions []settingVersion
}

func (s *setting) add(now, value time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.versions = append(s.versions, settingVersion{since: now, value: value})
}

// shortest returns the smallest value that may have been active at a connected process between lookBack ago and now.
func (s *setting) shortest(now, lookBack time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	shortest := time.Duration(math.MaxInt64)
	for number, version := range s.versions {
		replaced := number+1 < len(s.versions) && s.versions[number+1].since+configurationBound+lookBack < now
		if !replaced {
			shortest = min(shortest, version.value)
		}
	}
	return shortest
}

// reconfigure changes one setting and writes the configuration.
func (d *deployment) reconfigure(fault Fault) bool {
	d.configMutex.Lock()
	defer d.configMutex.Unlock()
	d.variant = d.variant.next(fault)
	d.configure()
	return true
}

// configure writes the configuration with the next version. Callers apply a shorter idle timeout at once.
func (d *deployment) configure() {
	d.version++
	services := []operators.Service{
		{Name: serviceModels, TokensPerEvent: tokensPerEvent, ColdDuration: coldDuration, ColdRequestsPerSecond: coldPerSecond},
		{Name: servicePortal, ColdDuration: coldDuration, ColdRequestsPerSecond: coldPerSecond},
		{Name: serviceOther, ColdDuration: coldDuration, ColdRequestsPerSecond: coldPerSecond},
	}
	v := d.variant
	routes := []operators.Route{
		{Name: routeKept, Kind: "stream", Service: serviceModels, Timeout: v.timeout, Attempts: 2, Retention: turnRetention},
		{Name: routeResumed, Kind: "stream", Service: serviceModels, Timeout: v.timeout, Attempts: 3, Resumable: true},
		{Name: routeOnce, Kind: "stream", Service: serviceModels, Timeout: v.timeout, Attempts: 1, Resumable: true},
		{Name: routeSafe, Kind: "safe", Service: servicePortal, Timeout: v.timeout, Attempts: 3},
		{Name: routeUnsafe, Kind: "unsafe", Service: servicePortal, Timeout: v.timeout, Attempts: 2},
		{Name: routeMoved, Kind: "safe", Service: v.movedTo, SecondService: v.secondService, SecondWeight: v.weight, Timeout: v.timeout, Attempts: 3},
	}
	d.idleTimeout.add(d.now(), v.idleTimeout)
	d.timeout.add(d.now(), v.timeout)
	configuration := operators.Configuration(d.version, host, services, routes, tenants, v.idleTimeout)
	operators.SetBodyLimit(configuration, maxLargeBodyBytes)
	d.store.PutConfiguration(configuration)
	d.checker.RouteChanged(d.now(), routeMoved, v.services()...)
}
