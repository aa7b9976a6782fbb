package simulation

import (
	"fmt"
	"time"

	"github.com/pewtermill/pewtermill/internal/membership"
	"github.com/pewtermill/pewtermill/internal/observation"
	"github.com/pewtermill/pewtermill/internal/scheduler"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Observation selects how nodes learn the state of engines.
type Observation string

// Values of Observation.
const (
	// Digests is what real nodes use: one node observes an engine and sends the engine's load to
	// the other nodes with its heartbeats. For engines that a node does not observe, it knows only
	// the prefixes that its own calls left there.
	Digests Observation = "digests"
	// Polling makes every node poll the load and the cache events of every engine.
	Polling Observation = "polling"
)

// maxServedMarks limits how many prefix blocks of its own calls a node keeps per engine.
const maxServedMarks = 1 << 14

// engineSetHash stands for the hash of the engines' names, which is constant in a simulation.
const engineSetHash = 1

// incarnation is the incarnation of every node, since no simulated node restarts.
const incarnation = 1

// fleetView is what one node knows about the engines. It implements
// scheduler.PrefixIndex.
type fleetView struct {
	run      *run
	observes []bool // by engine number
	reports  []observation.Report
	served   *observation.ServedPrefixes
	selector *observation.DigestSelector
}

func newFleetView(r *run, observes func(engine int) bool) *fleetView {
	v := &fleetView{
		run:      r,
		reports:  make([]observation.Report, len(r.engineList)),
		served:   observation.NewServedPrefixes(maxServedMarks),
		selector: observation.NewDigestSelector(),
	}
	for number := range r.engineList {
		v.observes = append(v.observes, observes(number))
	}
	return v
}

// CachedBlocks implements scheduler.PrefixIndex as a real node does: exactly for the engines that
// the node observes, and from the node's own calls for the others.
func (v *fleetView) CachedBlocks(name string, blocks []uint64) int {
	if v.observes[v.run.engines[name].number] && v.run.index.Sequence(name) > 0 {
		return v.run.index.CachedBlocks(name, blocks)
	}
	return v.served.CachedBlocks(name, blocks)
}

// storeReport stores the latest report of an engine.
func (v *fleetView) storeReport(number int, report observation.Report) {
	v.reports[number] = report
	v.served.ApplyReport(v.run.engineList[number].name, report)
}

// views returns the engines for which a report has been received.
func (v *fleetView) views() []scheduler.EngineView {
	views := make([]scheduler.EngineView, 0, len(v.reports))
	for number, report := range v.reports {
		if !report.ObservedAt.IsZero() {
			views = append(views, v.viewOf(number))
		}
	}
	return views
}

// viewOf returns the node's view of one engine.
func (v *fleetView) viewOf(number int) scheduler.EngineView {
	e, report := v.run.engineList[number], v.reports[number]
	return scheduler.EngineView{
		Name:                e.name,
		Zone:                e.zone,
		Models:              report.Load.Models,
		Ready:               report.Reachable,
		Running:             report.Load.Running,
		Waiting:             report.Load.Waiting,
		MaxRunning:          report.Load.MaxRunning,
		CacheUsedTokens:     report.Load.CacheUsedTokens,
		CacheCapacityTokens: report.Load.CacheCapacityTokens,
		PrefillTokensPerSec: report.Load.PrefillTokensPerSec,
		DecodeTokensPerSec:  report.Load.DecodeTokensPerSec,
		ObservedAt:          report.ObservedAt,
	}
}

// heartbeat sends the digests of the observed engines to the other nodes.
func (n *node) heartbeat() {
	now := n.run.clock.now
	var reports []observation.EngineReport
	for number, report := range n.view.reports {
		if n.view.observes[number] && !report.ObservedAt.IsZero() {
			reports = append(reports, observation.EngineReport{Number: number, Report: report})
		}
	}
	n.view.selector.BeginRound(engineSetHash, reports, nil, now)
	for _, receiver := range n.run.nodes {
		if receiver == n {
			continue
		}
		message := &wirepb.Heartbeat{}
		n.view.selector.FillHeartbeat(message, receiver.name, incarnation)
		n.run.clock.after(n.run.delay(n.zone, receiver.zone), func() { receiver.receive(message) })
	}
}

// receive stores the digests of a heartbeat.
func (n *node) receive(message *wirepb.Heartbeat) {
	for _, digest := range message.GetEngines() {
		number := int(digest.GetNumber())
		if report, ok := observation.Decode(digest, n.view.reports[number], n.run.clock.now); ok {
			n.view.storeReport(number, report)
		}
	}
}

// startNodes creates the nodes and schedules their periodic tasks, with a different offset for each
// node.
func (r *run) startNodes() {
	zones := r.deployment.Zones
	count := r.settings.Nodes
	polling := r.settings.Observation == Polling
	for i := range count {
		view := newFleetView(r, func(engine int) bool { return polling || engine%count == i })
		n := r.newNode(fmt.Sprintf("node-%02d", i+1), zones[i%len(zones)], view)
		r.nodes = append(r.nodes, n)
		r.every(tickInterval, offset(tickInterval, i, count), n.tick)
		r.every(reviewInterval, reviewInterval+offset(tickInterval, i, count), n.review)
		if !polling {
			r.every(membership.DefaultHeartbeatEvery, offset(membership.DefaultHeartbeatEvery, i, count), n.heartbeat)
		}
	}
}

// startEngines schedules the periodic load reports and cache events of the engines.
func (r *run) startEngines() {
	for i, e := range r.engineList {
		r.every(reportInterval, offset(reportInterval, i, len(r.engineList)), e.reportLoad)
		r.every(eventInterval, offset(eventInterval, i, len(r.engineList)), e.publishEvents)
	}
}

// offset returns the first run of one of count tasks that are spread evenly over an interval.
func offset(interval time.Duration, position, count int) time.Duration {
	return interval * time.Duration(position+1) / time.Duration(count)
}
