package modelplan

import (
	"cmp"
	"slices"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// changeVersions replaces copies by ones of the required version, one engine of
// a model at a time. The old version continues to serve: at the engine itself
// if it has a free slot, otherwise at others.
func (p *Planner) changeVersions(v *view) {
	for _, model := range v.models {
		if !model.rolling || model.loading > 0 || !p.mayStartLoad(v, model) {
			continue
		}
		if engine := p.nextVersionChange(v, model); engine != nil {
			p.load(v, engine, model, "%s changes to version %s, one engine at a time; %d other ready copies",
				model.Name, model.Version, v.readyElsewhere(model.Name, engine))
		}
	}
}

// nextVersionChange returns the engine with the fewest calls whose copy has an
// old version and may be replaced now.
func (p *Planner) nextVersionChange(v *view, model *modelView) *engineView {
	var best *engineView
	for _, engine := range v.engines {
		if !engine.inSync || engine.isLoading() || !engine.hasOldVersion(model) {
			continue
		}
		if engine.freeSlots() <= 0 && !p.mayReplace(v, engine, model) {
			continue
		}
		if best == nil || engine.callCount() < best.callCount() {
			best = engine
		}
	}
	return best
}

// mayReplace reports whether the engine may be without the model while another
// version replaces its copy.
func (p *Planner) mayReplace(v *view, engine *engineView, model *modelView) bool {
	return p.demandComplete && v.readyElsewhere(model.Name, engine) >= model.floorDuringChange()
}

func (e *engineView) hasOldVersion(model *modelView) bool {
	return slices.ContainsFunc(e.states, func(s backend.WeightsState) bool {
		return s.Name == model.Name && s.Version != model.Version
	})
}

// floorDuringChange is the floor, lowered by the engine that changes if the
// bundle requires the model on every engine that may hold it. The last ready
// copy of a model that is in use or required by the bundle stays.
func (m *modelView) floorDuringChange() int {
	if m.floor == 0 {
		return 0
	}
	return max(1, min(m.floor, m.allowedEngines-1))
}

// removeDisallowed unloads copies from engines where the bundle does not allow them.
func (p *Planner) removeDisallowed(v *view) {
	for _, engine := range v.engines {
		for _, state := range engine.states {
			if !engine.inSync || !state.Ready || slices.Contains(engine.Allowed, state.Name) {
				continue
			}
			if p.mayRemoveDisallowed(v, engine, state.Name) {
				order := backend.Order{Action: backend.ActionUnloadModel, Model: state.Name}
				p.order(v, engine, order, "the bundle does not allow %s at %s", state.Name, engine.Name)
			}
		}
	}
}

// mayRemoveDisallowed: a model in use must be ready elsewhere first.
func (p *Planner) mayRemoveDisallowed(v *view, engine *engineView, name string) bool {
	model := v.model(name)
	if model == nil || !p.demandComplete {
		return p.demandComplete
	}
	return v.readyElsewhere(name, engine) >= max(model.floor, min(model.need, model.allowedEngines))
}

// alignAdapters loads the adapters that the models of an engine require, and
// unloads the others. An adapter that is present in another version is replaced
// at one engine at a time.
func (p *Planner) alignAdapters(v *view) {
	for _, engine := range v.engines {
		if !engine.inSync || engine.isLoading() {
			continue
		}
		wanted := v.wantedAdapters(engine)
		order, reason := adapterOrder(engine, wanted)
		if order.Action == backend.ActionLoadAdapter && v.adapterLoading(order.Adapter) {
			continue
		}
		if order.Action != "" {
			p.order(v, engine, order, "%s", reason)
		}
	}
}

// wantedAdapters returns the adapters of the models that are ready at the engine.
func (v *view) wantedAdapters(engine *engineView) []Adapter {
	var wanted []Adapter
	for _, model := range v.models {
		if engine.hasReady(model.Name) {
			wanted = append(wanted, model.Adapters...)
		}
	}
	slices.SortFunc(wanted, func(a, b Adapter) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(wanted, func(a, b Adapter) bool { return a.Name == b.Name })
}

// adapterOrder returns the order for the first change that an engine's adapters
// need, with its reason; an order without an action if there is none.
func adapterOrder(engine *engineView, wanted []Adapter) (backend.Order, string) {
	present := engine.Report.AdapterStates
	for _, adapter := range wanted {
		loaded := slices.ContainsFunc(present, func(s backend.WeightsState) bool {
			return s.Name == adapter.Name && (adapter.Version == "" || s.Version == adapter.Version)
		})
		if !loaded {
			return backend.Order{Action: backend.ActionLoadAdapter, Adapter: adapter.Name, Version: adapter.Version},
				"a model here wants it"
		}
	}
	for _, state := range present {
		if !slices.ContainsFunc(wanted, func(a Adapter) bool { return a.Name == state.Name }) {
			return backend.Order{Action: backend.ActionUnloadAdapter, Adapter: state.Name}, "no model here wants it"
		}
	}
	return backend.Order{}, ""
}

// adapterLoading reports whether the adapter is loading at any engine.
func (v *view) adapterLoading(adapter string) bool {
	for _, engine := range v.engines {
		if !engine.Usable {
			continue
		}
		if !engine.inSync && engine.orderState.last.Adapter == adapter {
			return true
		}
		if slices.ContainsFunc(engine.Report.AdapterStates, func(s backend.WeightsState) bool { return s.Name == adapter && !s.Ready }) {
			return true
		}
	}
	return false
}

// alignRoles changes one engine in each plan to the role in the bundle. An
// engine may drain to change its role, so every model in use that it serves
// must be ready elsewhere, unless the new role includes all work of the old one.
func (p *Planner) alignRoles(v *view) {
	for _, engine := range v.engines {
		wanted := engine.WantedRole
		if !engine.inSync || wanted == "" || engine.Report.Role == "" || engine.Report.Role == wanted {
			continue
		}
		if wanted != roleBoth && !p.replaceable(v, engine) {
			continue
		}
		p.order(v, engine, backend.Order{Action: backend.ActionSetRole, Role: wanted}, "the bundle wants role %s, it has %s", wanted, engine.Report.Role)
		return
	}
}

// roleBoth is the role of an engine that does all kinds of work.
const roleBoth = "both"

// replaceable reports whether every model of the engine reaches its floor
// without this engine.
func (p *Planner) replaceable(v *view, engine *engineView) bool {
	if !p.demandComplete {
		return false
	}
	for _, state := range engine.states {
		model := v.model(state.Name)
		if model != nil && v.readyElsewhere(state.Name, engine) < model.floor {
			return false
		}
	}
	return true
}
