package simulation

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// reviewInterval is how often a node reconsiders the caches of paused programs. The dispatcher uses
// the same interval.
const reviewInterval = 5 * time.Second

// startPause decides whether to keep the cache of a program whose call was just answered.
func (n *node) startPause(e *simulatedEngine, c *call) {
	decision := n.retainer.Pause(scheduler.PauseStart{
		Program: c.program.id,
		Class:   c.program.shape.Class,
		Engine:  e.name,
		Blocks:  c.prompt.blocks,
		Tokens:  c.final.tokens,
		Worth:   c.program.class.Worth,
	}, n.view.viewOf(e.number), n.run.clock.now)
	n.apply(decision)
}

// review reconsiders the caches of all paused programs.
func (n *node) review() {
	for _, decision := range n.retainer.Review(n.view.views(), n.run.clock.now) {
		n.apply(decision)
	}
}

// apply drops a cache if that is the decision.
func (n *node) apply(decision scheduler.RetentionDecision) {
	if decision.Action != scheduler.Drop {
		return
	}
	n.run.measure.cachesDropped++
	e := n.run.engines[decision.Engine]
	n.run.clock.after(n.run.delay(n.zone, e.zone), func() { e.release(decision.Program) })
}
