package simulation

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// tickInterval is the interval at which a node reads new reports and dispatches queued calls when no
// other event triggers it.
const tickInterval = reportInterval

// node is one simulated node with the real scheduler core.
type node struct {
	run   *run
	name  string
	zone  string
	core  *scheduler.Core
	view  *fleetView
	calls map[string]*call // queued here, by id

	retainer *scheduler.Retainer
}

// call is one model call of a program.
type call struct {
	id           string
	program      *program
	prompt       prompt
	final        prompt // prompt with the answer appended
	answerTokens int64
	assignedAt   time.Time
	cachedTokens int64
}

// submit queues a call.
func (n *node) submit(c *call) {
	now := n.run.clock.now
	if refusal := n.core.Submit(n.schedulerCall(c), now); refusal != nil {
		c.program.handleRefusal(refusal.Error)
		return
	}
	n.calls[c.id] = c
	n.dispatchReady()
}

// schedulerCall converts a call to the scheduler's type, as a node's dispatcher does.
func (n *node) schedulerCall(c *call) scheduler.Call {
	p := c.program
	return scheduler.Call{
		ID:              c.id,
		Program:         p.id,
		Sequence:        int64(p.turn + 1),
		Tenant:          p.shape.Tenant,
		Class:           p.shape.Class,
		Model:           n.run.deployment.Model,
		Zone:            n.zone,
		PrefixBlocks:    c.prompt.blocks,
		PromptTokens:    c.prompt.tokens,
		ExpectedTokens:  p.class.MaxTokens / 2,
		Submitted:       n.run.clock.now,
		Deadline:        p.timeoutAt,
		ProgramStarted:  p.started,
		ProgramDeadline: p.deadline,
		AttainedService: p.attainedService(),
		LastEngine:      p.lastEngine,
	}
}

// dispatchReady sends all calls that the core assigns now to their engines.
func (n *node) dispatchReady() {
	assignments, refusals := n.core.Schedule(n.run.clock.now)
	for _, assignment := range assignments {
		c := n.calls[assignment.Call.ID]
		delete(n.calls, c.id)
		c.assignedAt = n.run.clock.now
		e := n.run.engines[assignment.Engine]
		n.run.clock.after(n.run.delay(n.zone, e.zone), func() { e.submit(c) })
	}
	for _, refusal := range refusals {
		c := n.calls[refusal.Call.ID]
		delete(n.calls, c.id)
		c.program.handleRefusal(refusal.Error)
	}
}

// handleAnswer processes the answer of an engine to a call.
func (n *node) handleAnswer(e *simulatedEngine, c *call) {
	now := n.run.clock.now
	n.view.served.Mark(e.name, c.prompt.blocks)
	n.core.Finish(c.id, scheduler.Result{
		Engine:       e.name,
		Succeeded:    true,
		Duration:     now.Sub(c.assignedAt),
		CachedTokens: c.cachedTokens,
		PromptTokens: c.prompt.tokens,
	}, now)
	n.startPause(e, c)
	c.program.handleAnswer(e, c)
	n.dispatchReady()
}

// tick passes the latest reports to the scheduler core and dispatches queued calls.
func (n *node) tick() {
	n.core.SetEngines(n.view.views())
	n.dispatchReady()
}
