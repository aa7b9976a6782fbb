// Package placement decides which engine serves a request. internal/scheduler makes the decision;
// this package supplies the node's state: the engines by incarnation, the node's own requests at
// them, and which engines recently failed or were unreachable.
package placement

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/coldstart"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/scheduler"
	"github.com/pewtermill/pewtermill/internal/topology"
)

// connectMillis is the cost of opening a new connection when no idle one exists. The scheduler
// weighs it against milliseconds of delay.
const connectMillis = 80.0

// Weights of the scheduler's estimates.
const (
	// prefixWeight applies to each millisecond of prompt prefill.
	prefixWeight = 1.0
	// slackWeight is in seconds for each second of slack to the program's deadline.
	slackWeight = 0.5
	// othersWeight counts the slowdown of other calls in addition to the delay of the new call itself,
	// with equal weight.
	othersWeight = 2.0
)

// waitShare is the fraction of a program's remaining time that a request may wait. The rest is
// the time that programs take on busy engines.
const waitShare = 0.25

// Periods.
const (
	refreshPeriod = 250 * time.Millisecond // between two updates of the scheduler's engine views
	recheckPeriod = 20 * time.Millisecond  // between two scheduling passes while a request waits
)

// Options configure a Placer.
type Options struct {
	Node     string
	Topology topology.Topology
	Recorder explain.Recorder
	// IdleConnections returns how many idle connections to an engine are pooled.
	IdleConnections func(engine routing.Engine) int
	// Cold sets how strictly the limits of cold engines are enforced.
	Cold coldstart.Rules
	// WarmthChanged is called when an engine turns cold or warm; may be nil. It must not block.
	WarmthChanged func(change coldstart.Change)
	// StartProbe starts a health probe of an engine that failed, and has ProbeFinished called with
	// the result. It must not block. If nil, engines are tried again without a probe.
	StartProbe func(engine routing.Engine)
	// Observer is notified of ejected and restored engines; may be nil.
	Observer Observer
	// Answered is called for each engine that starts to respond; may be nil. It must not block.
	Answered func(engine routing.Engine)
	// ZoneReportedLost is called for each zone that other nodes report as lost, once for each
	// aggregate; may be nil. It must not block.
	ZoneReportedLost func(zone string)
	// RegionBudget limits traffic to other regions; nil if it is unlimited. It must not block.
	RegionBudget RegionBudget
}

// Placer places requests on engines. Safe for concurrent use.
type Placer struct {
	options Options

	mutex         sync.Mutex
	core          *scheduler.Core
	index         *prefixIndex
	engines       map[string]routing.Engine // by id
	services      map[string]routing.Service
	masked        map[string]bool // ids of engines, as set by SetMasked
	failing       failing
	lags          *lags
	ownCalls      map[string]int // this node's calls in flight, by engine id
	fleet         fleet
	evacuation    evacuation
	lostZones     lostZones
	latencies     latencies
	engineRegions engineRegions
	speeds        speeds
	coreTime      time.Time // time of the last call into the core, for the core's callbacks
	refreshed     time.Time
	lastCallID    uint64
	waiting       map[string]chan coreReply // by call id
	demand        demand
	cold          *coldstart.Gate
}

type coreReply struct {
	assignment scheduler.Assignment
	refusal    *api.Error
}

// New returns a Placer without engines.
func New(options Options) *Placer {
	core := scheduler.New(scheduler.ProgramAware, bundle.Scheduling{PrefixWeight: prefixWeight, SlackWeight: slackWeight}, options.Node)
	seed := xxhash.Sum64String(options.Node)
	p := &Placer{
		options:    options,
		core:       core,
		index:      newPrefixIndex(),
		failing:    newFailing(options.Node),
		lags:       newLags(),
		ownCalls:   make(map[string]int),
		speeds:     make(speeds),
		fleet:      fleet{random: rand.New(rand.NewPCG(seed, ^seed)), arrivalRates: make(map[string]*rate)},
		waiting:    make(map[string]chan coreReply),
		evacuation: evacuation{moved: make(map[string]uint64)},
		latencies:  latencies{topology: options.Topology, learned: make(map[string]float64)},
		cold:       coldstart.NewGate(options.Cold),
	}
	p.fleet.disallows = p.disallows
	p.fleet.heldBack = func(id string) bool { return p.cold.HeldBack(p.coreTime, id) || p.lostZones.covers(p.engines[id]) }
	core.SetIndex(p.index)
	core.SetRecorder(options.Recorder)
	core.SetDistances(p.latencies.cost)
	core.SetLocalCosts((*localCosts)(p))
	core.SetColdStarts((*coldStarts)(p))
	return p
}

// localCosts implements scheduler.LocalCosts. The core calls it while the mutex is held.
type localCosts Placer

// ConnectCost implements scheduler.LocalCosts.
func (p *localCosts) ConnectCost(id string) float64 {
	if p.options.IdleConnections(p.engines[id]) > 0 {
		return 0
	}
	return connectMillis
}

