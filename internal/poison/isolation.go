package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/rendezvous"
)

// isolationPeriod is how long after its last end a request is kept apart from others. Its client has come back by then.
const isolationPeriod = 10 * time.Second

// GatherPeriod is how long after its last end a request waits, before it is kept apart from others, for the ends of those
// that ran beside it: other nodes notice them at the same time, and report them within a round trip.
const GatherPeriod = 50 * time.Millisecond

// oneEndLeft reports whether no engine gets the request any more once another one ends under it.
func (s *suspect) oneEndLeft() bool { return s.ended == MaxEngines-1 }

// Isolate returns the engines, of those of a service, that a request must not be sent to, since they are left to other
// requests. It concerns requests of which no engine gets them any more once another one ends: no two of them run on one
// engine, so an engine that ends stops the one that ended it, not one that ran beside it. All nodes that know the same
// requests and engines divide the engines in the same way. It returns none for any other request, and if more requests
// than engines are concerned for those that get none.
func (m *Memory) Isolate(key Key, engines []string, now time.Time) []string {
	if m.Empty() {
		return nil
	}
	keys, ended := m.withOneEndLeft(now)
	if len(keys) < 2 || !slices.Contains(keys, key) {
		return nil
	}
	engines = slices.DeleteFunc(slices.Clone(engines), func(engine string) bool { return ended[engine] })
	owners := divide(engines, keys)
	own := func(engine string) bool { return owners[engine] == key }
	if !slices.ContainsFunc(engines, own) {
		return nil
	}
	return slices.DeleteFunc(engines, own)
}

// withOneEndLeft returns the requests that are kept apart, sorted, and the engines that ended under them.
func (m *Memory) withOneEndLeft(now time.Time) (keys []Key, ended map[string]bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	ended = make(map[string]bool)
	for key, record := range m.suspects {
		if !record.oneEndLeft() || now.Sub(record.lastEnd) >= isolationPeriod {
			continue
		}
		keys = append(keys, key)
		for _, end := range record.ends {
			ended[end.Engine] = true
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
	return keys, ended
}

// divide returns which request each engine is left to. Each request, in order, gets the engine of its highest weight that
// is still free. The other engines go to the request with the highest weight there.
func divide(engines []string, keys []Key) map[string]Key {
	owners := make(map[string]Key, len(engines))
	free := slices.Sorted(slices.Values(engines))
	for _, key := range keys {
		if len(free) == 0 {
			return owners
		}
		best := slices.MaxFunc(free, func(a, b string) int {
			return cmp.Compare(rendezvous.Weight(a, key.String()), rendezvous.Weight(b, key.String()))
		})
		owners[best] = key
		free = slices.DeleteFunc(free, func(engine string) bool { return engine == best })
	}
	for _, engine := range free {
		owners[engine] = slices.MaxFunc(keys, func(a, b Key) int {
			return cmp.Compare(rendezvous.Weight(engine, a.String()), rendezvous.Weight(engine, b.String()))
		})
	}
	return owners
}
