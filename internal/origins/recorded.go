package origins

import (
	"context"
	"slices"
)

// RecordedVersions queries peers for the versions of a service at which they let streams start, by the record of versions that they
// have read. It returns those that any peer names. Queries of different names go to different peers.
func (c *Client) RecordedVersions(ctx context.Context, service, query string) []string {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	peers := c.reachable(query)
	peers = peers[:min(maxQueried, len(peers))]
	replies := make(chan []string, len(peers))
	for _, peer := range peers {
		go func() { replies <- c.queryPeer(ctx, peer, "", service).body.GetRecordedVersions() }()
	}
	var versions []string
	for range peers {
		versions = append(versions, <-replies...)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}
