package scheduler

// filterFull excludes engines at their concurrency limit. Called for engines
// that pass every other filter; a call may still wait for such an engine.
type filterFull struct{}

func (filterFull) name() string { return "concurrency_full" }

// rejects leaves the engine's reserved slots to calls that only its version can serve.
func (filterFull) rejects(r *request, e *engine) bool {
	free := e.freeSlots(r.now)
	if r.call.Version == "" {
		free -= min(e.view.ReservedForVersion, e.slots(r.now)-1)
	}
	return free <= 0
}
