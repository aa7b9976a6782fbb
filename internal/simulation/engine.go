package simulation

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/observation"
	"github.com/pewtermill/pewtermill/internal/standin/engine"
)

// Intervals and delays with which nodes observe engines. They match those of the observers and of
// the stand-in engine.
const (
	reportInterval = backend.DefaultObserveInterval
	reportLag      = 200 * time.Millisecond
	eventInterval  = time.Second
	eventDelay     = 100 * time.Millisecond
)

// simulatedEngine runs one engine's timing model in virtual time.
type simulatedEngine struct {
	run            *run
	number         int
	name           string
	zone           string
	model          *engine.Model
	calls          map[string]*call // waiting or running at this engine, by id
	wakeAt         time.Time        // time of the pending wake-up; zero if there is none
	wakeGeneration uint64           // number of the latest wake-up; earlier pending ones do nothing
}

// submit passes a call to the model.
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

// release frees the cache that the engine holds for a program.
func (e *simulatedEngine) release(program string) {
	e.model.Release(e.run.clock.now, program)
	e.advance()
}

// advance handles the model's events up to now and schedules the next wake-up.
func (e *simulatedEngine) advance() {
	for _, event := range e.model.Advance(e.run.clock.now) {
		e.handle(event)
	}
	at, due := e.model.NextEvent()
	if !due || at.Equal(e.wakeAt) {
		return
	}
	e.wakeAt = at
	e.wakeGeneration++
	generation := e.wakeGeneration
	e.run.clock.at(at, func() {
		if generation == e.wakeGeneration {
			e.wakeAt = time.Time{}
			e.advance()
		}
	})
}

// handle processes one event of the model.
func (e *simulatedEngine) handle(event engine.Event) {
	c := e.calls[event.Request]
	if c == nil {
		return
	}
	switch event.Kind {
	case engine.EventStarted:
		c.cachedTokens = event.CachedTokens
		e.run.measure.recordStart(c)
	case engine.EventFirstToken:
		e.run.measure.recordStored(c.prompt.blocks[c.cachedTokens/engine.BlockTokens:])
	case engine.EventFinished:
		e.run.measure.recordStored(c.final.blocks[len(c.prompt.blocks):])
		delete(e.calls, event.Request)
		e.run.clock.after(e.run.delay(e.zone, c.program.node.zone), func() { c.program.node.handleAnswer(e, c) })
	}
}

// reportLoad reports the engine's load to the nodes that observe it, reportLag later.
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
				n.view.storeReport(e.number, report)
			}
		}
	})
}

// publishEvents applies the engine's cache events, except those of the last eventDelay, to the
// index. The nodes that observe the engine share this index.
func (e *simulatedEngine) publishEvents() {
	until := e.run.clock.now.Add(-eventDelay)
	e.run.index.Apply(e.name, e.model.CacheEvents(e.run.index.Sequence(e.name), until))
}
