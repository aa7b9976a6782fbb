package placement

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/admission"
	"github.com/pewtermill/pewtermill/internal/loads"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// demand holds the work that waits for engines beyond their calls in flight, and the capacity of
// the engines. The placer's mutex guards it.
type demand struct {
	queued          map[string]int      // waiting calls, by service
	pendingPrograms map[string]int      // admitted programs that have not requested an engine yet, by service
	capacity        map[string]capacity // by service, as of the last refresh
	rejected        rejectedPrograms
}

// capacity holds the concurrency slots of one service's engines, and the calls of other nodes there.
type capacity struct {
	slots      int
	otherCalls int
}

// usable reports whether an engine is known to take new work. The mutex is held.
func (p *Placer) usable(id string) bool {
	engine, found := p.engines[id]
	return found && !engine.Draining && !p.failing.statuses[id].Excluded && !p.evacuation.covers(engine) && !p.lostZones.covers(engine)
}

// measureCapacity counts the slots of all services. The mutex is held.
func (p *Placer) measureCapacity() {
	p.demand.capacity = make(map[string]capacity)
	for id, engine := range p.engines {
		if !p.usable(id) {
			continue
		}
		counted := p.demand.capacity[engine.Service]
		counted.slots += engine.Slots
		counted.otherCalls += p.otherInFlight(id)
		p.demand.capacity[engine.Service] = counted
	}
}

// Counts returns the load of a service: slots and calls of other nodes as of the last refresh,
// and this node's own calls as of now.
func (p *Placer) Counts(service string) admission.Counts {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counted := p.demand.capacity[service]
	counts := admission.Counts{
		Complete: p.fleet.otherCounts != nil,
		Slots:    counted.slots,
		InFlight: counted.otherCalls,
		Waiting:  p.fleet.otherCounts[loads.QueueKey(service)] + p.demand.queued[service],
		Pending:  p.fleet.otherCounts[loads.PendingKey(service)] + p.demand.pendingPrograms[service],
		Age:      now.Sub(p.fleet.received),
	}
	for id, calls := range p.ownCalls {
		if engine := p.engines[id]; engine.Service == service && !engine.Draining {
			counts.InFlight += calls
		}
	}
	return counts
}

// Waiting returns how many calls wait at this node for an engine.
func (p *Placer) Waiting() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	waiting := 0
	for _, calls := range p.demand.queued {
		waiting += calls
	}
	return waiting
}

// AddPendingProgram counts a program that is about to request an engine of a service, until the
// returned function is called.
func (p *Placer) AddPendingProgram(service string) (done func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.demand.pendingPrograms == nil {
		p.demand.pendingPrograms = make(map[string]int)
	}
	p.demand.pendingPrograms[service]++
	return func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if p.demand.pendingPrograms[service]--; p.demand.pendingPrograms[service] <= 0 {
			delete(p.demand.pendingPrograms, service)
		}
	}
}

// enqueue counts the call if it has to wait, and reports whether it does. The mutex is held.
func (p *Placer) enqueue(call scheduler.Call) bool {
	if p.waiting[call.ID] == nil {
		return false
	}
	if p.demand.queued == nil {
		p.demand.queued = make(map[string]int)
	}
	p.demand.queued[call.Model]++
	return true
}

// dequeue stops counting a call that enqueue counted. The mutex is held.
func (p *Placer) dequeue(service string, queued bool) {
	if !queued {
		return
	}
	if p.demand.queued[service]--; p.demand.queued[service] <= 0 {
		delete(p.demand.queued, service)
	}
}
