package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/program"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Periods of a node's background work.
const (
	bundleDutyPeriod     = 2 * time.Second  // of the member that polls for new versions
	bundleFallbackPeriod = 10 * time.Second // of the other members, in case that one fails
	bundleInitialPeriod  = 500 * time.Millisecond
	machinePeriod        = 5 * time.Second // of the member that reads the machine list
	maintainPeriod       = 15 * time.Second
	scanPeriods          = 16 // maintainPeriods in which the table is scanned once
	reconcilePeriod      = 10 * time.Second
	peerFetchTimeout     = 3 * time.Second
	reassignPeriod       = time.Second
)

// Names of duties: singleton tasks, each assigned to one member of the cell. The duty to
// observe an engine is engineDuty followed by the engine's name.
const (
	engineDuty   = "engine/"
	machinesDuty = "machines"
	bundleDuty   = "bundle"
	planDuty     = "plan"
)

// applyBundle activates a bundle on this node.
func (n *Node) applyBundle(snapshot *bundle.Snapshot) {
	n.dispatcher.Apply(snapshot)
	n.limits.apply(snapshot)
	if self, _ := n.members.View().Member(n.settings.Name); !self.Ready {
		n.members.announce() // with its first bundle the node becomes ready
	}
	n.logger.Info("bundle in force", "version", snapshot.Version(), "digest", snapshot.Digest)
	n.decisions.Record(explain.Decision{
		At:            time.Now(),
		Kind:          explain.Applied,
		BundleVersion: snapshot.Version(),
		Reason:        "digest " + snapshot.Digest,
	})
}

// fetchIfNewer fetches a bundle from the peer that announced its version, if it is newer than the active one.
func (n *Node) fetchIfNewer(version uint64, address string) {
	if snapshot := n.keeper.InForce(); snapshot != nil && snapshot.Version() >= version {
		return
	}
	if version == 0 || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	n.tasks.Go(func() {
		defer n.fetching.Store(false)
		ctx, cancel := context.WithTimeout(n.ctx, peerFetchTimeout)
		defer cancel()
		if err := n.fetchBundle(ctx, address); err != nil {
			n.logger.Info("bundle not fetched", "address", address, "version", version, "error", err.Error())
		}
	})
}

// pollBundleVersion reads the current version from the table periodically: often if that is this
// node's duty in the cell, else at the fallback period, since peers announce new versions.
func (n *Node) pollBundleVersion(ctx context.Context) {
	for {
		if err := n.refreshBundle(ctx); err != nil {
			n.logger.Debug("bundle not refreshed", "error", err.Error())
		}
		if !backoff.Wait(ctx, backoff.Jitter(n.bundlePeriod())) {
			return
		}
	}
}

func (n *Node) bundlePeriod() time.Duration {
	switch {
	case n.keeper.InForce() == nil:
		return bundleInitialPeriod
	case n.hasDuty(bundleDuty):
		return bundleDutyPeriod
	}
	return bundleFallbackPeriod
}

// refreshBundle fetches the bundle whose version the table records, if this node does not have
// it: from the node that received it from the operator, else from the table.
func (n *Node) refreshBundle(ctx context.Context) error {
	newest, err := n.keeper.ReadVersion(ctx)
	if err != nil || n.keeper.IsAtLeast(newest) {
		return err
	}
	if !n.fetching.CompareAndSwap(false, true) {
		return nil // a fetch from a peer is in progress
	}
	defer n.fetching.Store(false)
	defer n.members.announce() // this node announces the new version to the cell
	if newest.Origin != "" && newest.Origin != n.PeerAddress() {
		fetchCtx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
		err := n.fetchBundle(fetchCtx, newest.Origin)
		cancel()
		if err == nil && n.keeper.IsAtLeast(newest) {
			return nil
		}
	}
	return n.keeper.Load(ctx)
}

// watchMachines reads which machines are leaving from the platform's machine list, which lags. One
// member of the cell reads it and sends the result to the others in its heartbeats.
func (n *Node) watchMachines(ctx context.Context) {
	for backoff.Wait(ctx, backoff.Jitter(machinePeriod)) {
		if !n.hasDuty(machinesDuty) {
			n.applyMachines(nil)
			continue
		}
		if machines, err := n.machines.List(ctx); err == nil {
			n.applyMachines(machines)
		}
	}
}

// applyMachines records which machines the list reports as leaving.
func (n *Node) applyMachines(machines []tablestore.Machine) {
	var leavingNodes []string
	leavingEngines := make(map[string]bool)
	for _, machine := range machines {
		switch {
		case !machine.Leaving:
		case machine.Role == "node":
			leavingNodes = append(leavingNodes, machine.Name)
		default:
			leavingEngines[machine.Name] = true
		}
	}
	n.members.setListedLeaving(leavingNodes)
	n.dispatcher.Fleet().SetListedLeaving(leavingEngines)
}

// maintain drops idle programs from memory, ends those in memory that exceeded
// their wall time, and maintains the partitions that this node should own: a
// fraction of them each time, so that the table is scanned once in scanPeriods
// periods.
func (n *Node) maintain(ctx context.Context) {
	offset := rand.IntN(scanPeriods)
	for backoff.Wait(ctx, backoff.Jitter(maintainPeriod)) {
		now := time.Now()
		n.programs.Sweep(ctx, now)
		n.programs.EndExpired(ctx, now)
		for partition := offset; partition < program.Partitions; partition += scanPeriods {
			if !n.maintainPartition(ctx, partition) {
				break
			}
		}
		offset = (offset + 1) % scanPeriods
	}
}

// maintainPartition scans a partition if this node should own it. It returns false if the
// table does not answer.
func (n *Node) maintainPartition(ctx context.Context, partition int) bool {
	owner, ok := n.members.View().Owner(partition)
	if !ok || owner.Name != n.settings.Name {
		return true
	}
	err := n.programs.MaintainPartition(ctx, n.settings.Cell, partition)
	if err != nil {
		n.logger.Debug("partition not maintained", "partition", partition, "error", err.Error())
	}
	return err == nil
}

// reconcileHolds releases the KV caches that engines hold for programs that have ended.
func (n *Node) reconcileHolds(ctx context.Context) {
	for backoff.Wait(ctx, backoff.Jitter(reconcilePeriod)) {
		n.dispatcher.Fleet().ReleaseOrphans(ctx, n.observes, n.programs.IsOpen)
	}
}

// hasDuty reports whether the duty is assigned to this node.
func (n *Node) hasDuty(name string) bool {
	if n.members == nil {
		return false
	}
	member, ok := n.members.View().Duty(name)
	return ok && member.Name == n.settings.Name
}

// observes reports whether this node is the engine's observer.
func (n *Node) observes(engine string) bool { return n.hasDuty(engineDuty + engine) }
