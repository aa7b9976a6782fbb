package simulation

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// reviewInterval is how often a node decides again about paused programs, as
// the dispatcher does.
const reviewInterval = 5 * time.Second

// pause decides about the cache of a program that has got an answer.
func (n *node) pause(e *simulatedEngine, c *call) {
	decision := n.retainer.Pause(scheduler.PauseStart{
		Program: c.program.id,
		Class:   c.program.shape.Class,
		Engine:  e.name,
		Blocks:  c.prompt.blocks,
		Tokens:  c.final.tokens,
		Worth:   c.program.class.Worth,
	}, n.view.viewOf(e.number), n.run.clock.now)
	n.carryOut(decision)
}

// review decides again about all paused programs.
func (n *node) review() {
	for _, decision := range n.retainer.Review(n.view.views(), n.run.clock.now) {
		n.carryOut(decision)
	}
}

// carryOut drops a cache if that was decided.
func (n *node) carryOut(decision scheduler.RetentionDecision) {
	if decision.Action != scheduler.Drop {
		return
	}
	n.run.measure.drops++
	e := n.run.engines[decision.Engine]
	n.run.clock.after(n.run.delay(n.zone, e.zone), func() { e.release(decision.Program) })
}
