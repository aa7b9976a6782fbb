package simulation

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/observation"
	"github.com/pewtermill/pewtermill/internal/standin/engine"
)

// Lags of what nodes know of engines; those of the observers and of the
// stand-in engine.
const (
	reportInterval = backend.DefaultObserveInterval
	reportLag      = 200 * time.Millisecond
	eventInterval  = time.Second
	eventDelay     = 100 * time.Millisecond
)

// simulatedEngine runs one engine's timing model in virtual time.
type simulatedEngine struct {
	run      *run
	number   int
	name     string
	zone     string
	model    *engine.Model
	calls    map[string]*call // waiting or running here, by id
	wakeAt   time.Time        // of the pending wake; zero if none
	wakeTurn uint64           // outdates pending wakes
}

// submit hands a call to the model.
func (e *simulatedEngine) submit(c *call) {
	request := engine.Request{
		ID:           c.id,
		Program:      c.program.id,
		PromptTokens: c.prompt.tokens,
		AnswerTokens: c.answerTokens,
		PromptBlocks: c.prompt.blocks,
		FinalBlocks:  c.final.blocks,
	}
	if err := e.model.Submit(e.run.clock.now, request); err != nil {
		e.run.fail(err)
		return
	}
	e.calls[c.id] = c
	e.advance()
}

// release frees what the engine holds for a program.
func (e *simulatedEngine) release(program string) {
	e.model.Release(e.run.clock.now, program)
	e.advance()
}

// advance handles the model's events up to now and schedules the next wake.
func (e *simulatedEngine) advance() {
	for _, event := range e.model.Advance(e.run.clock.now) {
		e.handle(event)
	}
	at, due := e.model.NextEvent()
	if !due || at.Equal(e.wakeAt) {
		return
	}
	e.wakeAt = at
	e.wakeTurn++
	turn := e.wakeTurn
	e.run.clock.at(at, func() {
		if turn == e.wakeTurn {
			e.wakeAt = time.Time{}
			e.advance()
		}
	})
}

// handle passes a model's event on.
func (e *simulatedEngine) handle(event engine.Event) {
	c := e.calls[event.Request]
	if c == nil {
		return
	}
	switch event.Kind {
	case engine.EventStarted:
		c.cachedTokens = event.CachedTokens
		e.run.measure.started(c)
	case engine.EventFirstToken:
		e.run.measure.stored(c.prompt.blocks[c.cachedTokens/engine.BlockTokens:])
	case engine.EventFinished:
		e.run.measure.stored(c.final.blocks[len(c.prompt.blocks):])
		delete(e.calls, event.Request)
		e.run.clock.after(e.run.delay(e.zone, c.program.node.zone), func() { c.program.node.finish(e, c) })
	}
}

// reportLoad tells the nodes that observe the engine its load, after the lag
// of reports.
func (e *simulatedEngine) reportLoad() {
	load := e.model.Load(e.run.clock.now)
	load.Models = e.run.models
	e.run.clock.after(reportLag, func() {
		report := observation.Report{
			Load:        load,
			ObservedAt:  e.run.clock.now,
			Reachable:   true,
			CacheEvents: e.run.index.Sequence(e.name),
		}
		for _, n := range e.run.nodes {
			if n.view.observes[e.number] {
				n.view.store(e.number, report)
			}
		}
	})
}

// publishEvents applies the engine's cache events, after their delay, to the
// index that the nodes which observe the engine share.
func (e *simulatedEngine) publishEvents() {
	until := e.run.clock.now.Add(-eventDelay)
	e.run.index.Apply(e.name, e.model.CacheEvents(e.run.index.Sequence(e.name), until))
}
