package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
)

// Core queues model calls and decides which engine each one gets, and when.
// It takes the time from its methods' arguments, which must not go backwards,
// and randomness from a source seeded with the node's name: the same inputs
// give the same decisions. Not safe for concurrent use.
//
// Every submitted call gets exactly one of: a Refusal from Submit, an
// Assignment or a Refusal from Schedule, or a Withdraw that returns true.
type Core struct {
	policy        PolicyName
	weights       weights
	bundleVersion uint64
	random        *rand.Rand
	index         PrefixIndex
	distance      func(a, b string) float64
	local         LocalCosts
	cold          ColdStarts
	classWorthOf  func(class string) float64
	tenantWeight  func(tenant string) float64
	recorder      explain.Recorder

	engines       []*engine          // listed engines, sorted by name
	enginesByName map[string]*engine // listed engines, and unlisted ones that have calls in flight

	queues         []*modelQueue // sorted by model
	tenants        map[string]*tenant
	queuedByID     map[string]*queuedCall
	inFlight       map[string]inFlightCall
	deadlines      deadlineHeap
	displaced      []Refusal // displaced by a later Submit; Schedule returns them
	origin         time.Time // time of the first Submit; ranks are relative to it
	arrivals       uint64
	virtualTime    float64
	lastRoundRobin string // engine that RoundRobin chose last

	// Scratch space, reused to save allocations.
	candidates   []candidate // result of evaluate
	order        []int       // for explainCandidates
	callRequest  request     // for newRequest
	probeRequest request     // for modelRequest
	probeCall    Call        // for modelRequest
}

// inFlightCall is a call that was assigned to an engine and has not finished.
type inFlightCall struct {
	engine   *engine
	tenant   *tenant
	assigned time.Time
	charged  time.Duration // estimated service time, already charged to the tenant
}

// New returns a core without engines. An unknown policy means ProgramAware.
func New(policy PolicyName, configured bundle.Scheduling, node string) *Core {
	seed := xxhash.Sum64String(node)
	core := &Core{
		random:        rand.New(rand.NewPCG(seed, ^seed)),
		cold:          noColdStarts{},
		enginesByName: make(map[string]*engine),
		tenants:       make(map[string]*tenant),
		queuedByID:    make(map[string]*queuedCall),
		inFlight:      make(map[string]inFlightCall),
	}
	core.SetWeights(policy, configured, 0)
	return core
}

// SetWeights sets the policy and weights of a bundle, and reorders the calls
// that are already queued.
func (c *Core) SetWeights(policy PolicyName, configured bundle.Scheduling, bundleVersion uint64) {
	switch policy {
	case RoundRobin, LeastLoaded, SessionAffinity:
		c.policy = policy
	default:
		c.policy = ProgramAware
	}
	c.weights = resolveWeights(configured)
	c.bundleVersion = bundleVersion
	c.requeue()
}

// requeue ranks every queued call again. The order in which calls are put back
// does not matter, since rank and arrival order them completely.
func (c *Core) requeue() {
	calls := make([]*queuedCall, 0, len(c.queuedByID))
	for _, call := range c.queuedByID {
		calls = append(calls, call)
	}
	for _, call := range calls {
		c.dequeue(call)
	}
	for _, call := range calls {
		call.rank = c.rank(&call.call, call.queued)
		call.rankedLate = call.call.late(call.queued)
		call.tenantQueue = c.queueFor(call.call.Model).forTenant(c.tenantFor(call.call.Tenant))
		c.enqueue(call)
	}
}

// SetEngines replaces the list of engines. An engine that is not in the list
// gets no more calls; its calls in flight still end with Finish.
func (c *Core) SetEngines(views []EngineView) {
	for _, e := range c.enginesByName {
		e.listed = false
	}
	c.engines = c.engines[:0]
	for _, view := range views {
		e, exists := c.enginesByName[view.Name]
		if !exists {
			e = newEngine(view)
			c.enginesByName[view.Name] = e
		}
		if e.listed {
			continue
		}
		e.observe(view)
		c.engines = append(c.engines, e)
	}
	slices.SortFunc(c.engines, func(a, b *engine) int { return cmp.Compare(a.view.Name, b.view.Name) })
	for name, e := range c.enginesByName {
		if !e.listed && e.inFlight == 0 && e.waitingFor == 0 {
			delete(c.enginesByName, name)
		}
	}
	c.wakeWaiting()
}

