package scheduler

// scorePrefill estimates the time to prefill the part of the prompt that the
// engine does not have in its cache, which counts for more if the program has
// had turns. Called for every engine that could run the call.
type scorePrefill struct{}

func (scorePrefill) name() string { return "prefill" }

func (scorePrefill) score(r *request, e *engine) float64 {
	weight := r.weights.prefix
	if r.call.LastEngine != "" {
		weight *= returningFactor
	}
	return weight * e.prefillMillis(r.missing)
}
