package modelplan

import (
	"cmp"
	"slices"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// engineView is the state of one engine during one plan.
type engineView struct {
	Engine
	orderState *orderState
	inSync     bool // the last report reflects the last order, and this plan sent none
	states     []backend.WeightsState
}

// hasCopy reports whether the engine has a copy of the model, ready or loading.
func (e *engineView) hasCopy(model string) bool {
	return slices.ContainsFunc(e.states, func(s backend.WeightsState) bool { return s.Name == model })
}

// hasReady reports whether the engine has a ready copy of the model, in any version.
func (e *engineView) hasReady(model string) bool {
	return slices.ContainsFunc(e.states, func(s backend.WeightsState) bool { return s.Name == model && s.Ready })
}

// isLoading reports whether any model is loading.
func (e *engineView) isLoading() bool {
	return slices.ContainsFunc(e.states, func(s backend.WeightsState) bool { return !s.Ready })
}

// freeSlots returns how many more models fit.
func (e *engineView) freeSlots() int {
	slots := valueOr(e.MaxModels, len(e.Allowed))
	if e.Report.MaxModels > 0 {
		slots = min(slots, e.Report.MaxModels)
	}
	return slots - len(e.states)
}

// mayLoad reports whether a load of a model that the engine lacks may be
// ordered here, provided that there is a free slot.
func (e *engineView) mayLoad(model string) bool {
	return e.inSync && !e.isLoading() && !e.hasCopy(model) && slices.Contains(e.Allowed, model)
}

// callCount returns how many calls run or wait at the engine.
func (e *engineView) callCount() int { return e.Report.Running + e.Report.Waiting }

// view is the state of the cell that one plan reads and updates.
type view struct {
	engines []*engineView // by name
	models  []*modelView  // by name
}

func (v *view) model(name string) *modelView {
	at, found := slices.BinarySearchFunc(v.models, name, func(m *modelView, name string) int { return cmp.Compare(m.Name, name) })
	if !found {
		return nil
	}
	return v.models[at]
}

// readyElsewhere counts the ready copies of a model that no order in flight can
// remove, at engines other than the given one.
func (v *view) readyElsewhere(model string, except *engineView) int {
	count := 0
	for _, engine := range v.engines {
		if engine != except && engine.inSync && engine.hasReady(model) {
			count++
		}
	}
	return count
}

// copiesInZone counts the copies of a model in a zone.
func (v *view) copiesInZone(model, zone string) int {
	count := 0
	for _, engine := range v.engines {
		if engine.Usable && engine.Zone == zone && engine.hasCopy(model) {
			count++
		}
	}
	return count
}

// slotPending reports whether a removal that frees a slot for the model is in
// flight.
func (v *view) slotPending(model string) bool {
	return slices.ContainsFunc(v.engines, func(e *engineView) bool {
		return e.Usable && !e.inSync && e.orderState.last.Action == backend.ActionUnloadModel &&
			e.freeSlots() > 0 && slices.Contains(e.Allowed, model)
	})
}

// allInSync reports whether every usable engine is in sync.
func (v *view) allInSync() bool {
	return !slices.ContainsFunc(v.engines, func(e *engineView) bool { return e.Usable && !e.inSync })
}

// newView builds the view of an input. Its models are those of the bundle.
func (p *Planner) newView(input *Input) *view {
	v := &view{}
	for _, engine := range input.Engines {
		record := p.orderStateOf(engine.Name)
		record.confirmIfInSync(&engine)
		v.engines = append(v.engines, &engineView{
			Engine:     engine,
			orderState: record,
			inSync:     record.inSync(&engine),
			states:     record.expectedStates(&engine),
		})
	}
	slices.SortFunc(v.engines, func(a, b *engineView) int { return cmp.Compare(a.Name, b.Name) })
	for _, model := range input.Models {
		v.models = append(v.models, &modelView{Model: model})
	}
	slices.SortFunc(v.models, func(a, b *modelView) int { return cmp.Compare(a.Name, b.Name) })
	for _, demand := range input.Demand {
		if model := v.model(demand.Model); model != nil {
			model.demand = demand
		}
	}
	for _, model := range v.models {
		p.computeModel(v, model, input)
	}
	return v
}

// computeModel fills in a model's demand, copies and needs.
func (p *Planner) computeModel(v *view, model *modelView, input *Input) {
	model.inUse = p.inUse(&model.demand, input.Now)
	model.batchSlots, model.allowedEngines = averageBatchSlots(v.engines, model.Name)
	if model.inUse {
		model.predicted = model.demand.predicted(p.pacer.duration(model.WeightBytes, 1))
	}
	for _, engine := range v.engines {
		if !engine.Usable {
			continue
		}
		for _, state := range engine.states {
			if state.Name != model.Name {
				continue
			}
			if !state.Ready {
				model.loading++
				continue
			}
			model.serving++
			model.rolling = model.rolling || model.Version != "" && state.Version != model.Version
		}
	}
	model.computeNeeds(&p.settings)
}
