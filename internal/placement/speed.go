package placement

import "math"

// Speeds that engines are thought to have until they are known, in tokens a second.
const (
	firstPrefillPerSecond = 60_000.0
	firstDecodePerSecond  = 300.0
)

// Parameters of learning speeds.
const (
	// fitMemory is how many of the last answers count.
	fitMemory = 200
	// leastSamples is after how many answers a fit is believed.
	leastSamples = 20
	// outlier is from how many times the mean on an answer counts as that much.
	outlier = 4.0
	// leastDecodeTokens is the shortest answer that tells how fast tokens are made.
	leastDecodeTokens = 40
	// fastestPrefill bounds what is believed, in ms a token: 1,000,000 a second.
	fastestPrefill = 0.001
)

// fit is a line through observations, of which newer ones weigh more: y is about
// base + slope * x.
type fit struct {
	samples, weight, x, y, xx, xy float64
}

// note takes in one observation.
func (f *fit) note(x, y float64) {
	if f.samples >= leastSamples {
		y = min(y, outlier*f.y/f.weight)
	}
	const decay = 1 - 1.0/fitMemory
	f.samples++
	f.weight = f.weight*decay + 1
	f.x = f.x*decay + x
	f.y = f.y*decay + y
	f.xx = f.xx*decay + x*x
	f.xy = f.xy*decay + x*y
}

// line returns base and slope. It reports false while too little is known, or the
// observations are too much alike to tell.
func (f *fit) line() (base, slope float64, known bool) {
	spread := f.weight*f.xx - f.x*f.x
	if f.samples < leastSamples || spread < 0.01*f.x*f.x {
		return 0, 0, false
	}
	slope = (f.weight*f.xy - f.x*f.y) / spread
	base = (f.y - slope*f.x) / f.weight
	return base, slope, !math.IsNaN(slope)
}

// speed is what a node has learnt of a service's engines from their answers.
type speed struct {
	prefill fit // ms until the answer began, by prompt tokens that were not cached
	decode  fit // ms a token, by calls that ran beside
	length  fit // tokens of an answer, by the most that it might have had
}

// prefillPerSecond returns the speed of reading prompts, in tokens a second.
func (s *speed) prefillPerSecond() float64 {
	_, slope, known := s.prefill.line()
	if !known || slope <= 0 {
		return firstPrefillPerSecond
	}
	return 1000 / max(fastestPrefill, slope)
}

// decodePerSecond returns the speed of an engine with nothing else to do, in tokens a
// second, and by which part of its time a token is slower for each call that runs
// beside it; 0 if that is not known.
func (s *speed) decodePerSecond() (perSecond, slowdown float64) {
	base, slope, known := s.decode.line()
	if !known || base <= 0 {
		return firstDecodePerSecond, 0
	}
	return 1000 / base, max(0, slope) / base
}

// expected returns how long an answer will be, in tokens.
func (s *speed) expected(most int64) int64 {
	if s.length.samples < leastSamples || s.length.x <= 0 {
		return max(1, most/4)
	}
	return max(1, int64(float64(most)*s.length.y/s.length.x))
}

// speeds are the speeds of all services. Not safe for concurrent use.
type speeds map[string]*speed

// of returns a service's speed.
func (s speeds) of(service string) *speed {
	known := s[service]
	if known == nil {
		known = &speed{}
		s[service] = known
	}
	return known
}
