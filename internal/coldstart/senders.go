package coldstart

import (
	"math"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/rendezvous"
)

// Parts of the limit of a cold engine.
const (
	// sendWithin is for how long after a request got leave to go to a cold engine it may be
	// sent: longer than a new connection takes to an engine that has room, and than a machine
	// stands still that has used its share of a core up (0.1 s).
	sendWithin = 150 * time.Millisecond
	// span is over what time each sender counts what it lets go to a cold engine. A request
	// is sent up to sendWithin later than it was let go, so those sent in any second were all
	// let go within this.
	span = time.Second + sendWithin
	// reserve is how many times what the senders let go fits into the limit. Nodes that list
	// other nodes than these do may hold others to be the senders; as long as the lists have
	// more than half of their nodes in common, those are less than half as many again.
	reserve = 1.5
)

// planned returns how many requests all senders together let go to a cold engine within span:
// no more than it bears, and few enough that reserve is left to the limit.
func (r Rules) planned(bears float64) int {
	limit := r.Limit(bears)
	if !(bears > 0) || limit < 1 {
		return 0
	}
	return max(1, int(math.Floor(min(limit/reserve, bears*span.Seconds()))))
}

// senders are the nodes that may send to a cold engine: as many as get at least one request of
// its limit, by rendezvous hashing over all nodes that are listed, whether they live or not. A
// node that stands still or is cut off has no other one in its place, so it can do no harm
// when it goes on. Not safe for concurrent use.
type senders struct {
	own     string
	members []string // addresses of all nodes, this one too; nil before they are known
	parts   map[partKey]int
}

// partKey is what a node's part depends on while the members are the same.
type partKey struct {
	engine  string
	planned int
}

// set takes the addresses of all other nodes.
func (s *senders) set(own string, others []string) {
	s.own = own
	s.members = append(slices.Clone(others), own)
	slices.Sort(s.members)
	s.members = slices.Compact(s.members)
	s.parts = make(map[partKey]int)
}

// part returns how many of the planned requests this node may let go to an engine within span.
func (s *senders) part(engine string, planned int) int {
	if len(s.members) == 0 || planned <= 0 {
		return 0
	}
	key := partKey{engine: engine, planned: planned}
	part, known := s.parts[key]
	if !known {
		part = s.work(key)
		s.parts[key] = part
	}
	return part
}

// work works a part out.
func (s *senders) work(key partKey) int {
	count := min(len(s.members), key.planned)
	own := rendezvous.Weight(s.own, key.engine)
	before := 0
	for _, member := range s.members {
		weight := rendezvous.Weight(member, key.engine)
		if weight > own || (weight == own && member < s.own) {
			before++
		}
	}
	if before >= count {
		return 0
	}
	part := key.planned / count
	if before < key.planned%count {
		part++
	}
	return part
}

// keep forgets the parts of engines that are gone.
func (s *senders) keep(present func(engine string) bool) {
	for key := range s.parts {
		if !present(key.engine) {
			delete(s.parts, key)
		}
	}
}

// meter counts what this node let go to one cold engine within the last span.
type meter struct {
	gone []time.Time // oldest first
}

// left returns how many of a part may go now.
func (m *meter) left(now time.Time, part int) int {
	expired := 0
	for expired < len(m.gone) && now.Sub(m.gone[expired]) >= span {
		expired++
	}
	m.gone = slices.Delete(m.gone, 0, expired)
	return max(0, part-len(m.gone))
}

// expired reports whether nothing that was let go counts any more.
func (m *meter) expired(now time.Time) bool {
	return len(m.gone) == 0 || now.Sub(m.gone[len(m.gone)-1]) >= span
}