// LagCost implements scheduler.LocalCosts.
func (p *localCosts) LagCost(id string) float64 {
	return p.lags.cost(id, p.engines[id].Service, p.coreTime)
}

// PreferenceCost implements scheduler.LocalCosts.
func (p *localCosts) PreferenceCost(id string) float64 {
	return preference(p.options.Node, id)
}

// SetEngines replaces the engines and services. The caller must not modify the maps afterwards.
func (p *Placer) SetEngines(engines map[string]routing.Engine, services map[string]routing.Service) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.engines, p.services = engines, services
	p.fleet.setEngines(engines)
	served := ofServices(engines, services)
	p.latencies.setEngines(served)
	p.lostZones.setEngines(served)
	p.engineRegions.setEngines(served, p.options.Topology.RegionOf)
	p.cold.SetEngines(time.Now(), engines, services)
	present := func(id string) bool { _, found := engines[id]; return found || p.masked[id] }
	p.index.keepOnly(present)
	p.failing.keepOnly(present)
	p.refresh(time.Now())
	p.advance(time.Now())
}

// refresh updates the derived state and the core's views of all engines. The mutex is held.
func (p *Placer) refresh(now time.Time) {
	p.refreshed = now
	p.reportWarmth(now)
	p.lags.update(func(id string) (string, bool) {
		engine, found := p.engines[id]
		return engine.Service, found
	})
	p.findAlternatives()
	p.evaluate(now)
	p.measureCapacity()
	minority := p.minorityVersions()
	views := make([]scheduler.EngineView, 0, len(p.engines))
	for id, engine := range p.engines {
		speed := p.speeds.of(engine.Service)
		decode, slowdown := speed.decodePerSecond()
		views = append(views, scheduler.EngineView{
			Name:                id,
			Zone:                engine.Zone,
			Region:              p.options.Topology.RegionOf(engine.Zone),
			Models:              []string{engine.Service},
			Version:             engine.Version,
			ReservedForVersion:  reservedSlots(engine.Slots, minority[versionKey{engine.Service, engine.Version}]),
			Ready:               true,
			Failing:             p.isExcluded(id),
			Leaving:             engine.Draining,
			Evacuated:           p.evacuation.covers(engine),
			Running:             p.ownCalls[id] + p.otherInFlight(id),
			MaxRunning:          engine.Slots,
			LoadComplete:        p.fleet.otherCounts != nil,
			PrefillTokensPerSec: speed.prefillPerSecond(),
			DecodeTokensPerSec:  decode,
			SlowdownPerCall:     othersWeight * slowdown,
			ObservedAt:          now,
		})
	}
	p.core.SetEngines(views)
}

// placeOnce does what Place does, but returns an empty placement if the assigned engine was
// removed in the meantime.
func (p *Placer) placeOnce(ctx context.Context, request Request) (Placement, *api.Error) {
	now := time.Now()
	blocks := blocksOf(request.Parts)
	waiter := make(chan coreReply, 1)
	p.mutex.Lock()
	if now.Sub(p.refreshed) > refreshPeriod {
		p.refresh(now)
	}
	p.lastCallID++
	if refusal := p.restrictRegions(&request); refusal != nil {
		p.mutex.Unlock()
		return Placement{}, refusal
	}
	switch last := p.engines[request.LastEngine]; {
	case last.Service != request.Service:
		request.LastEngine = "" // it was removed, or the previous turn was of another service
	case p.evacuation.covers(last):
		request.LastEngine = "" // the request counts as one without an engine of its own
		if len(request.Excluded) == 0 {
			p.evacuation.countMoved(last.Zone)
		}
	}
	if request.LastEngine == "" {
		p.fleet.countArrival(request.Service, now)
	}
	p.index.add(request.LastEngine, blocks[:min(int64(len(blocks)), request.LastTokens/blockTokens)])
	call := p.call(request, blocks, strconv.FormatUint(p.lastCallID, 10), now)
	p.coreTime = now
	call.Sample = p.fleet.sample(request, p.engines)
	p.cold.CountHeldBack(now, request.LastEngine)
	if refusal := p.core.Submit(call, now); refusal != nil {
		p.mutex.Unlock()
		return Placement{Decision: refusal.Decision}, refusal.Error
	}
	p.waiting[call.ID] = waiter
	p.advance(now)
	queued := p.enqueue(call)
	p.mutex.Unlock()
	assignment, problem := p.await(ctx, call, waiter)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.dequeue(request.Service, queued)
	if problem != nil {
		return Placement{}, problem
	}
	if _, listed := p.engines[assignment.Engine]; !listed {
		// It was removed or restarted between the core's decision and now.
		p.core.Finish(assignment.Call.ID, scheduler.Result{Engine: assignment.Engine, Succeeded: true}, time.Now())
		return Placement{}, nil
	}
	return p.recordPlacement(assignment, request, blocks), nil
}

