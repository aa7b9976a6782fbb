package scheduler

// Costs of a cold engine in addition to its delay, in ms. It looks idle, since it may get few calls.
const (
	// warmupMillis is for a call that starts a conversation. It is above the cost of another zone
	// and of a node's preference, so that a cold engine is chosen once the warm ones are busy.
	warmupMillis = 10.0
	// moveMillis is for a call whose conversation was served by another engine. Its next calls would
	// follow it, and would be too many for the cold engine. The value must not be much higher, as
	// slots at cold engines are worth using: with 80 ms they stayed unused while calls were late at
	// full warm engines.
	moveMillis = 30.0
)

// scoreWarmup keeps calls away from cold engines while warm ones have free slots, except calls of
// conversations that the engine served before. Called for every engine that could run the call.
type scoreWarmup struct{}

func (scoreWarmup) name() string { return "warmup" }

func (scoreWarmup) score(r *request, e *engine) float64 {
	switch {
	case r.call.LastEngine == e.view.Name, !r.cold.Cold(e.view.Name, r.now):
		return 0
	case r.call.LastEngine == "":
		return warmupMillis
	}
	return moveMillis
}
