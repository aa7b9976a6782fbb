package modelplan

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// orderState is what a planner knows of its orders to one engine.
type orderState struct {
	last    backend.Order // Fence 0: none yet
	sentAt  time.Time
	timeout time.Duration // after which last counts as lost
	// unconfirmedUntil is the latest time at which the last ordered load may
	// be in progress without a report of it; zero once reports show its
	// outcome.
	unconfirmedUntil time.Time
}

// inSync reports whether the engine's report reflects every order of this
// planner, so that no order still in flight can change the engine.
func (l *orderState) inSync(engine *Engine) bool {
	return engine.Usable && l.last.Fence != 0 && engine.Report.Fence == l.last.Fence
}

// overdue reports whether the last order should have shown in the reports by now.
func (l *orderState) overdue(now time.Time) bool {
	return l.last.Fence == 0 || now.Sub(l.sentAt) >= l.timeout
}

// confirmIfInSync clears unconfirmedUntil if the report is in sync. It is called
// with each report.
func (l *orderState) confirmIfInSync(engine *Engine) {
	if l.inSync(engine) {
		l.unconfirmedUntil = time.Time{}
	}
}

// recordSent records an order. The timeout doubles each time that the fence is
// raised again, so the planner raises it less and less often.
func (l *orderState) recordSent(order backend.Order, now time.Time) {
	if order.Action == backend.ActionRaiseFence && l.last.Action == backend.ActionRaiseFence {
		l.timeout = min(2*l.timeout, maxOrderTimeout)
	} else {
		l.timeout = orderTimeout
	}
	l.last = order
	l.sentAt = now
}

// expectedStates returns the models that the engine will hold once it has
// applied the last order, if its report does not show that yet.
func (l *orderState) expectedStates(engine *Engine) []backend.WeightsState {
	if l.inSync(engine) {
		return engine.Report.ModelStates
	}
	return statesAfter(engine.Report.ModelStates, l.last)
}

// statesAfter returns the states that an order leads to.
func statesAfter(states []backend.WeightsState, order backend.Order) []backend.WeightsState {
	next := make([]backend.WeightsState, 0, len(states)+1)
	switch order.Action {
	case backend.ActionUnloadModel:
		for _, state := range states {
			if state.Name != order.Model {
				next = append(next, state)
			}
		}
		return next
	case backend.ActionLoadModel:
		for _, state := range states {
			if state.Name == order.Model && state.Version == order.Version {
				return states
			}
		}
		return append(append(next, states...), backend.WeightsState{Name: order.Model, Version: order.Version})
	}
	return states
}
