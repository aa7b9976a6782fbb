package zonewatch

import (
	"slices"
	"time"
)

// chooseProbes adds the probes that are due.
func (d *Detector) chooseProbes(now time.Time, actions *Actions) {
	checking := false
	for _, z := range d.zones {
		d.expire(z, now)
		switch {
		case !z.suspectedSince.IsZero():
			z.probe(1, probeInterval, &z.probedAt, now, actions, (*source).isPeer)
		case z.checking:
			checking = true
			z.probe(probesPerZone, probeInterval, &z.probedAt, now, actions, (*source).isPeer)
		case z.probe(recoveryBatch, recoveryProbeInterval, &z.probedAt, now, actions, (*source).isSuspected):
			// Also probe a trusted peer: its response may have been in flight when its zone was lost.
			// Requests of clients skip the others, so that nothing else would show the loss.
			z.addProbes(1, now, actions, (*source).isTrusted)
		}
	}
	if checking {
		d.probeReferences(now, actions)
	}
	d.chooseStoreProbe(now, actions, checking)
}

// probeReferences adds probes of some peers of each other zone, so that somebody elsewhere responds if anybody
// is reachable.
func (d *Detector) probeReferences(now time.Time, actions *Actions) {
	for _, z := range d.zones {
		if !z.checking && z.suspectedSince.IsZero() {
			z.probe(referenceProbesPerZone, probeInterval, &z.referenceProbedAt, now, actions, (*source).isPeer)
		}
	}
}

// chooseStoreProbe adds a probe of the store if one is due and this node may be isolated, or is. While most zones are
// silent the store is probed until it answers a probe that was sent once they count as lost: a late answer to an earlier one
// does not show that it is still reachable.
func (d *Detector) chooseStoreProbe(now time.Time, actions *Actions, checking bool) {
	interval := storeProbeInterval
	if d.isolatedSince.IsZero() {
		interval = probeInterval
	}
	awaited := !d.mostSilentSince.IsZero() && !d.storeAnsweredSentAt.After(d.mostSilentSince.Add(maxSilence))
	due := checking && len(actions.Probe) > 0 || awaited || d.mayBeIsolated || !d.isolatedSince.IsZero()
	if due && now.Sub(d.storeProbedAt) >= interval {
		d.storeProbedAt = now
		actions.ProbeStore = true
	}
}

func (s *source) isPeer() bool { return s.peer }

func (s *source) isSuspected() bool { return s.peer && !s.suspectedAt.IsZero() }

func (s *source) isTrusted() bool { return s.peer && s.suspectedAt.IsZero() }

// probe adds probes of some sources if the last round is an interval ago. It reports whether it added any.
func (z *zone) probe(count int, interval time.Duration, last *time.Time, now time.Time, actions *Actions, include func(*source) bool) bool {
	if now.Sub(*last) < interval || !z.addProbes(count, now, actions, include) {
		return false
	}
	*last = now
	return true
}

// addProbes adds probes of some sources, least recently probed first, and reports whether there were any.
func (z *zone) addProbes(count int, now time.Time, actions *Actions, include func(*source) bool) bool {
	var addresses []string
	for address, src := range z.sources {
		if include(src) {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return false
	}
	slices.Sort(addresses)
	slices.SortStableFunc(addresses, func(a, b string) int {
		return z.sources[a].probedAt.Compare(z.sources[b].probedAt)
	})
	for _, address := range addresses[:min(count, len(addresses))] {
		z.sources[address].probedAt = now
		actions.Probe = append(actions.Probe, address)
	}
	return true
}

// expire drops what is too old to count.
func (d *Detector) expire(z *zone, now time.Time) {
	anyRecent := false
	for address, src := range z.sources {
		if z.suspectedSince.IsZero() && !src.suspectedAt.IsZero() && now.Sub(src.suspectedAt) > suspicionLifetime {
			src.suspectedAt = time.Time{}
		}
		recent := !src.unansweredSince.IsZero() && now.Sub(src.timedOutAt) <= evidenceLifetime
		anyRecent = anyRecent || recent
		if !src.peer && !recent && z.suspectedSince.IsZero() {
			delete(z.sources, address)
		}
	}
	probesExpired := !z.probedAt.IsZero() && now.Sub(z.probedAt) > evidenceLifetime
	if !z.hasPeers() || (!anyRecent && probesExpired) {
		z.checking = false
	}
}

// nextStep returns the time until the next step is due; 0 if none is.
func (d *Detector) nextStep() time.Duration {
	wait := time.Duration(0)
	if d.mayBeIsolated || !d.isolatedSince.IsZero() {
		wait = probeInterval
	}
	for _, z := range d.zones {
		switch {
		case z.checking || !z.suspectedSince.IsZero():
			wait = shorter(wait, probeInterval/5)
		case z.anySuspected():
			wait = shorter(wait, recoveryProbeInterval)
		}
	}
	return wait
}

func (z *zone) anySuspected() bool {
	for _, src := range z.sources {
		if src.isSuspected() {
			return true
		}
	}
	return false
}

// shorter returns the shorter of two durations, where 0 means none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}
