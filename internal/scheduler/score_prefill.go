package scheduler

// scorePrefill estimates the time to prefill the part of the prompt that the
// engine does not have in its cache. Called for every engine that could run
// the call.
type scorePrefill struct{}

func (scorePrefill) name() string { return "prefill" }

func (scorePrefill) score(r *request, e *engine) float64 {
	return r.weights.prefix * e.prefillMillis(r.missing)
}
