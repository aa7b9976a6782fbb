package modelplan

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// loadModels loads copies of the models that lack some, those with the highest
// load per copy first.
func (p *Planner) loadModels(v *view) {
	for _, model := range byLoadPerCopy(v.models) {
		if model.copies() >= model.target || !p.mayStartLoad(v, model) {
			continue
		}
		if engine := engineWithFreeSlot(v, model); engine != nil {
			p.load(v, engine, model, "%s; %s has a free place", model.shortage(), engine.Name)
			continue
		}
		if v.slotPending(model.Name) {
			continue
		}
		if victim := p.bestRemoval(v, model); victim != nil {
			p.remove(v, victim)
			continue
		}
		if model.copies() < model.floor {
			p.freeSlotFor(v, model)
		}
	}
}

// byLoadPerCopy sorts models by load per copy, the highest first.
func byLoadPerCopy(models []*modelView) []*modelView {
	sorted := slices.Clone(models)
	slices.SortStableFunc(sorted, func(a, b *modelView) int {
		return cmp.Or(
			cmp.Compare(b.loadPerCopy(b.copies()), a.loadPerCopy(a.copies())),
			cmp.Compare(b.need-b.copies(), a.need-a.copies()),
		)
	})
	return sorted
}

// shortage describes what a model lacks, for the reason of an order.
func (m *modelView) shortage() string {
	wants := fmt.Sprintf("needs %d", m.need)
	if m.copies() >= m.need {
		wants = fmt.Sprintf("needs %d and a warm spare", m.need)
	}
	if m.rolling {
		wants += " while its version changes"
	}
	return fmt.Sprintf("%s has %d ready and %d loading, %s for %.1f calls at once and %.1f queued",
		m.Name, m.serving, m.loading, wants, m.predicted, m.demand.Queued)
}

// engineWithFreeSlot returns the engine with a free slot that suits the model
// best: in the zone with the fewest copies of it, then with the fewest calls.
func engineWithFreeSlot(v *view, model *modelView) *engineView {
	var best *engineView
	for _, engine := range v.engines {
		if !engine.mayLoad(model.Name) || engine.freeSlots() <= 0 {
			continue
		}
		if best == nil || isBetterEngine(v, model.Name, engine, best) {
			best = engine
		}
	}
	return best
}

func isBetterEngine(v *view, model string, a, b *engineView) bool {
	return cmp.Or(
		cmp.Compare(v.copiesInZone(model, a.Zone), v.copiesInZone(model, b.Zone)),
		cmp.Compare(a.callCount(), b.callCount()),
		cmp.Compare(len(a.states), len(b.states)),
	) < 0
}

// bestRemoval returns the removal that frees a slot for the model at the lowest
// cost: of the model with the lowest load per remaining copy. It returns nil if
// the rules forbid every removal.
func (p *Planner) bestRemoval(v *view, forModel *modelView) *removal {
	var best *removal
	minCost := math.Inf(1)
	for _, engine := range v.engines {
		if !engine.mayLoad(forModel.Name) {
			continue
		}
		for _, state := range engine.states {
			model := v.model(state.Name)
			if model == nil {
				continue
			}
			candidate := &removal{model: model, engine: engine, forModel: forModel}
			if !p.mayRemove(v, candidate) {
				continue
			}
			cost := model.loadPerCopyWithout(v, engine)
			if best == nil || cost < minCost || cost == minCost && isBetterEngine(v, forModel.Name, engine, best.engine) {
				best, minCost = candidate, cost
			}
		}
	}
	return best
}

// loadPerCopyWithout returns the load on each remaining copy after the engine's
// copy is removed; 0 if there is no load, even if no copy remains.
func (m *modelView) loadPerCopyWithout(v *view, engine *engineView) float64 {
	if m.predicted == 0 {
		return 0
	}
	return m.loadPerCopy(v.readyElsewhere(m.Name, engine))
}

// remove orders an engine to unload a copy.
func (p *Planner) remove(v *view, r *removal) {
	reason := fmt.Sprintf("%s keeps %d ready copies and needs %d", r.model.Name, v.readyElsewhere(r.model.Name, r.engine), r.model.need)
	if r.forModel != nil {
		reason = fmt.Sprintf("makes room for %s: %s; %s", r.forModel.Name, r.forModel.shortage(), reason)
	}
	r.model.serving--
	p.order(v, r.engine, backend.Order{Action: backend.ActionUnloadModel, Model: r.model.Name}, "%s", reason)
}

// freeSlotFor loads a model that occupies a slot at an engine on another engine
// as well, so that its copy can be removed later. Otherwise a model that is
// allowed on few engines could stay without a copy although other engines have
// free slots.
func (p *Planner) freeSlotFor(v *view, forModel *modelView) {
	for _, engine := range v.engines {
		if !engine.mayLoad(forModel.Name) {
			continue
		}
		for _, state := range engine.states {
			model := v.model(state.Name)
			if model == nil || model.loading > 0 || !p.mayStartLoad(v, model) {
				continue
			}
			if target := engineWithFreeSlot(v, model); target != nil {
				p.load(v, target, model, "lets %s give its place at %s to %s: %s", model.Name, engine.Name, forModel.Name, forModel.shortage())
				return
			}
		}
	}
}
