package serving

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/internal/quota"
)

// releaseTimeout limits the call by which a stopping process releases its shards.
const releaseTimeout = 500 * time.Millisecond

// releaseShards releases the shards of tenants' limits that this process holds, so that other processes can take them.
func (p *Process) releaseShards(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	p.leases.ReleaseAll(ctx)
}

// HolderLost implements quota.Observer.
func (p *Process) HolderLost(shard int, holder quota.Holder, cause error) {
	p.metrics.holdersLost.WithLabelValues().Inc()
	p.logger.Warn("holder of limits lost", "shard", shard, "peer", holder.Address, "term", holder.Term, "error", cause.Error())
}

// ShardTaken implements quota.LeaseObserver.
func (p *Process) ShardTaken(shard int, term uint64, levels int) {
	p.logger.Info("shard of limits taken", "shard", shard, "term", term, "levels", levels)
}

// ShardLost implements quota.LeaseObserver.
func (p *Process) ShardLost(shard int, holder quota.Holder) {
	p.logger.Warn("shard of limits lost", "shard", shard, "peer", holder.Address, "term", holder.Term)
}

// ShardUnreadable implements quota.LeaseObserver.
func (p *Process) ShardUnreadable(shard int, cause error) {
	p.logger.Warn("shard of limits unreadable", "shard", shard, "error", cause.Error())
}