// Place waits for an engine for the request. An error means that none could take it before ctx
// ended, or that none can at all; the request has not run.
func (p *Placer) Place(ctx context.Context, request Request) (Placement, *api.Error) {
	for {
		placement, problem := p.placeOnce(ctx, request)
		if problem != nil || placement.Engine.ID != "" {
			return placement, problem
		}
	}
}

// call translates a request for the scheduler core.
func (p *Placer) call(request Request, blocks []uint64, id string, now time.Time) scheduler.Call {
	return scheduler.Call{
		ID:              id,
		Program:         request.Program,
		Class:           request.Class,
		Model:           request.Service,
		Zone:            p.options.Topology.Zone(),
		PrefixBlocks:    blocks,
		PromptTokens:    request.PromptTokens,
		ExpectedTokens:  p.speeds.of(request.Service).expected(request.MaxTokens),
		Submitted:       now,
		Deadline:        request.Deadline,
		ProgramDeadline: request.ProgramDeadline,
		LatestStart:     latestStart(request, now),
		LastEngine:      request.LastEngine,
		Excluded:        request.Excluded,
		Regions:         request.Regions,
		Version:         request.Version,
		LastResort:      (request.Regions != nil || request.Version != "") && !p.reachable(request, now),
	}
}

// latestStart returns the time after which the request's program is expected to miss its
// deadline if the request has not started; zero if the program has no deadline.
func latestStart(request Request, now time.Time) time.Time {
	if request.ProgramDeadline.IsZero() {
		return time.Time{}
	}
	return now.Add(time.Duration(float64(request.ProgramDeadline.Sub(now)) * waitShare))
}

// recordPlacement records an assignment and returns its placement. The mutex is held.
func (p *Placer) recordPlacement(assignment scheduler.Assignment, request Request, blocks []uint64) Placement {
	id := assignment.Engine
	placement := Placement{
		Engine:          p.engines[id],
		Decision:        assignment.Decision,
		callID:          assignment.Call.ID,
		blocks:          blocks,
		uncachedTokens:  max(0, request.PromptTokens-int64(p.index.CachedBlocks(id, blocks))*blockTokens),
		concurrentCalls: p.ownCalls[id] + p.otherInFlight(id),
		maxTokens:       request.MaxTokens,
		start:           time.Now(),
		sendBy:          assignment.SendBy,
	}
	if sharedPart, isShared := sharedFirstPart(request.Parts, blocks); isShared && p.index.addPart(id, sharedPart, partLength(blocks)) {
		placement.newSharedPart = sharedPart
	}
	p.index.add(id, blocks)
	p.ownCalls[id]++
	if p.failing.statuses[id].TrialOnly {
		p.refresh(placement.start)
	}
	return placement
}

// Answered records that an engine has started to respond.
func (p *Placer) Answered(placement *Placement) {
	now := time.Now()
	if p.options.Answered != nil {
		p.options.Answered(placement.Engine)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	placement.answered = now
	p.cold.Answered(now, placement.Engine.ID)
	latency := millis(now.Sub(placement.start))
	p.lags.record(placement.Engine.ID, latency, now)
	if placement.maxTokens > 0 && placement.concurrentCalls < placement.Engine.Slots {
		p.speeds.of(placement.Engine.Service).prefill.add(float64(placement.uncachedTokens), latency)
	}
	if placement.newSharedPart != 0 {
		p.fleet.addPending(placement.Engine.ID, placement.newSharedPart)
	}
}

// Done ends a placement and records its result.
func (p *Placer) Done(placement Placement, result Result) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	id := placement.Engine.ID
	if p.ownCalls[id]--; p.ownCalls[id] <= 0 {
		delete(p.ownCalls, id)
	}
	p.core.Finish(placement.callID, scheduler.Result{
		Engine:    id,
		Succeeded: result.Outcome == Served || result.Outcome == Cancelled || result.Outcome == Yielded || result.Outcome == CarrierLost,
		Shed:      result.Outcome == Shed || result.Outcome == SendExpired,
		Duration:  now.Sub(placement.start),
	}, now)
	switch result.Outcome {
	case Shed:
		p.lags.record(id, shedMillis+millis(now.Sub(placement.start)), now)
	case Unreachable, Unresponsive:
		p.cold.RecordUnresponsive(now, id)
	case Served:
		p.learnSpeed(placement, result.Tokens, now)
	}
	p.recordResult(id, result, now)
	p.advance(now)
}

// learnSpeed updates the speed estimates of a service from a complete answer. The mutex is held.
func (p *Placer) learnSpeed(placement Placement, tokens int64, now time.Time) {
	if tokens <= 0 || placement.answered.IsZero() {
		return
	}
	speed := p.speeds.of(placement.Engine.Service)
	speed.length.add(float64(placement.maxTokens), float64(tokens))
	if tokens >= minDecodeTokens {
		speed.decode.add(float64(placement.concurrentCalls), millis(now.Sub(placement.answered))/float64(tokens))
	}
}

func millis(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }
