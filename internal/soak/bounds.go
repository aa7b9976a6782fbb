package soak

import (
	"slices"
	"time"
)

// Bounds that the soak writes into the settings files.
const (
	contactBound       = 4 * time.Second
	drainBound         = 3 * time.Second
	evacuationBound    = 5 * time.Second
	configurationBound = 3 * time.Second
	gracePeriod        = 8 * time.Second
)

// storeName stands for the store where disruptions are recorded by process name.
const storeName = ""

// disruptionWindow records the disruptions of one process, or of the store.
type disruptionWindow struct {
	active    int           // disruptions in progress
	lastEnded time.Duration // when the last one ended
	anyEnded  bool
}

func (w *disruptionWindow) begin() { w.active++ }

func (w *disruptionWindow) end(now time.Duration) {
	w.active--
	w.lastEnded, w.anyEnded = now, true
}

// undisturbedSince reports whether no disruption is in progress and none has ended after since.
func (w *disruptionWindow) undisturbedSince(since time.Duration) bool {
	return w == nil || w.active == 0 && (!w.anyEnded || w.lastEnded <= since)
}

// engineState is what the store records about an engine.
type engineState struct {
	service, zone string
	leaving       bool
	leavingSince  time.Duration
}

// routeVersion holds the services that a route goes to as of one version of the configuration.
type routeVersion struct {
	since    time.Duration
	services []string
}

// bounds holds the state of the checks that have a time bound.
type bounds struct {
	unplanned   map[string]*disruptionWindow // by process, and storeName
	planned     map[string]*disruptionWindow
	stops       map[string]time.Duration // when processes were last ordered to stop (SIGTERM)
	kills       map[string]time.Duration // when processes were last killed (SIGKILL)
	engines     map[string]*engineState
	evacuations map[string]time.Duration // by zone: when its evacuation was ordered
	routes      map[string][]routeVersion
}

func newBounds() bounds {
	return bounds{
		unplanned:   make(map[string]*disruptionWindow),
		planned:     make(map[string]*disruptionWindow),
		stops:       make(map[string]time.Duration),
		kills:       make(map[string]time.Duration),
		engines:     make(map[string]*engineState),
		evacuations: make(map[string]time.Duration),
		routes:      make(map[string][]routeVersion),
	}
}

// killVisibleFor bounds the time between the kill of a process and the moment when engines see its connections close.
const killVisibleFor = 100 * time.Millisecond

// otherJustKilled reports whether another process was killed at most killVisibleFor before now.
func (b *bounds) otherJustKilled(process string, now time.Duration) bool {
	for other, killed := range b.kills {
		if other != process && now >= killed && now-killed <= killVisibleFor {
			return true
		}
	}
	return false
}

// undisturbed reports whether a process and the store had no disruption since contactBound before from, or before now
// if that is earlier. It ignores planned disruptions of the process if ignorePlanned is set.
func (b *bounds) undisturbed(process string, from, now time.Duration, ignorePlanned bool) bool {
	since := min(from, now) - contactBound
	connected := b.unplanned[process].undisturbedSince(since) && b.unplanned[storeName].undisturbedSince(since)
	return connected && (ignorePlanned || b.planned[process].undisturbedSince(since))
}

// checkBounds checks an arrival against the promises with a time bound. The caller holds the mutex.
func (c *Checker) checkBounds(now time.Duration, a *attempt, engine string) {
	state := c.bounds.engines[engine]
	if state == nil || !c.bounds.undisturbed(a.Process, a.sent, now, false) {
		return
	}
	if c.bounds.anyDrainedEngineServes(state.service, now) {
		overdue := now - state.leavingSince
		c.check(!state.leaving || overdue <= drainBound, EngineLeft, now, a, engine, "reached an engine %.2f s after it was leaving", overdue.Seconds())
	}
	if c.bounds.anyEvacuationDue(now) {
		since, evacuated := c.bounds.evacuations[state.zone]
		overdue := now - since
		c.check(!evacuated || overdue <= evacuationBound, Evacuated, now, a, engine, "reached %s %.2f s after its evacuation", state.zone, overdue.Seconds())
	}
	if versions := c.bounds.routes[a.Route]; len(versions) > 0 {
		c.check(mayUseService(versions, a.sent, state.service), Configured, now, a, engine, "ran at service %s, which the versions that may be in force don't name", state.service)
	}
}

