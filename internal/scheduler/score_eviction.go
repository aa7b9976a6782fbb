package scheduler

// scoreEviction estimates what the call costs other calls under memory pressure:
// the prefill time of the cached tokens that it would evict, multiplied by the
// chance that they would have been used again. It uses the prefix weight,
// since both count prefill. Called for every engine that could run the call.
type scoreEviction struct{}

func (scoreEviction) name() string { return "eviction" }

func (scoreEviction) score(r *request, e *engine) float64 {
	if e.view.CacheCapacityTokens <= 0 {
		return 0
	}
	needed := r.missing + expectedTokens(r.call)
	evicted := e.view.CacheUsedTokens + needed - e.view.CacheCapacityTokens
	if evicted <= 0 {
		return 0
	}
	evicted = min(evicted, needed)
	return r.weights.prefix * evictedReuseShare * e.prefillMillis(evicted)
}
