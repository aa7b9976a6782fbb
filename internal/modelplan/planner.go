package modelplan

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// ErrSuperseded reports that an engine has accepted orders of a newer planner.
// This planner must issue no more orders.
var ErrSuperseded = errors.New("a newer planner has issued orders")

// Planner plans for one cell in one epoch. It keeps track of its orders, of the
// models that it loaded and of when models were in use. It is not safe for
// concurrent use.
type Planner struct {
	epoch       uint64
	started     time.Time
	settings    Settings
	lastNumber  uint32 // number of the last order
	orderStates map[string]*orderState
	pacer       pacer
	loadedAt    map[string]time.Time // by model: the last order to load it
	lastUsedAt  map[string]time.Time // by model: when it was last in use

	// State of the current plan.
	now            time.Time
	demandComplete bool
	orders         []Order
}

// New returns a planner whose fences have the given epoch.
func New(epoch uint64, now time.Time) *Planner {
	return &Planner{
		epoch:       epoch,
		started:     now,
		orderStates: map[string]*orderState{},
		pacer:       pacer{refilledAt: now},
		loadedAt:    map[string]time.Time{},
		lastUsedAt:  map[string]time.Time{},
	}
}

// Plan returns the orders to send now, at most one for each engine, and records
// them as sent. Later reports show whether an engine accepted an order, so the
// caller need not report it; the caller may send the orders in any sequence and
// drop any of them. The error is ErrSuperseded or nil.
func (p *Planner) Plan(input Input, settings Settings) ([]Order, error) {
	for _, engine := range input.Engines {
		if EpochOf(engine.Report.Fence) > p.epoch {
			return nil, errors.Wrapf(ErrSuperseded, "engine %s has accepted an order of epoch %d, this planner has epoch %d",
				engine.Name, EpochOf(engine.Report.Fence), p.epoch)
		}
	}
	p.prepare(&input, settings)
	v := p.newView(&input)
	p.raiseFences(v)
	if v.allInSync() || p.now.Sub(p.started) >= syncTimeout {
		p.loadModels(v)
		p.changeVersions(v)
		p.removeDisallowed(v)
		p.alignAdapters(v)
		p.alignRoles(v)
	}
	return p.orders, nil
}

// prepare resets the planner's state for a new plan.
func (p *Planner) prepare(input *Input, settings Settings) {
	p.settings = settings
	p.now = input.Now
	p.demandComplete = input.DemandComplete
	p.orders = nil
	largest := int64(0)
	for _, model := range input.Models {
		largest = max(largest, model.WeightBytes)
	}
	p.pacer.refill(settings.BytesPerSecond, float64(largest), input.Now)
	for _, demand := range input.Demand {
		used := input.Now.Add(-demand.Idle)
		if used.After(p.lastUsedAt[demand.Model]) {
			p.lastUsedAt[demand.Model] = used
		}
	}
}

// inUse reports whether a model has calls now, or had some within InUseFor.
func (p *Planner) inUse(demand *Demand, now time.Time) bool {
	if demand.Active > 0 {
		return true
	}
	used, ever := p.lastUsedAt[demand.Model]
	return ever && now.Sub(used) < p.settings.InUseFor
}

// lastLoadedAt returns when a load of the model was last ordered. Orders of a
// former planner are unknown, so they count as issued when this planner started.
func (p *Planner) lastLoadedAt(model string) time.Time {
	if at, found := p.loadedAt[model]; found {
		return at
	}
	return p.started
}

func (p *Planner) orderStateOf(engine string) *orderState {
	record := p.orderStates[engine]
	if record == nil {
		record = &orderState{}
		p.orderStates[engine] = record
	}
	return record
}

// order adds an order to the plan, and updates the engine's expected state.
func (p *Planner) order(v *view, engine *engineView, order backend.Order, format string, args ...any) {
	p.lastNumber++
	order.Fence = Fence(p.epoch, p.lastNumber)
	engine.orderState.recordSent(order, p.now)
	engine.states = statesAfter(engine.states, order)
	engine.inSync = false
	p.orders = append(p.orders, Order{Engine: engine.Name, Order: order, Reason: fmt.Sprintf(format, args...)})
}

// raiseFences sends a new fence to every engine that is not in sync and whose
// last order is overdue. This announces a new planner to the engines, and
// resolves the unknown outcome of an order that was lost.
func (p *Planner) raiseFences(v *view) {
	for _, engine := range v.engines {
		if engine.Usable && !engine.inSync && engine.orderState.overdue(p.now) {
			p.order(v, engine, backend.Order{Action: backend.ActionRaiseFence}, "makes older orders void")
		}
	}
}

// loadsInFlight counts the engines that load a model, or may be loading one
// without a report of it: an ordered load may start late, and an engine whose
// reports have stopped may continue.
func (p *Planner) loadsInFlight(v *view) int {
	loading := map[string]bool{}
	for _, engine := range v.engines {
		if engine.Usable && engine.isLoading() {
			loading[engine.Name] = true
		}
	}
	for name, record := range p.orderStates {
		if p.now.Before(record.unconfirmedUntil) {
			loading[name] = true
		}
	}
	return len(loading)
}

// mayStartLoad reports whether the weight store has capacity for another load.
func (p *Planner) mayStartLoad(v *view, model *modelView) bool {
	return p.loadsInFlight(v) < p.settings.MaxConcurrentLoads && p.pacer.allows(model.WeightBytes)
}

// load orders a load. The caller has checked mayStartLoad.
func (p *Planner) load(v *view, engine *engineView, model *modelView, format string, args ...any) {
	p.pacer.take(model.WeightBytes)
	p.loadedAt[model.Name] = p.now
	model.loading++
	maxDuration := 2*p.pacer.duration(model.WeightBytes, p.settings.MaxConcurrentLoads) + maxOrderTimeout
	engine.orderState.unconfirmedUntil = p.now.Add(maxDuration)
	order := backend.Order{Action: backend.ActionLoadModel, Model: model.Name, Version: model.Version}
	p.order(v, engine, order, format, args...)
}
