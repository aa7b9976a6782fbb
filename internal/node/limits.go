package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/quota"
)

// Periods and timeouts of enforcing tenants' limits.
const (
	// limitPeersPeriod is how often the peers that may hold limits are read from the cell's view.
	limitPeersPeriod = 2 * time.Second
	// limitReleaseTimeout bounds the release of shards before a planned stop.
	limitReleaseTimeout = 500 * time.Millisecond
)

// limits enforces tenants' request limits together with the other nodes. It implements gateway.Limiter,
// quota.Observer and quota.LeaseObserver.
type limits struct {
	node   *Node
	client *quota.Client
	leases *quota.LeaseManager
}

// newLimits returns limits that hold no shards before start.
func newLimits(n *Node) *limits {
	runID := fmt.Sprintf("%s/%d", n.settings.Name, n.incarnation)
	holdings := quota.NewHoldings(quota.DefaultTolerance, runID)
	l := &limits{node: n}
	l.leases = quota.NewLeaseManager(holdings, n.store, runID, l)
	l.client = quota.NewClient(quota.Options{
		Tolerance:   quota.DefaultTolerance,
		Node:        n.settings.Name,
		Holdings:    holdings,
		Wake:        l.leases.Wake,
		SamplePeers: l.leases.SamplePeers,
		Random:      rand.Float64,
		Observer:    l,
	})
	l.leases.SetProber(l.client)
	return l
}

// start begins to hold shards and to follow the peers.
func (l *limits) start() {
	l.leases.SetAddress(l.node.peerServer.Address())
	l.node.run(l.leases.Run)
	l.node.run(l.followPeers)
}

// followPeers reads the other live nodes from the cell's view periodically until ctx ends.
func (l *limits) followPeers(ctx context.Context) {
	ticker := time.NewTicker(limitPeersPeriod)
	defer ticker.Stop()
	for {
		l.updatePeers()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updatePeers reads the other live nodes from the cell's view once.
func (l *limits) updatePeers() {
	var addresses []string
	view := l.node.members.View()
	for _, member := range view.Members {
		if member.Name != l.node.settings.Name && view.Alive(member.Name, member.Incarnation) {
			addresses = append(addresses, member.Address)
		}
	}
	l.leases.SetPeers(addresses)
	l.client.SetPeers(l.node.peers, len(addresses)+1)
}

// apply enables limits if the bundle has any.
func (l *limits) apply(snapshot *bundle.Snapshot) {
	limited := false
	for _, tenant := range snapshot.Bundle.Tenants {
		limited = limited || tenant.RequestsPerSecond > 0
	}
	l.leases.SetEnabled(limited)
}

// releaseShards releases the tenants' shards that this node holds, so that other nodes can take them.
func (l *limits) releaseShards(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, limitReleaseTimeout)
	defer cancel()
	l.leases.ReleaseAll(ctx)
}

// Admit implements gateway.Limiter.
func (l *limits) Admit(ctx context.Context, tenant *bundle.Tenant, version uint64, newProgram bool) quota.Decision {
	limit := quota.Limit{Rate: tenant.RequestsPerSecond, Burst: tenant.Burst, Version: int64(version)}
	return l.client.Admit(ctx, tenant.Name, limit, newProgram)
}

// ReturnToken implements gateway.Limiter.
func (l *limits) ReturnToken(tenant string, granted quota.Decision) {
	l.client.ReturnToken(tenant, granted)
}

// HolderLost implements quota.Observer.
func (l *limits) HolderLost(shard int, holder quota.Holder, cause error) {
	l.node.logger.Warn("holder of limits lost", "shard", shard, "peer", holder.Address, "term", holder.Term, "error", cause.Error())
}

// ShardTaken implements quota.LeaseObserver.
func (l *limits) ShardTaken(shard int, term uint64, levels int) {
	l.node.logger.Info("shard of limits taken", "shard", shard, "term", term, "levels", levels)
}

// ShardLost implements quota.LeaseObserver.
func (l *limits) ShardLost(shard int, holder quota.Holder) {
	l.node.logger.Warn("shard of limits lost", "shard", shard, "peer", holder.Address, "term", holder.Term)
}

// ShardUnreadable implements quota.LeaseObserver.
func (l *limits) ShardUnreadable(shard int, cause error) {
	l.node.logger.Warn("shard of limits unreadable", "shard", shard, "error", cause.Error())
}
