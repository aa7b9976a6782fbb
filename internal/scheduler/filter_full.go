package scheduler

// filterFull excludes engines at their concurrency limit. Called for engines
// that pass every other filter; the call may still wait for such an engine.
type filterFull struct{}

func (filterFull) name() string { return "concurrency_full" }

func (filterFull) rejects(r *request, e *engine) bool { return e.freeSlots(r.now) <= 0 }
