package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/explain"
)

// ejected reports whether the engine is ejected, so that it gets no calls.
func (e *engine) ejected(now time.Time) bool { return e.ejectedUntil.After(now) }

// probing reports whether the engine's ejection is over but no call has
// succeeded since.
func (e *engine) probing(now time.Time) bool { return e.ejections > 0 && !e.ejected(now) }

// recordOutcome records the end of a call. It ejects the engine after too many
// failures in a row, or after one failed probe. The outcome of a call that was assigned
// before the last ejection ended is ignored, since it is no evidence about the engine's
// state after the ejection; unless the engine is the only one for some model.
func (c *Core) recordOutcome(e *engine, assigned time.Time, succeeded bool, now time.Time) {
	if e.ejections > 0 && assigned.Before(e.ejectedUntil) && !c.onlyEngineOfSomeModel(e, now) {
		return
	}
	if succeeded {
		e.failures = 0
		e.ejections = 0
		return
	}
	e.failures++
	e.decreaseLimit(now)
	if e.failures < ejectAfterFailures && e.ejections == 0 {
		return
	}
	if c.onlyEngineOfSomeModel(e, now) {
		return
	}
	delay := ejectionDelay(e.ejections, c.random)
	e.ejections++
	e.ejectedUntil = now.Add(delay)
	c.record(explain.Decision{
		At: now, Kind: explain.Ejected, Chosen: e.view.Name, BundleVersion: c.bundleVersion,
		Reason: fmt.Sprintf("%d failures in a row; no new calls for %s, then one to probe it",
			e.failures, delay.Round(time.Millisecond)),
	})
}

// onlyEngineOfSomeModel reports whether some model of the engine has no other
// engine that can serve it.
func (c *Core) onlyEngineOfSomeModel(e *engine, now time.Time) bool {
	for _, model := range e.view.Models {
		anyCall := c.modelRequest(model, now)
		hasOther := slices.ContainsFunc(c.engines, func(other *engine) bool {
			return other != e && !other.ejected(now) && firstRejection(modelFilters, anyCall, other) == ""
		})
		if !hasOther {
			return true
		}
	}
	return false
}

// ejectionDelay returns a delay that doubles with each ejection in a row and
// is jittered between half and one and a half times that.
func ejectionDelay(ejections int, random *rand.Rand) time.Duration {
	delay := ejectionBaseDelay << min(ejections, 10)
	delay = min(delay, ejectionMaxDelay)
	return delay/2 + time.Duration(random.Int64N(int64(delay)))
}
