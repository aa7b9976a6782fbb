package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/loads"
	"github.com/pewtermill/pewtermill/internal/outliers"
	"github.com/pewtermill/pewtermill/internal/routing"
)

// probingNodes is about how many nodes probe an engine that another node reports as failing.
const probingNodes = 3

// Observer is notified of engines that are ejected because they fail. Its methods must not block.
type Observer interface {
	// EngineEjected is called once for each change of the basis.
	EngineEjected(engine routing.Engine, status outliers.Status)
	// EngineRestored is called when the engine gets requests again.
	EngineRestored(engine routing.Engine)
}

// failing holds the state of failing engines. The placer's mutex guards it.
type failing struct {
	detector *outliers.Detector
	random   *rand.Rand
	statuses map[string]outliers.Status // by engine id, as of the last refresh
	notified map[string]outliers.Basis  // the basis last passed to the observer, by engine id
}

func newFailing(node string) failing {
	seed := xxhash.Sum64String("trials of " + node)
	return failing{
		detector: outliers.New(),
		random:   rand.New(rand.NewPCG(seed, ^seed)),
		notified: make(map[string]outliers.Basis),
	}
}

// keepOnly drops the state of engines that were removed.
func (f *failing) keepOnly(present func(id string) bool) {
	f.detector.KeepOnly(present)
	maps.DeleteFunc(f.notified, func(id string, _ outliers.Basis) bool { return !present(id) })
}

// recordResult records what the result of a request shows about its engine. The mutex is held.
func (p *Placer) recordResult(id string, result Result, now time.Time) {
	switch result.Outcome {
	case Served:
		p.failing.detector.RecordSuccess(id, now)
		return
	case Unreachable, Replaced, Unresponsive:
		p.recordFailure(id, outliers.Conclusive, now)
	case ServerError:
		p.recordFailure(id, outliers.Indicative, now)
	case Failed:
		if result.LostHedge {
			return
		}
		p.recordFailure(id, outliers.ConnectionLost, now)
	}
}

// recordFailure records a failure and excludes the engine if it suffices: an engine that fails at
// once always has free slots, and would attract more and more calls. It ignores engines that were
// removed, such as an earlier incarnation. The mutex is held.
func (p *Placer) recordFailure(id string, evidence outliers.Evidence, now time.Time) {
	if _, listed := p.engines[id]; !listed {
		return
	}
	p.failing.detector.RecordFailure(id, evidence, now, p.failing.random.Float64())
	p.refresh(now)
}

// applyFailureReports applies the failure reports of other nodes. The mutex is held.
func (p *Placer) applyFailureReports(aggregate loads.Aggregate, now time.Time) {
	reports := make(map[string]int)
	for id, key := range p.fleet.failureKeys {
		if count := aggregate.Others[key]; count > 0 {
			reports[id] = count
		}
	}
	p.failing.detector.SetPeerReports(reports, p.isProber, now)
}

// isProber reports whether this node is one of those that probe an engine which another node
// reports as failing. The mutex is held.
func (p *Placer) isProber(id string) bool {
	return xxhash.Sum64String(p.options.Node+"\x00checks\x00"+id)%uint64(p.fleet.nodes+1) < probingNodes
}

// evaluate decides which engines are ejected, notifies the observer of changes, and starts the
// probes that are due. The mutex is held.
func (p *Placer) evaluate(now time.Time) {
	usable := make(map[string][]string)
	for id, engine := range p.engines {
		if !engine.Draining && !p.evacuation.covers(engine) && !p.lostZones.covers(engine) {
			usable[engine.Service] = append(usable[engine.Service], id)
		}
	}
	p.failing.statuses = make(map[string]outliers.Status)
	for _, ids := range usable {
		maps.Copy(p.failing.statuses, p.failing.detector.Evaluate(ids, now))
	}
	p.notifyObserver()
	for _, id := range p.failing.detector.TakeDueChecks(now) {
		if _, listed := p.engines[id]; p.options.StartProbe == nil || !listed {
			p.failing.detector.RecordCheck(id, false, now, 0)
			continue
		}
		p.options.StartProbe(p.engines[id])
	}
}

// notifyObserver notifies the observer of changes. The mutex is held.
func (p *Placer) notifyObserver() {
	if p.options.Observer == nil {
		return
	}
	for id, status := range p.failing.statuses {
		if status.Excluded && p.failing.notified[id] != status.Basis {
			p.failing.notified[id] = status.Basis
			p.options.Observer.EngineEjected(p.engines[id], status)
		}
	}
	for _, id := range slices.Collect(maps.Keys(p.failing.notified)) {
		if !p.failing.statuses[id].Excluded {
			delete(p.failing.notified, id)
			p.options.Observer.EngineRestored(p.engines[id])
		}
	}
}

// isExcluded reports whether an engine gets no request now. The mutex is held.
func (p *Placer) isExcluded(id string) bool {
	status := p.failing.statuses[id]
	return p.lostZones.covers(p.engines[id]) || status.Excluded || status.TrialOnly && p.ownCalls[id] > 0
}

// ProbeFinished records the result of a probe that Options.StartProbe started. While this node's
// requests run at the engine, it is reachable, so a failed probe is ignored.
func (p *Placer) ProbeFinished(id string, failing bool) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failing.detector.RecordCheck(id, failing && p.ownCalls[id] == 0, now, p.failing.random.Float64())
	p.refresh(now)
}

// Ejected returns how many engines are ejected because they fail.
func (p *Placer) Ejected() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, status := range p.failing.statuses {
		if status.Excluded {
			count++
		}
	}
	return count
}
