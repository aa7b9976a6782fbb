package scheduler

// Sample is the set of engines, by name, that a call is placed on as long as one of them
// can take it. Nodes that know of the same idle engine would all take it before they
// hear of each other; where each call looks at a few engines only, they do not. Nil
// stands for all engines. It belongs to its call and does not change.
type Sample map[string]bool

// contains reports whether an engine is in the sample.
func (s Sample) contains(engine string) bool { return s == nil || s[engine] }

// outsideSampleMillis is above any delay, so that an engine outside of a call's sample is
// taken only where none inside is usable.
const outsideSampleMillis = 100_000.0

// scoreSample keeps a call from engines outside of its sample. Called for every engine
// that could run the call.
type scoreSample struct{}

func (scoreSample) name() string { return "sample" }

func (scoreSample) score(r *request, e *engine) float64 {
	if r.call.Sample.contains(e.view.Name) {
		return 0
	}
	return outsideSampleMillis
}