// anyDrainedEngineServes reports whether the service has an engine that is past its drain bound and still serves.
func (b *bounds) anyDrainedEngineServes(service string, now time.Duration) bool {
	for _, state := range b.engines {
		overdue := now - state.leavingSince
		if state.leaving && state.service == service && overdue > drainBound && overdue <= drainedLifetime+drainBound {
			return true
		}
	}
	return false
}

// anyEvacuationDue reports whether any zone's evacuation was ordered more than evacuationBound ago.
func (b *bounds) anyEvacuationDue(now time.Duration) bool {
	for _, since := range b.evacuations {
		if now-since > evacuationBound {
			return true
		}
	}
	return false
}

// mayUseService reports whether a configuration version that may be active for a request names the service.
func mayUseService(versions []routeVersion, sent time.Duration, service string) bool {
	for i, candidate := range versions {
		replaced := i+1 < len(versions) && versions[i+1].since+configurationBound < sent
		if slices.Contains(candidate.services, service) && !replaced {
			return true
		}
	}
	return false
}

// DisruptionStarted records that a disruption of a process, or of the store, starts.
func (c *Checker) DisruptionStarted(target string, planned bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.disruptions(target, planned).begin()
}

// DisruptionEnded records that a disruption has ended.
func (c *Checker) DisruptionEnded(now time.Duration, target string, planned bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.disruptions(target, planned).end(now)
}

func (c *Checker) disruptions(target string, planned bool) *disruptionWindow {
	windows := c.bounds.unplanned
	if planned {
		windows = c.bounds.planned
	}
	if windows[target] == nil {
		windows[target] = &disruptionWindow{}
	}
	return windows[target]
}

// Stopping records that a process is about to get the signal to stop.
func (c *Checker) Stopping(now time.Duration, process string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bounds.stops[process] = now
}

// Killed records that a process is about to be killed.
func (c *Checker) Killed(now time.Duration, process string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bounds.kills[process] = now
}

// Restarted records that a process was started again.
func (c *Checker) Restarted(process string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.bounds.stops, process)
}

// EngineAdded records an engine's entry in the store. The engine is cold for coldTime.
func (c *Checker) EngineAdded(now time.Duration, engine, service, zone string, coldTime time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bounds.engines[engine] = &engineState{service: service, zone: zone}
	if coldTime > 0 {
		c.cold.add(engine, now+coldTime)
	}
}

// EngineLeaving records that the store has accepted an entry by which an engine leaves. The drain bound is not checked
// for engines that leave while the store is disrupted.
func (c *Checker) EngineLeaving(now time.Duration, engine string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.streams.removeEngine(engine)
	state := c.bounds.engines[engine]
	if state != nil && !state.leaving && c.bounds.unplanned[storeName].undisturbedSince(now-contactBound) {
		state.leaving, state.leavingSince = true, now
	}
}

// ZoneEvacuated records that the store has accepted a zone's evacuation, or that its cancellation is about to be
// written.
func (c *Checker) ZoneEvacuated(now time.Duration, zone string, evacuated bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !evacuated {
		delete(c.bounds.evacuations, zone)
	} else if _, already := c.bounds.evacuations[zone]; !already {
		c.bounds.evacuations[zone] = now
	}
}

// RouteChanged records that the store has accepted a configuration in which a route goes to the given services.
func (c *Checker) RouteChanged(now time.Duration, route string, services ...string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bounds.routes[route] = append(c.bounds.routes[route], routeVersion{since: now, services: services})
}
