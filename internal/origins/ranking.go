package origins

import (
	"cmp"
	"slices"

	"github.com/pewtermill/pewtermill/internal/rendezvous"
)

// maxReplicaPeers limits how many nodes of a large fleet store origins, and thereby the connections of each node.
const maxReplicaPeers = 32

// Peer is another node.
type Peer struct {
	Zone    string
	Address string
}

// replicaPeers returns the peers that store origins. All nodes that list the same peers select the same ones.
func replicaPeers(peers []Peer) []Peer {
	addresses := make([]string, 0, len(peers))
	for _, peer := range peers {
		addresses = append(addresses, peer.Address)
	}
	selected := rendezvous.FirstByHash(addresses, maxReplicaPeers)
	return slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool { return !slices.Contains(selected, peer.Address) })
}

// rankedAddresses returns the addresses of peers in the order in which they are to store a stream's origin: the first of
// each zone before the second of any, by rendezvous hashing.
func rankedAddresses(peers []Peer, stream string) []string {
	type candidate struct {
		peer   Peer
		weight uint64
		round  int // number of peers of its zone that precede it
	}
	candidates := make([]candidate, 0, len(peers))
	for _, peer := range peers {
		candidates = append(candidates, candidate{peer: peer, weight: rendezvous.Weight(peer.Address, stream)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.peer.Address, b.peer.Address))
	})
	rounds := make(map[string]int)
	for i := range candidates {
		candidates[i].round = rounds[candidates[i].peer.Zone]
		rounds[candidates[i].peer.Zone]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.round, b.round) })
	addresses := make([]string, 0, len(candidates))
	for _, entry := range candidates {
		addresses = append(addresses, entry.peer.Address)
	}
	return addresses
}
