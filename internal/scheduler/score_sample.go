package scheduler

// Sample is the set of engines, by name, to which a call is assigned as long as one of them
// is usable. Nodes that all see the same idle engine would all choose it before they receive
// each other's load reports; a small sample for each call prevents this. Nil
// means all engines. It belongs to its call and does not change.
type Sample map[string]bool

// contains reports whether an engine is in the sample.
func (s Sample) contains(engine string) bool { return s == nil || s[engine] }

// outsideSampleMillis is above any delay, so that an engine outside a call's sample is
// chosen only if no engine of the sample is usable.
const outsideSampleMillis = 100_000.0

// scoreSample adds outsideSampleMillis to engines outside the call's sample. Called for every
// engine that could run the call.
type scoreSample struct{}

func (scoreSample) name() string { return "sample" }

func (scoreSample) score(r *request, e *engine) float64 {
	if r.call.Sample.contains(e.view.Name) {
		return 0
	}
	return outsideSampleMillis
}
