package modelplan

// A removal is a copy that might be taken away to make room for another
// model; for is nil if nothing wants its place.
type removal struct {
	model  *modelView
	engine *engineView
	wanted *modelView
}

// removalRule refuses a removal by returning false.
type removalRule struct {
	name string
	pass func(p *Planner, v *view, r *removal) bool
}

// removalRules are asked in turn; a removal must pass all of them.
var removalRules = []removalRule{
	{"demand_known", demandKnown},
	{"settled", atSettledEngine},
	{"ready", isReady},
	{"cooldown", cooledDown},
	{"last_ready", leavesFloor},
	{"still_needed", notNeeded},
}

// mayRemove asks every rule.
func (p *Planner) mayRemove(v *view, r *removal) bool {
	for _, rule := range removalRules {
		if !rule.pass(p, v, r) {
			return false
		}
	}
	return true
}

// demandKnown: without the word of every member a model may be in use
// although no demand for it shows.
func demandKnown(p *Planner, _ *view, _ *removal) bool { return p.demandKnown }

// atSettledEngine: at any other engine an order may still be under way.
func atSettledEngine(_ *Planner, _ *view, r *removal) bool { return r.engine.settled }

// isReady: a copy on its way in was wanted a moment ago.
func isReady(_ *Planner, _ *view, r *removal) bool {
	return r.engine.ready(r.model.Name) && !r.engine.loading()
}

// cooledDown: a model that was loaded anywhere a moment ago keeps its copies.
func cooledDown(p *Planner, _ *view, r *removal) bool {
	return p.now.Sub(p.loadedLast(r.model.Name)) >= p.settings.Cooldown
}

// leavesFloor: the last ready copy of a model in use stays, and as many as
// the bundle wants.
func leavesFloor(_ *Planner, v *view, r *removal) bool {
	return v.keptElsewhere(r.model.Name, r.engine) >= r.model.floor
}

// notNeeded: the model has copies to spare, or that which wants the place is
// pressed clearly harder, even if the exchange is made.
func notNeeded(_ *Planner, v *view, r *removal) bool {
	left := v.keptElsewhere(r.model.Name, r.engine)
	if left >= r.model.keep {
		return true
	}
	if r.wanted == nil || r.wanted.have() >= r.wanted.need {
		return false
	}
	if r.wanted.have() < r.wanted.floor {
		return true
	}
	return r.wanted.pressure(r.wanted.have()+1) > exchangeMargin*r.model.pressure(left)
}
