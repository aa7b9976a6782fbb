package scheduler

// filterEvacuated excludes engines in a zone that an operator has ordered to be evacuated, until
// the order is cancelled. Called for engines that could otherwise run the call.
type filterEvacuated struct{}

func (filterEvacuated) name() string { return "evacuated" }

func (filterEvacuated) rejects(_ *request, e *engine) bool { return e.view.Evacuated }
