package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Weights of what the node knows of engines by its own doing.
const (
	// maxPreferenceMillis is below the cost of another zone.
	maxPreferenceMillis = 5.0
	// lagSmoothing is the weight of the newest answer.
	lagSmoothing = 0.3
	// lagTolerance is how far answers differ anyway, by the work that they take.
	lagTolerance = 50.0
	// lagHalfLife is how fast a lag is forgotten that no answer confirms.
	lagHalfLife = time.Second
	// shedMillis is the lag that a refusal for load counts as.
	shedMillis = 250.0
)

// lag is how long an engine has taken of late until its answer began.
type lag struct {
	millis float64
	at     time.Time
}

// lags holds the lag of each engine, and of each service's quickest. Not safe for
// concurrent use.
type lags struct {
	engines  map[string]lag     // by engine id
	quickest map[string]float64 // ms, by service
}

func newLags() *lags {
	return &lags{engines: make(map[string]lag), quickest: make(map[string]float64)}
}

// note takes in one answer.
func (l *lags) note(engine string, millis float64, now time.Time) {
	known, found := l.engines[engine]
	if !found {
		known.millis = millis
	}
	known.millis += lagSmoothing * (millis - known.millis)
	known.at = now
	l.engines[engine] = known
}

// settle works out the quickest engine of each service anew, and forgets the
// engines that are gone.
func (l *lags) settle(serviceOf func(engine string) (service string, present bool)) {
	clear(l.quickest)
	for engine, known := range l.engines {
		service, present := serviceOf(engine)
		if !present {
			delete(l.engines, engine)
			continue
		}
		if best, found := l.quickest[service]; !found || known.millis < best {
			l.quickest[service] = known.millis
		}
	}
}

// cost returns by how much an engine lags behind its service's quickest, less the
// longer nothing was heard of it.
func (l *lags) cost(engine, service string, now time.Time) float64 {
	known, found := l.engines[engine]
	if !found {
		return 0
	}
	excess := max(0, known.millis-l.quickest[service]-lagTolerance)
	return excess * math.Exp2(-float64(now.Sub(known.at))/float64(lagHalfLife))
}

// preference returns a cost that is the same for a node and an engine always, and
// differs between nodes.
func preference(node, engine string) float64 {
	return maxPreferenceMillis * float64(xxhash.Sum64String(node+"\x00"+engine)) / math.MaxUint64
}
