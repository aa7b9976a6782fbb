package scheduler

import (
	"math/bits"
	"time"
)

const (
	// pauseBuckets of doubling width cover pauses from 1 ms to over 2 hours.
	pauseBuckets = 24
	// pauseDecay multiplies the weight of earlier pauses when a new one is added:
	// the sketch remembers about the last 50.
	pauseDecay = 0.98
	// minPauseWeight is the total weight from which a sketch is used.
	minPauseWeight = 5.0
	// defaultPause is the expected pause before any sketch has enough weight.
	defaultPause = 10 * time.Second
	// defaultReturnChance is the initial chance of a next turn,
	// and returnLearningRate is the smoothing factor of its updates.
	defaultReturnChance = 0.9
	returnLearningRate  = 0.02
)

// pauseKind is the key by which pause lengths are learnt. The tool is the one that the
// program calls during the pause; empty if it is not known or for all pauses of the class.
type pauseKind struct {
	class string
	tool  string
}

// pauseModel learns how long programs pause between model calls, and whether
// they resume.
type pauseModel struct {
	sketches      map[pauseKind]*pauseSketch
	returnChances map[string]float64 // by class
}

func newPauseModel() *pauseModel {
	return &pauseModel{sketches: map[pauseKind]*pauseSketch{}, returnChances: map[string]float64{}}
}

// recordResume learns from a pause that ended with a next turn.
func (m *pauseModel) recordResume(kind pauseKind, length time.Duration) {
	m.sketch(pauseKind{class: kind.class}).add(length)
	if kind.tool != "" {
		m.sketch(kind).add(length)
	}
	m.updateReturnChance(kind.class, 1)
}

// recordEnd learns from a program that ended during a pause.
func (m *pauseModel) recordEnd(class string) { m.updateReturnChance(class, 0) }

func (m *pauseModel) updateReturnChance(class string, outcome float64) {
	chance := m.returnChance(class)
	m.returnChances[class] = chance + returnLearningRate*(outcome-chance)
}

func (m *pauseModel) returnChance(class string) float64 {
	if chance, found := m.returnChances[class]; found {
		return chance
	}
	return defaultReturnChance
}

// remaining returns how much longer a pause is expected to last.
func (m *pauseModel) remaining(kind pauseKind, elapsed time.Duration) time.Duration {
	for _, k := range []pauseKind{kind, {class: kind.class}} {
		if sketch := m.sketches[k]; sketch != nil && sketch.total >= minPauseWeight {
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

// pauseSketch is a histogram of pause lengths in which older pauses have less weight.
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
		s.weights[bucket] *= pauseDecay
	}
	s.weights[bucketOf(length)]++
	s.total = s.total*pauseDecay + 1
}

// remaining returns the mean remaining time of the recorded pauses longer than
// elapsed, spread evenly within each bucket. A pause longer than all recorded
// ones is expected to last as long again.
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
