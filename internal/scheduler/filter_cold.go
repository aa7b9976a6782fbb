package scheduler

// filterCold excludes cold engines to which this node may not send a call at the moment. It is
// one of the model filters, so that a node's capacity does not include these engines. Called for
// engines that have the call's model loaded.
type filterCold struct{}

func (filterCold) name() string { return "cold" }

func (filterCold) rejects(r *request, e *engine) bool { return r.cold.HeldBack(e.view.Name, r.now) }
