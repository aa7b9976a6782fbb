package scheduler

// scorePrefill estimates the time to prefill the part of the prompt that the
// engine does not have in its cache. An engine that prefills delays its whole batch: if
// its load is known, the time counts once for the call itself and once for each call there. It
// has a higher weight if the program has had turns. Called for every engine that could run
// the call.
type scorePrefill struct{}

func (scorePrefill) name() string { return "prefill" }

func (scorePrefill) score(r *request, e *engine) float64 {
	weight := r.weights.prefix
	if e.view.LoadComplete {
		weight *= float64(1 + e.otherInFlight + e.inFlight)
	}
	if r.call.LastEngine != "" {
		weight *= returningFactor
	}
	return weight * e.prefillMillis(r.missing)
}
