package carry

import (
	"cmp"
	"math"
	"slices"

	"github.com/pewtermill/pewtermill/internal/rendezvous"
)

// Limits on the number of carriers.
const (
	// MaxCarriers is how many nodes of a region are carriers: those that come first by the hash of their
	// addresses. Owners of programs are the same nodes, so links to them are kept anyway.
	MaxCarriers = 32
	// carriersPerEngine is how many nodes carry for one engine: the second is used if the first is
	// unavailable.
	carriersPerEngine = 2
)

// Node is a node that may be a carrier.
type Node struct {
	Address    string
	Zone       string
	Processors float64 // in cores; 0 if unknown
}

// selectCarriers returns the nodes that are carriers, in an order that does not depend on that of
// the argument.
func selectCarriers(nodes []Node) []Node {
	byAddress := make(map[string]Node, len(nodes))
	addresses := make([]string, 0, len(nodes))
	for _, node := range nodes {
		byAddress[node.Address] = node
		addresses = append(addresses, node.Address)
	}
	selected := make([]Node, 0, MaxCarriers)
	for _, address := range rendezvous.FirstByHash(addresses, MaxCarriers) {
		selected = append(selected, byAddress[address])
	}
	return selected
}

// carriersOf returns the addresses of an engine's carriers, the best first: nodes of its zone,
// or of the fallback zone if its zone has none. A node with more processor time carries for more
// engines.
func carriersOf(engine, zone, fallback string, nodes []Node) []string {
	ranked := inZone(nodes, zone)
	if len(ranked) == 0 {
		ranked = inZone(nodes, fallback)
	}
	scores := make(map[string]float64, len(ranked))
	for _, node := range ranked {
		scores[node.Address] = score(node, engine)
	}
	slices.SortFunc(ranked, func(a, b Node) int {
		return cmp.Or(cmp.Compare(scores[b.Address], scores[a.Address]), cmp.Compare(a.Address, b.Address))
	})
	ranked = ranked[:min(carriersPerEngine, len(ranked))]
	addresses := make([]string, 0, len(ranked))
	for _, node := range ranked {
		addresses = append(addresses, node.Address)
	}
	return addresses
}

func inZone(nodes []Node, zone string) []Node {
	var found []Node
	for _, node := range nodes {
		if node.Zone == zone {
			found = append(found, node)
		}
	}
	return found
}

// score returns a node's score for an engine: the node with the highest score comes first. Over many
// engines, each node comes first for a share in proportion to its processor time.
func score(node Node, engine string) float64 {
	weight := node.Processors
	if weight <= 0 {
		weight = 1
	}
	uniform := (float64(rendezvous.Weight(node.Address, engine)) + 0.5) / math.MaxUint64
	return -weight / math.Log(min(uniform, math.Nextafter(1, 0)))
}
