// Package outliers decides which engines are excluded because they fail, and when each is
// tried again.
//
// A node evaluates engines by its own requests: each failure is evidence with a weight,
// and a successful request clears all of it. Evidence of enough weight ejects the engine
// for a duration that doubles each time, until the engine has had no failure for
// failureWindow. After the ejection the engine gets a health check, and then one trial request.
// A node that ejects an engine by its own evidence reports this to the others. They
// accept the reports of two nodes, or the report of one and a failure of their own.
//
// Nothing in this package does I/O or reads a clock.
package outliers

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Weights of evidence.
const (
	// ejectWeight is the weight that ejects an engine.
	ejectWeight = 2
	// weakWeight is the weight of a failure that healthy engines have too: some lose a few
	// answers in a hundred, and some requests fail on every engine.
	weakWeight = 1
)

// Durations.
const (
	// singleFailureExclusion is how long a node excludes an engine, without a report to others,
	// after one failure of weakWeight.
	singleFailureExclusion = time.Second
	// firstEjection is the duration of the first ejection of an engine, and maxEjection the max.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// failureWindow is how long a failure counts, and how long an engine must have no failure
	// until its next ejection is a first one again. Flapping engines fail about every 3 s
	// and must not count as healthy in between.
	failureWindow = 10 * time.Second
	// trialTimeout is how long after a successful health check a node still reports an engine as
	// failing while it has no request to try the engine with.
	trialTimeout = time.Second
	// successOverridesReports is how long a success on this node overrides the reports of others.
	successOverridesReports = time.Second
)

// maxEjectedFraction is the max fraction of a service's usable engines that are excluded. If more
// of them fail, the cause is more likely this node or the network.
const maxEjectedFraction = 0.5

// minReports is how many other nodes must report an engine as failing.
const minReports = 2

// Evidence is the kind of failure of a request or a health check.
type Evidence int

// Kinds of evidence.
const (
	// Indicative is a failure that healthy engines have too: an answer that reports an error.
	Indicative Evidence = iota
	// ConnectionLost is a connection that ended before the answer was complete. This occasionally
	// happens with healthy engines too; a health check shows whether it happens with every connection.
	ConnectionLost
	// Conclusive is a failure that healthy engines do not have: no connection, another engine at the
	// address, or a health check whose connection was lost too.
	Conclusive
)

// Basis is the reason why an engine is excluded.
type Basis string

// Values of Basis.
const (
	OwnFailures   Basis = "own"       // requests of this node failed
	PeerReports   Basis = "told"      // other nodes report the engine as failing
	Corroborated  Basis = "confirmed" // another node reports it, and a request of this one failed
	SingleFailure Basis = "doubt"     // one request of this node failed; no other node reports the engine
)

// Status is the current status of an engine. The zero value means no restriction.
type Status struct {
	Excluded  bool // no request may be sent to it
	Basis     Basis
	Until     time.Time // end of the exclusion; zero: until the reports of others end
	TrialOnly bool      // only one request at a time may be sent to it
}

// record is the state of one engine.
type record struct {
	weight        int           // of failures since the last success
	lastFailure   time.Time     // time of the last failure
	ejection      time.Duration // duration of the last ejection, without jitter
	until         time.Time     // end of the ejection or of the exclusion after a single failure
	ejected       bool          // by own evidence, until a request succeeds
	needsCheck    bool          // a health check is due, whether or not the engine is ejected
	checking      bool          // a health check is in progress
	checkedOK     time.Time     // when a health check after the ejection succeeded
	lastSuccess   time.Time     // time of the last success
	peerReports   int           // number of other nodes that report it as failing
	reportedSince time.Time     // since when there are at least minReports
	zoneRestored  bool          // its zone was lost and is restored; no success since then
}

// Detector evaluates engines by their IDs. Not safe for concurrent use.
type Detector struct {
	engines map[string]*record
}

// New returns a detector without any failures.
func New() *Detector { return &Detector{engines: make(map[string]*record)} }

// RecordFailure records a failure. jitter, from 0 to 1, keeps nodes from retrying together.
func (d *Detector) RecordFailure(engine string, evidence Evidence, now time.Time, jitter float64) {
	rec := d.engines[engine]
	if rec == nil {
		rec = &record{}
		d.engines[engine] = rec
	}
	if now.Sub(rec.lastFailure) > failureWindow {
		rec.weight, rec.ejection = 0, 0
	}
	rec.lastFailure = now
	rec.checkedOK = time.Time{}
	rec.needsCheck = evidence == ConnectionLost && !rec.ejected
	if rec.weight += weakWeight; evidence == Conclusive {
		rec.weight = ejectWeight
	}
	switch {
	case rec.weight < ejectWeight:
		rec.until = now.Add(singleFailureExclusion)
	case !rec.ejected || !now.Before(rec.until):
		rec.ejected = true
		rec.ejection = min(maxEjection, max(firstEjection, 2*rec.ejection))
		rec.until = now.Add(jittered(rec.ejection, jitter))
	}
}

// jittered returns a duration that is up to a quarter longer.
func jittered(duration time.Duration, jitter float64) time.Duration {
	return duration + time.Duration(float64(duration)*min(1, max(0, jitter))/4)
}

// RecordSuccess records that an engine answered a request, which clears its failures.
func (d *Detector) RecordSuccess(engine string, now time.Time) {
	rec := d.engines[engine]
	if rec == nil {
		return
	}
	rec.lastSuccess = now
	rec.zoneRestored = false
	rec.weight, rec.ejected, rec.until = 0, false, time.Time{}
}

