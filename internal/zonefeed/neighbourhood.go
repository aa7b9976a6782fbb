package zonefeed

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Settings of the choice of processes to query.
const (
	// queriesInZone, queriesInRegion and queriesInOthers are how many processes are queried at a time: of the own
	// zone, of the other zones of the own region, and of other regions. A process may be partitioned from each of
	// the three.
	queriesInZone, queriesInRegion, queriesInOthers = 2, 2, 1
	queriesAtOnce                                   = queriesInZone + queriesInRegion + queriesInOthers
	// unansweredFor is how long a process that did not answer is queried only after all others.
	unansweredFor = 5 * time.Second
)

// Neighbours are the other processes, by distance.
type Neighbours struct{ Zone, Region, OtherRegions []string }

// neighbourhood chooses the processes to query. It does no I/O and has no clock. Not safe for concurrent use.
type neighbourhood struct {
	peers        Neighbours
	unansweredAt map[string]time.Time // when a process last failed to answer
	lastHelpful  string               // the process that last returned a newer version; empty for none
}

func newNeighbourhood() neighbourhood {
	return neighbourhood{unansweredAt: make(map[string]time.Time)}
}

func shuffle(addresses []string) {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// set replaces the processes, and drops the records of those that are gone.
func (n *neighbourhood) set(peers Neighbours) {
	n.peers = peers
	all := slices.Concat(peers.Zone, peers.Region, peers.OtherRegions)
	for address := range n.unansweredAt {
		if !slices.Contains(all, address) {
			delete(n.unansweredAt, address)
		}
	}
	if !slices.Contains(all, n.lastHelpful) {
		n.lastHelpful = ""
	}
}

// recordUpdate records that a process returned a newer version: a process that is partitioned from most others finds a
// reachable one by chance, and queries that one first from then on.
func (n *neighbourhood) recordUpdate(address string) {
	n.lastHelpful = address
	delete(n.unansweredAt, address)
}

// recordReply records whether a process answered.
func (n *neighbourhood) recordReply(address string, answered bool, now time.Time) {
	if answered {
		delete(n.unansweredAt, address)
		return
	}
	n.unansweredAt[address] = now
}

// next returns up to queriesAtOnce processes that were not queried before, the nearest first, but ahead of them the
// last helpful one. Those that recently did not answer come after all others, and take no slot that another one can use.
func (n *neighbourhood) next(queried map[string]bool, now time.Time) []string {
	var chosen []string
	if n.lastHelpful != "" && !queried[n.lastHelpful] {
		chosen = append(chosen, n.lastHelpful)
	}
	for _, unanswered := range []bool{false, true} {
		candidates := func(addresses []string) []string {
			remaining := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
				return queried[address] || slices.Contains(chosen, address) || n.recentlyUnanswered(address, now) != unanswered
			})
			shuffle(remaining)
			return remaining
		}
		chosen = append(chosen, draw(queriesAtOnce-len(chosen), candidates(n.peers.Zone), candidates(n.peers.Region), candidates(n.peers.OtherRegions))...)
	}
	return chosen
}

func (n *neighbourhood) recentlyUnanswered(address string, now time.Time) bool {
	since, found := n.unansweredAt[address]
	return found && now.Sub(since) < unansweredFor
}

// draw takes count addresses from three lists: from each list its own quota, and then more from any list.
func draw(count int, zone, region, others []string) []string {
	zoneCount := min(len(zone), queriesInZone)
	regionCount := min(len(region), queriesInRegion)
	othersCount := min(len(others), queriesInOthers)
	spread := slices.Concat(zone[:zoneCount], region[:regionCount], others[:othersCount])
	rest := slices.Concat(zone[zoneCount:], region[regionCount:], others[othersCount:])
	all := append(spread, rest...)
	return all[:max(0, min(count, len(all)))]
}
