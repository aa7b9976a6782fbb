package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pewtermill/pewtermill/internal/loads"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// Parameters of sampling engines.
const (
	// minSampled is the minimum number of engines that a call chooses from, and about how many
	// calls all nodes together may send one engine between two aggregates.
	minSampled = 8
	// arrivalSmoothing is the time constant of the smoothed arrival rate.
	arrivalSmoothing = 2 * time.Second
	// maxPendingPrefixes bounds the prefixes waiting to be reported.
	maxPendingPrefixes = 4096
)

// fleet holds the load reports of the other nodes. The placer's mutex guards it.
type fleet struct {
	otherCounts     loads.Counts // counts of other nodes; nil while there are no load reports
	nodes           int          // other nodes in the last aggregate
	reportInterval  time.Duration
	received        time.Time // when the last aggregate was received
	pendingPrefixes []loads.Prefix
	engineIDs       map[loads.EngineKey]string

	failureKeys map[string]loads.EngineKey // keys that count the nodes reporting an engine as failing, by its id

	disallows func(Request, routing.Engine) bool // whether a call may not use an engine; nil if none is disallowed

	heldBack     func(id string) bool // whether an engine is cold and takes no call now, or is skipped with its zone; nil if none is
	random       *rand.Rand
	arrivalRates map[string]*rate // by service
}

// rate is an exponentially smoothed number of events per second.
type rate struct {
	perSecond float64
	at        time.Time
}

// count records one event.
func (r *rate) count(now time.Time) {
	elapsed := now.Sub(r.at)
	r.at = now
	r.perSecond = r.perSecond*math.Exp(-float64(elapsed)/float64(arrivalSmoothing)) + float64(time.Second)/float64(arrivalSmoothing)
}

// InFlight implements loads.Placer.
func (p *Placer) InFlight() loads.Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counts := make(loads.Counts)
	for id, calls := range p.ownCalls {
		if calls > 0 {
			counts[loads.KeyOf(id)] += calls
		}
	}
	for service, calls := range p.demand.queued {
		counts[loads.QueueKey(service)] += calls
	}
	for service, programs := range p.demand.pendingPrograms {
		counts[loads.PendingKey(service)] += programs
	}
	for _, id := range p.failing.detector.ReportedFailing(time.Now()) {
		counts[loads.FailureKey(id)]++
	}
	for zone := range p.lostZones.zones {
		counts[loads.LostZoneKey(zone)]++
	}
	return counts
}

// TakePrefixes implements loads.Placer.
func (p *Placer) TakePrefixes() []loads.Prefix {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	prefixes := p.fleet.pendingPrefixes
	p.fleet.pendingPrefixes = nil
	return prefixes
}

// ReceiveLoads implements loads.Placer.
func (p *Placer) ReceiveLoads(aggregate loads.Aggregate) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fleet.otherCounts, p.fleet.nodes, p.fleet.reportInterval = aggregate.Others, aggregate.Nodes, aggregate.ReportInterval
	p.fleet.received = now
	p.applyFailureReports(aggregate, now)
	p.reportLostZones(aggregate)
	for _, prefix := range aggregate.Prefixes {
		if prefix.Engine == loads.RejectedKey {
			p.demand.rejected.add(prefix.Hash)
			continue
		}
		if id, found := p.fleet.engineIDs[prefix.Engine]; found {
			p.index.addPart(id, prefix.Hash, wholePart)
		}
	}
	p.refresh(now)
}

// ReportingNodes returns the number of other nodes in the last aggregate, or 0 while there are no
// load reports.
func (p *Placer) ReportingNodes() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.fleet.otherCounts == nil {
		return 0
	}
	return p.fleet.nodes
}

// LoadsComplete reports whether the calls of other nodes are known, or known to be none.
func (p *Placer) LoadsComplete() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fleet.otherCounts != nil
}

// ExpireLoads implements loads.Placer. It keeps the number of nodes: when they report nothing,
// choosing the engine that seems idle is no safer.
func (p *Placer) ExpireLoads() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.fleet.otherCounts = nil
	p.applyFailureReports(loads.Aggregate{}, now)
	p.refresh(now)
}

// otherInFlight returns the calls of other nodes in flight at an engine. The mutex is held.
func (p *Placer) otherInFlight(engine string) int { return p.fleet.otherCounts[loads.KeyOf(engine)] }

// setEngines replaces the engines.
func (f *fleet) setEngines(engines map[string]routing.Engine) {
	f.engineIDs = make(map[loads.EngineKey]string, len(engines))
	f.failureKeys = make(map[string]loads.EngineKey, len(engines))
	for id := range engines {
		f.engineIDs[loads.KeyOf(id)] = id
		f.failureKeys[id] = loads.FailureKey(id)
	}
}

// addPending queues a report to other nodes that an engine has cached a prefix.
func (f *fleet) addPending(engine string, prefix uint64) {
	if len(f.pendingPrefixes) < maxPendingPrefixes {
		f.pendingPrefixes = append(f.pendingPrefixes, loads.Prefix{Engine: loads.KeyOf(engine), Hash: prefix})
	}
}

// countArrival counts a call of a service that has no engine of a previous turn.
func (f *fleet) countArrival(service string, now time.Time) {
	arrivals := f.arrivalRates[service]
	if arrivals == nil {
		arrivals = &rate{at: now}
		f.arrivalRates[service] = arrivals
	}
	arrivals.count(now)
}

// sample draws the engines that a call may use, at random: few enough that all nodes together
// send one engine at most about minSampled calls between two aggregates, but at least minSampled,
// plus the engine of the conversation's previous turn. It does not draw engines that are held back.
// It returns nil if all engines may be used.
func (f *fleet) sample(call Request, engines map[string]routing.Engine) scheduler.Sample {
	if f.nodes == 0 {
		return nil
	}
	var usable []string
	for id, engine := range engines {
		disallowed := f.disallows != nil && f.disallows(call, engine)
		if engine.Service == call.Service && !engine.Draining && !disallowed && !f.isHeldBack(id) {
			usable = append(usable, id)
		}
	}
	count := f.sampleSize(call.Service, len(usable))
	if count >= len(usable) {
		return nil
	}
	sample := make(scheduler.Sample, count+1)
	for i := range count {
		j := i + f.random.IntN(len(usable)-i)
		usable[i], usable[j] = usable[j], usable[i]
		sample[usable[i]] = true
	}
	sample[call.LastEngine] = true
	return sample
}

// isHeldBack reports whether an engine takes no calls for now.
func (f *fleet) isHeldBack(id string) bool { return f.heldBack != nil && f.heldBack(id) }

// sampleSize returns how many of a service's engines a call chooses from.
func (f *fleet) sampleSize(service string, engines int) int {
	arrivals := f.arrivalRates[service]
	if arrivals == nil {
		return engines
	}
	unreported := arrivals.perSecond * float64(f.nodes+1) * f.reportInterval.Seconds()
	return max(minSampled, int(math.Round(float64(minSampled*engines)/max(1, unreported))))
}
