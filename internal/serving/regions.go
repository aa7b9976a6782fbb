package serving

import (
	"slices"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/relay"
	"github.com/pewtermill/pewtermill/internal/topology"
)

// maxRegionProblems is the maximum number of problems in one log record.
const maxRegionProblems = 10

// logRegionProblems logs, once for each configuration, the routes and tenants whose regions cannot be respected. The
// configuration is active all the same, since the store has accepted it; requests of the named routes and tenants are
// rejected, and no others. viewMutex is held.
func (p *Process) logRegionProblems(view *discovery.View) {
	if view.Table == nil || view.Table.Configuration.Version == p.checkedVersion {
		return
	}
	configuration := view.Table.Configuration
	p.checkedVersion = configuration.Version
	problems := configuration.RegionProblems(p.settings.Topology.HasRegion)
	if len(problems) > 0 {
		p.logger.Warn("regions cannot be kept to", "configuration", configuration.Version,
			"fields", problems[:min(maxRegionProblems, len(problems))], "count", len(problems))
	}
}

// regionPeers returns the peers of the node's own region, in the same order.
func regionPeers(peers []relay.Peer, topology topology.Topology) []relay.Peer {
	var inRegion []relay.Peer
	for _, peer := range peers {
		if topology.InOwnRegion(peer.Zone) {
			inRegion = append(inRegion, peer)
		}
	}
	return inRegion
}

// relayPeers returns the peers that may make calls to the store for a node. The content of turns passes through them, so
// they are those of its own region. If none of these is listed and the content is not restricted to regions, all peers
// may.
func relayPeers(peers []relay.Peer, topology topology.Topology, restricted bool) []relay.Peer {
	inRegion := regionPeers(peers, topology)
	if len(inRegion) > 0 || restricted {
		return inRegion
	}
	return peers
}

// addressesOf returns the addresses of peers.
func addressesOf(peers []relay.Peer) []string {
	addresses := make([]string, 0, len(peers))
	for _, peer := range peers {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

// restrictsRegions reports whether the active configuration restricts the content of turns to regions.
func (p *Process) restrictsRegions() bool {
	table := p.follower.View().Table
	return table != nil && table.Configuration.RestrictsRegions()
}

// enableRelay sets the peers through which calls to the store may go under the active configuration. Without a
// configuration there is no content yet that could be restricted. viewMutex is held.
func (p *Process) enableRelay() {
	if p.relayClient == nil {
		return
	}
	restricted := p.restrictsRegions()
	addresses := addressesOf(relayPeers(p.peers, p.settings.Topology, restricted))
	if p.relayAddressesSet && slices.Equal(addresses, p.relayAddresses) {
		return // keeps the order in which the peers have served
	}
	p.relayAddresses, p.relayAddressesSet = addresses, true
	p.relayTable.SetPeers(p.relayClient, addresses)
}
