package modelplan

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// loadModels brings copies in for the models that lack some, those that are
// pressed hardest first.
func (p *Planner) loadModels(v *view) {
	for _, model := range byPressure(v.models) {
		if model.have() >= model.target || !p.mayStartLoad(v, model) {
			continue
		}
		if engine := bestFreePlace(v, model); engine != nil {
			p.load(v, engine, model, "%s; %s has a free place", model.shortage(), engine.Name)
			continue
		}
		if v.placeComing(model.Name) {
			continue
		}
		if victim := p.bestRemoval(v, model); victim != nil {
			p.remove(v, victim)
			continue
		}
		if model.have() < model.floor {
			p.makeWay(v, model)
		}
	}
}

// byPressure sorts by load per copy, the heaviest first.
func byPressure(models []*modelView) []*modelView {
	sorted := slices.Clone(models)
	slices.SortStableFunc(sorted, func(a, b *modelView) int {
		return cmp.Or(
			cmp.Compare(b.pressure(b.have()), a.pressure(a.have())),
			cmp.Compare(b.need-b.have(), a.need-a.have()),
		)
	})
	return sorted
}

// shortage says in words what a model lacks.
func (m *modelView) shortage() string {
	wants := fmt.Sprintf("needs %d", m.need)
	if m.have() >= m.need {
		wants = fmt.Sprintf("needs %d and a warm spare", m.need)
	}
	if m.rolling {
		wants += " while its version changes"
	}
	return fmt.Sprintf("%s has %d ready and %d loading, %s for %.1f calls at once and %.1f queued",
		m.Name, m.serving, m.loading, wants, m.predicted, m.demand.Queued)
}

// bestFreePlace returns the engine with a free place that suits the model
// best: in the zone with the fewest copies of it, with the fewest calls.
func bestFreePlace(v *view, model *modelView) *engineView {
	var best *engineView
	for _, engine := range v.engines {
		if !engine.mayLoad(model.Name) || engine.freePlaces() <= 0 {
			continue
		}
		if best == nil || betterPlace(v, model.Name, engine, best) {
			best = engine
		}
	}
	return best
}

func betterPlace(v *view, model string, a, b *engineView) bool {
	return cmp.Or(
		cmp.Compare(v.inZone(model, a.Zone), v.inZone(model, b.Zone)),
		cmp.Compare(a.busy(), b.busy()),
		cmp.Compare(len(a.states), len(b.states)),
	) < 0
}

// bestRemoval returns the copy that gives its place to the model at the least
// cost: that of the model with the least load per copy left. It returns nil if
// the rules forbid every one.
func (p *Planner) bestRemoval(v *view, wanted *modelView) *removal {
	var best *removal
	least := math.Inf(1)
	for _, engine := range v.engines {
		if !engine.mayLoad(wanted.Name) {
			continue
		}
		for _, state := range engine.states {
			model := v.model(state.Name)
			if model == nil {
				continue
			}
			candidate := &removal{model: model, engine: engine, wanted: wanted}
			if !p.mayRemove(v, candidate) {
				continue
			}
			cost := model.pressureWithout(v, engine)
			if best == nil || cost < least || cost == least && betterPlace(v, wanted.Name, engine, best.engine) {
				best, least = candidate, cost
			}
		}
	}
	return best
}

// pressureWithout is the load on each copy that is left; none if there is no
// load, whatever is left.
func (m *modelView) pressureWithout(v *view, engine *engineView) float64 {
	if m.predicted == 0 {
		return 0
	}
	return m.pressure(v.keptElsewhere(m.Name, engine))
}

// remove orders a copy to be unloaded.
func (p *Planner) remove(v *view, r *removal) {
	reason := fmt.Sprintf("%s keeps %d ready copies and needs %d", r.model.Name, v.keptElsewhere(r.model.Name, r.engine), r.model.need)
	if r.wanted != nil {
		reason = fmt.Sprintf("makes room for %s: %s; %s", r.wanted.Name, r.wanted.shortage(), reason)
	}
	r.model.serving--
	p.order(v, r.engine, backend.Order{Action: backend.ActionUnloadModel, Model: r.model.Name}, "%s", reason)
}

// makeWay loads a model that stands in the way at another engine, so that its
// copy here can be removed later: else a model that is allowed on few engines
// could stay without a copy while there are free places elsewhere.
func (p *Planner) makeWay(v *view, wanted *modelView) {
	for _, engine := range v.engines {
		if !engine.mayLoad(wanted.Name) {
			continue
		}
		for _, state := range engine.states {
			model := v.model(state.Name)
			if model == nil || model.loading > 0 || !p.mayStartLoad(v, model) {
				continue
			}
			if place := bestFreePlace(v, model); place != nil {
				p.load(v, place, model, "lets %s give its place at %s to %s: %s", model.Name, engine.Name, wanted.Name, wanted.shortage())
				return
			}
		}
	}
}
