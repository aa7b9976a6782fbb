package scheduler

import (
	"math/bits"
	"time"
)

const (
	// pauseBuckets of doubling width cover pauses from 1 ms to over 2 hours.
	pauseBuckets = 24
	// pauseMemory is how much of the weight of earlier pauses each new one
	// leaves: the sketch remembers about the last 50.
	pauseMemory = 0.98
	// pausesEnough is the weight from which a sketch is believed.
	pausesEnough = 5.0
	// defaultPause is expected before anything is known.
	defaultPause = 10 * time.Second
	// defaultReturnChance is the chance of a next turn before any is known,
	// and returnRate is how fast it is learnt.
	defaultReturnChance = 0.9
	returnRate          = 0.02
)

// pauseKind is what pauses are learnt by. Next is the tool that the program
// calls in the pause, or empty while that is not known.
type pauseKind struct {
	class string
	next  string
}

// pauseModel learns how long programs pause between model calls, and whether
// they come back.
type pauseModel struct {
	sketches map[pauseKind]*pauseSketch
	returns  map[string]float64 // by class
}

func newPauseModel() *pauseModel {
	return &pauseModel{sketches: map[pauseKind]*pauseSketch{}, returns: map[string]float64{}}
}

// returned learns from a pause that has ended in a next turn.
func (m *pauseModel) returned(kind pauseKind, length time.Duration) {
	m.sketch(pauseKind{class: kind.class}).add(length)
	if kind.next != "" {
		m.sketch(kind).add(length)
	}
	m.learnReturn(kind.class, 1)
}

// ended learns from a program that has ended instead.
func (m *pauseModel) ended(class string) { m.learnReturn(class, 0) }

func (m *pauseModel) learnReturn(class string, returned float64) {
	chance := m.returnChance(class)
	m.returns[class] = chance + returnRate*(returned-chance)
}

func (m *pauseModel) returnChance(class string) float64 {
	if chance, known := m.returns[class]; known {
		return chance
	}
	return defaultReturnChance
}

// remaining is how much longer a pause is expected to last.
func (m *pauseModel) remaining(kind pauseKind, elapsed time.Duration) time.Duration {
	for _, known := range []pauseKind{kind, {class: kind.class}} {
		if sketch := m.sketches[known]; sketch != nil && sketch.total >= pausesEnough {
			return sketch.remaining(elapsed)
		}
	}
	return max(defaultPause, elapsed)
}

func (m *pauseModel) sketch(kind pauseKind) *pauseSketch {
	if m.sketches[kind] == nil {
		m.sketches[kind] = &pauseSketch{}
	}
	return m.sketches[kind]
}

// pauseSketch is a histogram of pauses whose weights fade as new ones come.
type pauseSketch struct {
	weights [pauseBuckets]float64
	total   float64
}

// bucketOf returns the bucket from 2^(n-1) to 2^n ms; bucket 0 is below 1 ms.
func bucketOf(length time.Duration) int {
	return min(bits.Len64(uint64(max(0, length.Milliseconds()))), pauseBuckets-1)
}

// bounds returns the limits of a bucket.
func bounds(bucket int) (low, high time.Duration) {
	if bucket == 0 {
		return 0, time.Millisecond
	}
	return time.Millisecond << (bucket - 1), time.Millisecond << bucket
}

func (s *pauseSketch) add(length time.Duration) {
	for bucket := range s.weights {
		s.weights[bucket] *= pauseMemory
	}
	s.weights[bucketOf(length)]++
	s.total = s.total*pauseMemory + 1
}

// remaining is the mean of what is left of those pauses that are longer than
// elapsed, spread evenly within each bucket. A pause longer than all known
// ones is expected to go on as long again.
func (s *pauseSketch) remaining(elapsed time.Duration) time.Duration {
	weight, sum := 0.0, 0.0
	for bucket, share := range s.weights {
		low, high := bounds(bucket)
		if high <= elapsed {
			continue
		}
		longer := max(low, elapsed)
		share *= float64(high-longer) / float64(high-low)
		weight += share
		sum += share * float64((longer+high)/2-elapsed)
	}
	const negligible = 1e-3
	if weight < negligible*s.total {
		return elapsed
	}
	return time.Duration(sum / weight)
}
