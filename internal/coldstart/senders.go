package coldstart

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/rendezvous"
)

// Parameters of the shares in the limit of a cold engine.
const (
	// maxSendDelay is how long after its admission to a cold engine a request may be sent: longer
	// than a new connection to an engine with free slots takes, and than a machine is paused that
	// has used up its CPU quota (0.1 s).
	maxSendDelay = 150 * time.Millisecond
	// window is the time over which each sender counts the requests that it admits to a cold
	// engine. A request is sent up to maxSendDelay after its admission, so all requests that are
	// sent in any second were admitted within one window.
	window = time.Second + maxSendDelay
	// reserveFactor is how many times the planned requests fit into the limit. Nodes with different
	// lists of nodes may select different senders; as long as the lists have more than half of their
	// nodes in common, the additional senders are less than half as many again.
	reserveFactor = 1.5
	// maxAnnounced is the maximum number of nodes that are known to have joined but not listed yet.
	maxAnnounced = 512
)

// planned returns how many requests all senders together admit to a cold engine within a window:
// no more than its capacity, and few enough to fit into the limit reserveFactor times.
func (r Rules) planned(capacity float64) int {
	limit := r.Limit(capacity)
	if !(capacity > 0) || limit < 1 {
		return 0
	}
	return max(1, int(math.Floor(min(limit/reserveFactor, capacity*window.Seconds()))))
}

// senders selects the nodes that may send to a cold engine: as many as get at least one request of
// its limit, by rendezvous hashing over all listed nodes, whether they are alive or not. No other
// node replaces one that is paused or partitioned, so such a node does no harm when it continues.
// Not safe for concurrent use.
type senders struct {
	own     string
	members []string // addresses of all nodes, including this one; nil until they are known
	shares  map[shareKey]int
	// announced are nodes that have joined since the last list was requested; the value is how many more lists may lack
	// them, since they may have been read before.
	announced map[string]int
}

// shareKey is what a node's share depends on while the members do not change.
type shareKey struct {
	engine  string
	planned int
}

// set sets the addresses of this node and of all others.
func (s *senders) set(own string, others []string) {
	s.own = own
	s.setMembers(append(slices.Clone(others), own))
	for address := range s.announced {
		if s.announced[address]--; s.announced[address] < 0 || slices.Contains(others, address) {
			delete(s.announced, address)
		}
	}
	s.setMembers(slices.AppendSeq(s.members, maps.Keys(s.announced)))
}

// add adds a node that has joined. It may be sending before the next list names it.
func (s *senders) add(address string) {
	if slices.Contains(s.members, address) || len(s.announced) >= maxAnnounced {
		return
	}
	if s.announced == nil {
		s.announced = make(map[string]int)
	}
	s.announced[address] = 1
	if s.members != nil {
		s.setMembers(append(s.members, address))
	}
}

// setMembers replaces the members and recomputes the shares.
func (s *senders) setMembers(members []string) {
	slices.Sort(members)
	s.members = slices.Compact(members)
	s.shares = make(map[shareKey]int)
}

// share returns how many of the planned requests this node may admit to an engine within a window.
func (s *senders) share(engine string, planned int) int {
	if len(s.members) == 0 || planned <= 0 {
		return 0
	}
	key := shareKey{engine: engine, planned: planned}
	share, found := s.shares[key]
	if !found {
		share = s.computeShare(key)
		s.shares[key] = share
	}
	return share
}

// computeShare computes a share.
func (s *senders) computeShare(key shareKey) int {
	count := min(len(s.members), key.planned)
	own := rendezvous.Weight(s.own, key.engine)
	rank := 0
	for _, member := range s.members {
		weight := rendezvous.Weight(member, key.engine)
		if weight > own || (weight == own && member < s.own) {
			rank++
		}
	}
	if rank >= count {
		return 0
	}
	share := key.planned / count
	if rank < key.planned%count {
		share++
	}
	return share
}

// retain drops the shares of engines that are not present.
func (s *senders) retain(present func(engine string) bool) {
	for key := range s.shares {
		if !present(key.engine) {
			delete(s.shares, key)
		}
	}
}

// windowCounter is a sliding-window counter of the requests that this node admitted to one cold engine.
type windowCounter struct {
	admitted []time.Time // times of admission, oldest first
}

// remaining returns how many requests of a share may be admitted now.
func (c *windowCounter) remaining(now time.Time, share int) int {
	expired := 0
	for expired < len(c.admitted) && now.Sub(c.admitted[expired]) >= window {
		expired++
	}
	c.admitted = slices.Delete(c.admitted, 0, expired)
	return max(0, share-len(c.admitted))
}

// expired reports whether no admitted request counts any more.
func (c *windowCounter) expired(now time.Time) bool {
	return len(c.admitted) == 0 || now.Sub(c.admitted[len(c.admitted)-1]) >= window
}
