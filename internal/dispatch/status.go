package dispatch

import (
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// States of an engine, as shown to operators.
const (
	StateReady       = "ready"
	StateLeaving     = "leaving"
	StateEjected     = "ejected"
	StateUnreachable = "unreachable"
)

// Status returns the engines as the scheduler will use them from now on: an engine that is shown as
// ready is eligible for the next call.
func (d *Dispatcher) Status() []api.EngineStatus {
	views := d.fleet.Views()
	states := d.queue.states(views)
	statuses := make([]api.EngineStatus, 0, len(views))
	for _, view := range views {
		statuses = append(statuses, api.EngineStatus{
			Name:     view.Name,
			Zone:     view.Zone,
			State:    stateOf(view, states[view.Name]),
			Models:   view.Models,
			Running:  view.Running,
			Waiting:  view.Waiting,
			InFlight: states[view.Name].InFlight,
		})
	}
	return statuses
}

func stateOf(view scheduler.EngineView, state scheduler.EngineState) string {
	switch {
	case view.Leaving:
		return StateLeaving
	case !view.Ready:
		return StateUnreachable
	case state.Ejected:
		return StateEjected
	}
	return StateReady
}

// states sets the scheduler's views of the engines, and returns its state of each engine, by name.
func (q *queue) states(views []scheduler.EngineView) map[string]scheduler.EngineState {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.setEngines(views)
	states := make(map[string]scheduler.EngineState, len(views))
	for _, state := range q.core.EngineStates(time.Now()) {
		states[state.Name] = state
	}
	return states
}
