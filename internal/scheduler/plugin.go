package scheduler

import (
	"slices"
	"time"
)

// request is the input of the plugins when they evaluate the engines for one call.
type request struct {
	call           *Call
	now            time.Time
	weights        *weights
	index          PrefixIndex // may be nil
	distance       func(a, b string) float64
	local          LocalCosts // may be nil
	cold           ColdStarts
	ignoreEjection bool  // every engine of the model is ejected
	engineCount    int   // number of listed engines
	missing        int64 // prompt tokens that the engine being scored has not cached
}

// filter excludes engines that must not get the call.
type filter interface {
	// name returns the value of explain.Candidate.FilteredBy.
	name() string
	// rejects reports whether the engine must not get the call. It is called for each engine
	// until one filter rejects the engine.
	rejects(r *request, e *engine) bool
}

// scorer estimates one component of the delay of running the call at an engine.
type scorer interface {
	// name returns the value of explain.Score.Rule.
	name() string
	// score returns estimated milliseconds, already weighted.
	score(r *request, e *engine) float64
}

// modelFilters depend only on the engine, the call's model and the time. They run first,
// in this order. Explanations name the first filter that rejects an engine.
var modelFilters = []filter{filterNotReady{}, filterFailing{}, filterLeaving{}, filterStale{}, filterModel{}, filterEvacuated{}, filterCold{}}

// callFilters run after modelFilters. filterFull runs separately after them: an
// engine that only filterFull rejects may still be worth waiting for.
var callFilters = []filter{filterRegion{}, filterVersion{}, filterExcluded{}, filterEjected{}}

// scorers are the components of an engine's total.
var scorers = [...]scorer{scoreWait{}, scorePrefill{}, scoreDistance{}, scoreEviction{}, scoreConnection{}, scoreLag{}, scorePreference{}, scoreSample{}, scoreWarmup{}}

// waitScorer is the position of scoreWait in scorers.
const waitScorer = 0

// candidate is the evaluation of one engine for one call.
type candidate struct {
	engine     *engine
	filteredBy string // name of the filter that rejected it; empty if usable
	full       bool   // usable, but at its concurrency limit
	missing    int64  // prompt tokens that it has not cached
	scores     [len(scorers)]float64
	total      float64
}

// usable reports whether the engine could run the call, now or later.
func (c *candidate) usable() bool { return c.filteredBy == "" }

// free reports whether the engine can take the call now.
func (c *candidate) free() bool { return c.filteredBy == "" && !c.full }

// evaluate runs the plugins for every engine and stores the result in c.candidates, sorted
// by name. It returns the number of usable engines. A call that names a version may use ejected
// engines if that version has no others.
func (c *Core) evaluate(r *request) int {
	usable := c.evaluateOnce(r)
	if usable > 0 || r.call.Version == "" || r.ignoreEjection || !c.anyFilteredBy(filterEjected{}) {
		return usable
	}
	r.ignoreEjection = true
	return c.evaluateOnce(r)
}

// anyFilteredBy reports whether the last evaluation excluded an engine by this filter.
func (c *Core) anyFilteredBy(rule filter) bool {
	return slices.ContainsFunc(c.candidates, func(cand candidate) bool { return cand.filteredBy == rule.name() })
}

// evaluateOnce runs the plugins once, with the request as it is.
func (c *Core) evaluateOnce(r *request) int {
	usable := 0
	c.candidates = c.candidates[:0]
	for _, e := range c.engines {
		cand := candidate{engine: e, filteredBy: firstRejection(modelFilters, r, e)}
		if cand.usable() {
			cand.filteredBy = firstRejection(callFilters, r, e)
		}
		if cand.usable() {
			usable++
			cand.full = filterFull{}.rejects(r, e)
			r.missing = missingTokens(r, e)
			cand.missing = r.missing
			for i, rule := range scorers {
				cand.scores[i] = rule.score(r, e)
				cand.total += cand.scores[i]
			}
		}
		c.candidates = append(c.candidates, cand)
	}
	return usable
}

// firstRejection returns the name of the first filter that rejects the engine, or "".
func firstRejection(filters []filter, r *request, e *engine) string {
	for _, rule := range filters {
		if rule.rejects(r, e) {
			return rule.name()
		}
	}
	return ""
}
