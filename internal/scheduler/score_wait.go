package scheduler

// scoreWait estimates how long the call would wait for a slot at the engine,
// and how much a fuller batch slows its decoding. It uses the engine's delayed
// load report, this node's own calls in flight and the queued calls that wait
// for this engine. Called for every engine that could run the call.
type scoreWait struct{}

func (scoreWait) name() string { return "wait" }

func (scoreWait) score(r *request, e *engine) float64 {
	return r.weights.wait * (e.queueMillis(r.now) + e.slowdownMillis(r.call))
}