// ZoneRestored records that an engine's zone, which was lost, is restored. Only one request at a
// time may be sent to the engine until one succeeds.
func (d *Detector) ZoneRestored(engine string) {
	rec := d.engines[engine]
	if rec == nil {
		rec = &record{}
		d.engines[engine] = rec
	}
	rec.zoneRestored = true
}

// SetPeerReports replaces the reports of other nodes: how many report each engine as failing. This
// node checks an engine when it is first reported, if shouldCheck selects the engine.
func (d *Detector) SetPeerReports(reports map[string]int, shouldCheck func(engine string) bool, now time.Time) {
	for engine := range reports {
		if d.engines[engine] == nil {
			d.engines[engine] = &record{}
		}
	}
	for engine, rec := range d.engines {
		count := max(0, reports[engine])
		if count > 0 && rec.peerReports == 0 && !rec.ejected && shouldCheck(engine) {
			rec.needsCheck = true
		}
		if count >= minReports && rec.peerReports < minReports {
			rec.reportedSince = now
		}
		rec.peerReports = count
	}
}

// ReportedFailing returns the engines that this node reports as failing, sorted.
func (d *Detector) ReportedFailing(now time.Time) []string {
	var engines []string
	for engine, rec := range d.engines {
		if rec.reportsFailing(now) {
			engines = append(engines, engine)
		}
	}
	slices.Sort(engines)
	return engines
}

// reportsFailing reports whether this node reports the engine as failing to other nodes.
func (r *record) reportsFailing(now time.Time) bool {
	if !r.ejected {
		return false
	}
	return r.checkedOK.IsZero() || now.Sub(r.checkedOK) < trialTimeout
}

// TakeDueChecks returns the engines whose health check is due, sorted. It returns an engine again
// only after RecordCheck.
func (d *Detector) TakeDueChecks(now time.Time) []string {
	var engines []string
	for engine, rec := range d.engines {
		if !rec.checking && (rec.needsCheck || rec.checkDue(now)) {
			rec.checking = true
			engines = append(engines, engine)
		}
	}
	slices.Sort(engines)
	return engines
}

// checkDue reports whether the ejection is over and no health check has succeeded since.
func (r *record) checkDue(now time.Time) bool {
	return r.ejected && r.checkedOK.IsZero() && !now.Before(r.until)
}

// RecordCheck records the result of a health check that TakeDueChecks returned. A successful check
// does not clear the engine: it allows one trial request.
func (d *Detector) RecordCheck(engine string, failing bool, now time.Time, jitter float64) {
	rec := d.engines[engine]
	if rec == nil {
		return
	}
	rec.checking, rec.needsCheck = false, false
	if failing {
		d.RecordFailure(engine, Conclusive, now, jitter)
		return
	}
	if rec.checkDue(now) {
		rec.checkedOK = now
	}
}

// KeepOnly removes the engines that are not present.
func (d *Detector) KeepOnly(present func(engine string) bool) {
	maps.DeleteFunc(d.engines, func(engine string, _ *record) bool { return !present(engine) })
}

// statusOf returns the status of one engine without regard to the other engines.
func (d *Detector) statusOf(engine string, now time.Time) Status {
	rec := d.engines[engine]
	switch {
	case rec == nil:
		return Status{}
	case rec.ejected && rec.checkedOK.IsZero():
		return Status{Excluded: true, Basis: OwnFailures, Until: rec.until}
	case rec.believesPeers(now):
		return Status{Excluded: true, Basis: PeerReports}
	case rec.peerReports > 0 && rec.weight > 0 && now.Sub(rec.lastFailure) < failureWindow:
		return Status{Excluded: true, Basis: Corroborated}
	case rec.ejected, rec.zoneRestored && !now.Before(rec.until):
		return Status{TrialOnly: true}
	case now.Before(rec.until):
		return Status{Excluded: true, Basis: SingleFailure, Until: rec.until}
	}
	return Status{}
}

// believesPeers reports whether the reports of others count: there are at least minReports, and
// no request of this node has succeeded since, or that success is older than
// successOverridesReports.
func (r *record) believesPeers(now time.Time) bool {
	if r.peerReports < minReports || r.ejected {
		return false
	}
	return !r.lastSuccess.After(r.reportedSince) || now.Sub(r.lastSuccess) > successOverridesReports
}

// Evaluate returns the status of the usable engines of one service; an engine that it leaves out has
// no restriction. At most maxEjectedFraction of the engines, rounded up, are excluded; the other
// failing ones, those with the oldest last failure, may be used nevertheless.
func (d *Detector) Evaluate(usable []string, now time.Time) map[string]Status {
	statuses := make(map[string]Status)
	var excluded []string
	for _, engine := range usable {
		status := d.statusOf(engine, now)
		if status == (Status{}) {
			continue
		}
		statuses[engine] = status
		if status.Excluded {
			excluded = append(excluded, engine)
		}
	}
	maxExcluded := int(math.Ceil(maxEjectedFraction * float64(len(usable))))
	if len(usable) == 1 {
		maxExcluded = 0 // there is no other engine
	}
	if len(excluded) <= maxExcluded {
		return statuses
	}
	slices.SortFunc(excluded, func(a, b string) int {
		return cmp.Or(d.engines[b].lastFailure.Compare(d.engines[a].lastFailure), cmp.Compare(a, b))
	})
	for _, engine := range excluded[maxExcluded:] {
		delete(statuses, engine)
	}
	return statuses
}
