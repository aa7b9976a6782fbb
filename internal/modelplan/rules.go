package modelplan

// A removal is a copy that may be unloaded to free a slot for another model;
// forModel is nil if no model needs the slot.
type removal struct {
	model    *modelView
	engine   *engineView
	forModel *modelView
}

// removalRule rejects a removal by returning false.
type removalRule struct {
	name   string
	allows func(p *Planner, v *view, r *removal) bool
}

// removalRules are evaluated in order; a removal must satisfy all of them.
var removalRules = []removalRule{
	{"demand_known", demandIsComplete},
	{"settled", engineInSync},
	{"ready", copyIsReady},
	{"cooldown", cooledDown},
	{"last_ready", keepsFloor},
	{"still_needed", canBeSpared},
}

// mayRemove reports whether every rule allows the removal.
func (p *Planner) mayRemove(v *view, r *removal) bool {
	for _, rule := range removalRules {
		if !rule.allows(p, v, r) {
			return false
		}
	}
	return true
}

// demandIsComplete: without the demand of every member, a model may be in use
// although no demand for it is reported.
func demandIsComplete(p *Planner, _ *view, _ *removal) bool { return p.demandComplete }

// engineInSync: at any other engine an order may still be in flight.
func engineInSync(_ *Planner, _ *view, r *removal) bool { return r.engine.inSync }

// copyIsReady: a copy that is still loading was needed shortly before.
func copyIsReady(_ *Planner, _ *view, r *removal) bool {
	return r.engine.hasReady(r.model.Name) && !r.engine.isLoading()
}

// cooledDown: a model keeps its copies for the cooldown after any load of it.
func cooledDown(p *Planner, _ *view, r *removal) bool {
	return p.now.Sub(p.lastLoadedAt(r.model.Name)) >= p.settings.Cooldown
}

// keepsFloor: a model keeps the ready copies that the bundle requires, and its
// last ready copy while it is in use.
func keepsFloor(_ *Planner, v *view, r *removal) bool {
	return v.readyElsewhere(r.model.Name, r.engine) >= r.model.floor
}

// canBeSpared: the model has copies to spare, or the model that needs the slot
// is below its floor, or has a clearly higher load per copy even after the
// exchange.
func canBeSpared(_ *Planner, v *view, r *removal) bool {
	left := v.readyElsewhere(r.model.Name, r.engine)
	if left >= r.model.keep {
		return true
	}
	if r.forModel == nil || r.forModel.copies() >= r.forModel.need {
		return false
	}
	if r.forModel.copies() < r.forModel.floor {
		return true
	}
	return r.forModel.loadPerCopy(r.forModel.copies()+1) > exchangeMargin*r.model.loadPerCopy(left)
}
