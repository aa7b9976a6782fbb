package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the costs that the node measures or assigns by itself.
const (
	// maxPreferenceMillis is less than the cost of another zone.
	maxPreferenceMillis = 5.0
	// lagSmoothing is the weight of the latest response.
	lagSmoothing = 0.3
	// lagTolerance is the difference between response latencies that the work itself explains, in ms.
	lagTolerance = 50.0
	// lagHalfLife is the half-life of a lag that no new response confirms.
	lagHalfLife = time.Second
	// shedMillis is the lag that a rejection for load counts as.
	shedMillis = 250.0
)

// lag is an engine's smoothed latency from the request to the start of its response.
type lag struct {
	millis float64
	at     time.Time
}

// lags holds the lag of each engine, and of the fastest engine of each service. Not safe for
// concurrent use.
type lags struct {
	engines map[string]lag     // by engine id
	fastest map[string]float64 // ms, by service
}

func newLags() *lags {
	return &lags{engines: make(map[string]lag), fastest: make(map[string]float64)}
}

// record adds the latency of one response.
func (l *lags) record(engine string, millis float64, now time.Time) {
	entry, found := l.engines[engine]
	if !found {
		entry.millis = millis
	}
	entry.millis += lagSmoothing * (millis - entry.millis)
	entry.at = now
	l.engines[engine] = entry
}

// update determines the fastest engine of each service, and drops the engines that were removed.
func (l *lags) update(serviceOf func(engine string) (service string, present bool)) {
	clear(l.fastest)
	for engine, entry := range l.engines {
		service, present := serviceOf(engine)
		if !present {
			delete(l.engines, engine)
			continue
		}
		if best, found := l.fastest[service]; !found || entry.millis < best {
			l.fastest[service] = entry.millis
		}
	}
}

// cost returns by how many milliseconds an engine lags behind the fastest of its service. The
// cost decays with the time since the engine's last response.
func (l *lags) cost(engine, service string, now time.Time) float64 {
	entry, found := l.engines[engine]
	if !found {
		return 0
	}
	excess := max(0, entry.millis-l.fastest[service]-lagTolerance)
	return excess * math.Exp2(-float64(now.Sub(entry.at))/float64(lagHalfLife))
}

// preference returns a cost that is constant for a node and an engine, and differs between nodes.
func preference(node, engine string) float64 {
	return maxPreferenceMillis * float64(xxhash.Sum64String(node+"\x00"+engine)) / math.MaxUint64
}