// wakeWaiting makes every call that waits for a full engine eligible for evaluation again.
func (c *Core) wakeWaiting() {
	for _, queue := range c.queues {
		for _, tq := range queue.tenants {
			for _, call := range tq.calls {
				c.stopWaiting(call)
			}
		}
	}
}

// SetIndex sets the hints about cached prefixes; nil means none.
func (c *Core) SetIndex(index PrefixIndex) { c.index = index }

// SetDistances sets the one-way delay between zones, in milliseconds.
func (c *Core) SetDistances(distance func(a, b string) float64) { c.distance = distance }

// SetLocalCosts sets the costs that this node measured itself; nil means none.
func (c *Core) SetLocalCosts(local LocalCosts) { c.local = local }

// SetClassWorth sets the worth of one completed program of a class.
func (c *Core) SetClassWorth(worth func(class string) float64) { c.classWorthOf = worth }

// SetTenantWeight sets a tenant's share under contention.
func (c *Core) SetTenantWeight(weight func(tenant string) float64) { c.tenantWeight = weight }

// SetRecorder sets where the core records decisions that are neither an
// Assignment nor a Refusal: calls that wait for a full engine, and ejections.
func (c *Core) SetRecorder(recorder explain.Recorder) { c.recorder = recorder }

// record sends a decision to the recorder, if one is set.
func (c *Core) record(decision explain.Decision) {
	if c.recorder != nil {
		c.recorder.Record(decision)
	}
}

// classWorth returns a class's worth, 1 if none is configured.
func (c *Core) classWorth(class string) float64 {
	if c.classWorthOf == nil {
		return 1
	}
	return c.classWorthOf(class)
}

// queueFor returns the model's queue and creates it on first use.
func (c *Core) queueFor(model string) *modelQueue {
	at, found := slices.BinarySearchFunc(c.queues, model, func(q *modelQueue, name string) int {
		return cmp.Compare(q.model, name)
	})
	if !found {
		c.queues = slices.Insert(c.queues, at, &modelQueue{model: model})
	}
	return c.queues[at]
}

// Finish records that an assigned call has ended. A call that is not in flight is
// ignored, so a repeated Finish has no effect.
func (c *Core) Finish(callID string, result Result, now time.Time) {
	ended, found := c.inFlight[callID]
	if !found {
		return
	}
	delete(c.inFlight, callID)
	e := ended.engine
	e.setInFlight(e.inFlight-1, now)
	ended.tenant.inFlight--
	ended.tenant.charge(result.Duration - ended.charged)
	switch {
	case result.Shed:
		e.decreaseLimit(now)
	case result.Succeeded:
		e.recordDuration(result.Duration)
		c.recordOutcome(e, ended.assigned, true, now)
	default:
		c.recordOutcome(e, ended.assigned, false, now)
	}
	if !e.listed && e.inFlight == 0 && e.waitingFor == 0 {
		delete(c.enginesByName, e.view.Name)
	}
}

// Withdraw removes a queued call whose client disconnected. It returns false if
// the call is not queued.
func (c *Core) Withdraw(callID string, _ time.Time) bool {
	call, queued := c.queuedByID[callID]
	if !queued {
		return false
	}
	c.dequeue(call)
	return true
}

// Queued returns the number of queued calls.
func (c *Core) Queued() int { return len(c.queuedByID) }

// EngineState is the core's state of one engine, for status pages.
type EngineState struct {
	Name         string
	InFlight     int // this node's own calls
	Slots        int // limit of own calls in flight
	Ejected      bool
	EjectedUntil time.Time
}

// EngineStates returns the state of every listed engine, sorted by name.
func (c *Core) EngineStates(now time.Time) []EngineState {
	states := make([]EngineState, 0, len(c.engines))
	for _, e := range c.engines {
		states = append(states, EngineState{
			Name:         e.view.Name,
			InFlight:     e.inFlight,
			Slots:        e.slots(now),
			Ejected:      e.ejected(now),
			EjectedUntil: e.ejectedUntil,
		})
	}
	return states
}
