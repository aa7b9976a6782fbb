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

// keptApart reports whether no engine gets the request any more, or none would once another one ends under it. The first
// matters as well: a request that is being sent to its last engine counts as stopped, see Presume, and keeps that engine.
func (s *suspect) keptApart(now time.Time) bool {
	return s.ended >= MaxEngines-1 && now.Sub(s.lastEnd) < isolationPeriod
}

// lastEngine splits the ends that count against the request into those of engines that are lost, and the end of the last engine that
// it may run on; nil if it has not been sent there yet.
func (s *suspect) lastEngine() (lost []endRecord, last *endRecord) {
	ends := slices.DeleteFunc(s.inOrder(), func(end endRecord) bool { return end.cleared })
	if s.ended < MaxEngines {
		return ends, nil
	}
	return ends[:len(ends)-1], &ends[len(ends)-1]
}

// Isolate returns the engines, of those of a service, that a request must not be sent to, since they are left to other
// requests. It concerns requests that no engine gets any more once another one ends: no two of them run on one
// engine, so an engine that ends stops the one that ended it, not one that ran beside it. All nodes that know the same
// requests and engines divide the engines in the same way. It returns none for any other request, and if more requests
// than engines are concerned for those that get none. An engine that another request has been sent to, by a node that divided the
// engines otherwise, is left to that one if this one has a further engine.
func (m *Memory) Isolate(key Key, engines []string, now time.Time) []string {
	if m.Empty() {
		return nil
	}
	keys, ended, inUse := m.keptApart(now)
	if len(keys) < 2 || !slices.Contains(keys, key) {
		return nil
	}
	engines = slices.DeleteFunc(slices.Clone(engines), func(engine string) bool { return ended[engine] })
	owners := divide(engines, keys)
	own := func(engine string) bool { return owners[engine] == key }
	isOther := func(user Key) bool { return user != key }
	free := func(engine string) bool { return own(engine) && !slices.ContainsFunc(inUse[engine], isOther) }
	switch {
	case slices.ContainsFunc(engines, free):
		return slices.DeleteFunc(engines, free)
	case slices.ContainsFunc(engines, own):
		return slices.DeleteFunc(engines, own)
	}
	return nil
}

// keptApart returns the requests that are kept apart, sorted, the engines that ended under them, and which of them were sent to, or
// are about to be sent to, an engine that it may be the last one to run on.
func (m *Memory) keptApart(now time.Time) (keys []Key, ended map[string]bool, inUse map[string][]Key) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	ended, inUse = make(map[string]bool), make(map[string][]Key)
	for key, record := range m.suspects {
		if !record.keptApart(now) {
			continue
		}
		keys = append(keys, key)
		lost, last := record.lastEngine()
		for _, end := range lost {
			ended[end.Engine] = true
		}
		if last != nil {
			inUse[last.Engine] = append(inUse[last.Engine], key)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
	return keys, ended, inUse
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
