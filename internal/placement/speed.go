package placement

import "math"

// Speeds that engines are assumed to have until they are measured, in tokens per second.
const (
	defaultPrefillPerSecond = 60_000.0
	defaultDecodePerSecond  = 300.0
)

// Parameters of the speed estimates.
const (
	// fitWindow is about how many of the latest responses count.
	fitWindow = 200
	// minSamples is the number of responses after which a fit is used.
	minSamples = 20
	// outlierFactor caps a response at this multiple of the mean.
	outlierFactor = 4.0
	// minDecodeTokens is the length of the shortest answer from which the decode speed is estimated.
	minDecodeTokens = 40
	// minPrefillMillis is the lower bound of the estimate, in ms per token: 1,000,000 tokens per second.
	minPrefillMillis = 0.001
)

// fit is a linear regression with exponentially decaying weights: y is about base + slope * x.
type fit struct {
	samples, weight, x, y, xx, xy float64
}

// add adds one observation.
func (f *fit) add(x, y float64) {
	if f.samples >= minSamples {
		y = min(y, outlierFactor*f.y/f.weight)
	}
	const decay = 1 - 1.0/fitWindow
	f.samples++
	f.weight = f.weight*decay + 1
	f.x = f.x*decay + x
	f.y = f.y*decay + y
	f.xx = f.xx*decay + x*x
	f.xy = f.xy*decay + x*y
}

// coefficients returns base and slope. It reports false while there are too few observations, or
// they are too similar to determine a slope.
func (f *fit) coefficients() (base, slope float64, known bool) {
	variance := f.weight*f.xx - f.x*f.x
	if f.samples < minSamples || variance < 0.01*f.x*f.x {
		return 0, 0, false
	}
	slope = (f.weight*f.xy - f.x*f.y) / variance
	base = (f.y - slope*f.x) / f.weight
	return base, slope, !math.IsNaN(slope)
}

// speed holds a node's estimates of the speed of a service's engines, learned from their responses.
type speed struct {
	prefill fit // ms until the response started, by uncached prompt tokens
	decode  fit // ms per token, by concurrent calls at the engine
	length  fit // tokens of an answer, by its limit
}

// prefillPerSecond returns the speed of prompt prefill, in tokens per second.
func (s *speed) prefillPerSecond() float64 {
	_, slope, known := s.prefill.coefficients()
	if !known || slope <= 0 {
		return defaultPrefillPerSecond
	}
	return 1000 / max(minPrefillMillis, slope)
}

// decodePerSecond returns the decode speed of an otherwise idle engine, in tokens per second, and
// the fraction by which each concurrent call lengthens the time of a token; 0 if that is not known.
func (s *speed) decodePerSecond() (perSecond, slowdown float64) {
	base, slope, known := s.decode.coefficients()
	if !known || base <= 0 {
		return defaultDecodePerSecond, 0
	}
	return 1000 / base, max(0, slope) / base
}

// expected returns the expected length of an answer, in tokens.
func (s *speed) expected(maxTokens int64) int64 {
	if s.length.samples < minSamples || s.length.x <= 0 {
		return max(1, maxTokens/4)
	}
	return max(1, int64(float64(maxTokens)*s.length.y/s.length.x))
}

// speeds holds the speeds of all services. Not safe for concurrent use.
type speeds map[string]*speed

// of returns a service's speed, which it creates if there is none yet.
func (s speeds) of(service string) *speed {
	entry := s[service]
	if entry == nil {
		entry = &speed{}
		s[service] = entry
	}
	return entry
}
