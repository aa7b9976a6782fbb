package discovery

import (
	"time"
)

// maxUpdateGap is the maximum time between two confirmations of a collection within which nothing can have come and gone
// unseen. A source returns the newest state of each record that has changed, and none between. An engine is listed
// for longer than this, since even the entry of one that crashes at once stays for some heartbeats.
const maxUpdateGap = 3 * time.Second

// coverage is the period for which every state of a collection has been seen.
type coverage struct {
	since time.Time // zero before the first list
	until time.Time // time of the last confirmation
}

// confirmed returns the coverage after an answer of the source to a call that began at some time. unchanged reports that the
// answer is that nothing has changed since the last one.
func (c coverage) confirmed(begun, now time.Time, unchanged bool) coverage {
	switch {
	case c.since.IsZero():
		c.since = now
	case now.Sub(c.until) <= maxUpdateGap:
	case unchanged && now.Sub(begun) <= maxUpdateGap: // an answer that is older may have waited on the connection while this process did not run
	default:
		c.since = now
	}
	c.until = now
	return c
}

// duration returns how long the collection has been covered until now; 0 if the last confirmation is too old.
func (c coverage) duration(now time.Time) time.Duration {
	if c.since.IsZero() || now.Sub(c.until) > maxUpdateGap {
		return 0
	}
	return now.Sub(c.since)
}

// confirm extends a collection's coverage by an answer of the source. It is called by the collection's loop only.
func (f *Follower) confirm(collection Collection, begun time.Time, unchanged bool) {
	next := f.coverage(collection).confirmed(begun, time.Now(), unchanged)
	f.coverages[collection].Store(&next)
}

// coverage returns a collection's coverage. It does not wait for a view that is being built, since requests ask for it.
func (f *Follower) coverage(collection Collection) coverage {
	if current := f.coverages[collection].Load(); current != nil {
		return *current
	}
	return coverage{}
}

// earlierKnowledge is what a node learned of the time before it had seen every change. It is immutable.
type earlierKnowledge struct {
	since time.Time                // for which CoveredSince it is valid
	known map[string]time.Duration // for how long before that each service had no other versions and shared no route
}

// CoveredSince returns since when every change of engines and configuration has been seen; zero before the first lists.
func (f *Follower) CoveredSince() time.Time {
	configurations, engines := f.coverage(Configurations).since, f.coverage(Engines).since
	if configurations.IsZero() || engines.IsZero() {
		return time.Time{}
	}
	if engines.After(configurations) {
		return engines
	}
	return configurations
}

// SetEarlier sets for how long each service certainly had no software versions but the present ones, and shared no route, before
// the node saw every change. It has no effect if since is no longer what CoveredSince returns. The map must not change after
// the call.
func (f *Follower) SetEarlier(since time.Time, known map[string]time.Duration) {
	f.earlier.Store(&earlierKnowledge{since: since, known: known})
}

// VersionKnownFor returns for how long until now a service has had no software versions but those that SoftwareVersions returns
// for VersionRetention, and no stream of a route that leads to it can have started at another service, as far as this node
// can tell. It is 0 if the collections have not been confirmed recently, and counts from the last time at which the node may
// have missed a change, or from before that as SetEarlier states.
func (f *Follower) VersionKnownFor(service string, now time.Time) time.Duration {
	earlier := f.earlier.Load()
	known := min(f.coverage(Configurations).duration(now), f.coverage(Engines).duration(now))
	if known > 0 && earlier != nil && earlier.since.Equal(f.CoveredSince()) {
		known += earlier.known[service]
	}
	return min(known, f.View().versionStableFor(service, now))
}
