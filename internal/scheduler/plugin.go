package scheduler

import (
	"slices"
	"time"
)

// request is what plugins may look at when they judge one call's engines.
type request struct {
	call           *Call
	now            time.Time
	weights        *weights
	index          PrefixIndex // may be nil
	distance       func(a, b string) float64
	local          LocalCosts // may be nil
	cold           ColdStarts
	ignoreEjection bool  // every engine of the model is ejected
	engineCount    int   // in the list
	missing        int64 // prompt tokens that the engine being scored has not cached
}

// filter excludes engines that must not get the call.
type filter interface {
	// name is what explain.Candidate.FilteredBy shows.
	name() string
	// rejects is called for each engine until one filter rejects it.
	rejects(r *request, e *engine) bool
}

// scorer estimates one part of the delay of running the call at an engine.
type scorer interface {
	// name is what explain.Score.Rule shows.
	name() string
	// score returns estimated milliseconds, already weighted.
	score(r *request, e *engine) float64
}

// modelFilters look only at the engine, the call's model and the time. They run first,
// in this order, and the first to reject an engine is the one that
// explanations name.
var modelFilters = []filter{filterNotReady{}, filterFailing{}, filterLeaving{}, filterStale{}, filterModel{}, filterEvacuated{}, filterCold{}}

// callFilters run after modelFilters. filterFull comes last and apart: an
// engine that it alone rejects may still be worth waiting for.
var callFilters = []filter{filterRegion{}, filterVersion{}, filterExcluded{}, filterEjected{}}

// scorers add up to an engine's total.
var scorers = [...]scorer{scoreWait{}, scorePrefill{}, scoreDistance{}, scoreEviction{}, scoreConnection{}, scoreLag{}, scorePreference{}, scoreSample{}, scoreWarmup{}}

// waitScorer is the position of scoreWait in scorers.
const waitScorer = 0

// candidate is one engine as judged for one call.
type candidate struct {
	engine     *engine
	filteredBy string // of filters; empty if usable
	full       bool   // usable, but at its concurrency limit
	missing    int64  // prompt tokens that it has not cached
	scores     [len(scorers)]float64
	total      float64
}

// usable tells whether the engine could run the call, now or later.
func (c *candidate) usable() bool { return c.filteredBy == "" }

// free tells whether the engine can take the call now.
func (c *candidate) free() bool { return c.filteredBy == "" && !c.full }

// judge runs the plugins over every engine and leaves the outcome in
// c.candidates, in order of name. It returns how many are usable. A call that names a version may try ejected
// engines where it has no others.
func (c *Core) judge(r *request) int {
	usable := c.judgeOnce(r)
	if usable > 0 || r.call.Version == "" || r.ignoreEjection || !c.anyFilteredBy(filterEjected{}) {
		return usable
	}
	r.ignoreEjection = true
	return c.judgeOnce(r)
}

// anyFilteredBy reports whether a filter alone excludes any of the engines as last judged.
func (c *Core) anyFilteredBy(rule filter) bool {
	return slices.ContainsFunc(c.candidates, func(judged candidate) bool { return judged.filteredBy == rule.name() })
}

// judgeOnce runs the plugins as the request has them.
func (c *Core) judgeOnce(r *request) int {
	usable := 0
	c.candidates = c.candidates[:0]
	for _, e := range c.engines {
		judged := candidate{engine: e, filteredBy: firstRejection(modelFilters, r, e)}
		if judged.usable() {
			judged.filteredBy = firstRejection(callFilters, r, e)
		}
		if judged.usable() {
			usable++
			judged.full = filterFull{}.rejects(r, e)
			r.missing = missingTokens(r, e)
			judged.missing = r.missing
			for i, rule := range scorers {
				judged.scores[i] = rule.score(r, e)
				judged.total += judged.scores[i]
			}
		}
		c.candidates = append(c.candidates, judged)
	}
	return usable
}

// firstRejection returns the name of the first filter that rejects, or "".
func firstRejection(filters []filter, r *request, e *engine) string {
	for _, rule := range filters {
		if rule.rejects(r, e) {
			return rule.name()
		}
	}
	return ""
}
