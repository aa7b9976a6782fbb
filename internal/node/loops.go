package node

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/program"
)

// Periods of a node's background work.
const (
	bundleLoadPeriod  = 5 * time.Second
	bundleFirstPeriod = 500 * time.Millisecond
	machinePeriod     = time.Second
	maintainPeriod    = 15 * time.Second
	reconcilePeriod   = 10 * time.Second
	peerFetchTimeout  = 3 * time.Second
)

// applyBundle puts a bundle in force on this node.
func (n *Node) applyBundle(snapshot *bundle.Snapshot) {
	n.dispatcher.Apply(snapshot)
	n.logger.Info("bundle in force", "version", snapshot.Version(), "digest", snapshot.Digest)
	n.decisions.Record(explain.Decision{
		At:            time.Now(),
		Kind:          explain.Applied,
		BundleVersion: snapshot.Version(),
		Reason:        "digest " + snapshot.Digest,
	})
}

// noticeBundle fetches a newer bundle from the peer that announced it.
func (n *Node) noticeBundle(version uint64, address string) {
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

// keepBundle reads the table now and then, for a node that no peer tells.
func (n *Node) keepBundle(ctx context.Context) {
	for {
		if err := n.keeper.Load(ctx); err != nil {
			n.logger.Debug("bundle not loaded", "error", err.Error())
		}
		period := bundleLoadPeriod
		if n.keeper.InForce() == nil {
			period = bundleFirstPeriod
		}
		if !pauseFor(ctx, jittered(period)) {
			return
		}
	}
}

// watchMachines takes hints from the platform's lagging machine list.
func (n *Node) watchMachines(ctx context.Context) {
	for pauseFor(ctx, jittered(machinePeriod)) {
		machines, err := n.machines.List(ctx)
		if err != nil {
			continue
		}
		leavingEngines := make(map[string]bool)
		for _, machine := range machines {
			if machine.Role == "node" {
				n.members.leavingHint(machine.Name, machine.Leaving)
				continue
			}
			if machine.Leaving {
				leavingEngines[machine.Name] = true
			}
		}
		n.dispatcher.Fleet().SetListed(leavingEngines)
		n.planner.SetLeaving(leavingEngines)
	}
}

// maintain drops idle programs from memory and looks after the partitions
// that this node is to own.
func (n *Node) maintain(ctx context.Context) {
	for pauseFor(ctx, jittered(maintainPeriod)) {
		n.programs.Sweep(time.Now())
		for partition := range program.Partitions {
			owner, ok := n.members.View().Owner(partition)
			if !ok || owner.Name != n.settings.Name {
				continue
			}
			if err := n.programs.LookAfter(ctx, n.settings.Cell, partition); err != nil {
				n.logger.Debug("partition not looked after", "partition", partition, "error", err.Error())
				break
			}
		}
	}
}

// reconcileHolds frees what engines hold for programs that have ended.
func (n *Node) reconcileHolds(ctx context.Context) {
	for pauseFor(ctx, jittered(reconcilePeriod)) {
		n.dispatcher.Fleet().ReleaseOrphans(ctx, n.observes, n.programs.Live)
	}
}

// observes says whether this node is the one that looks after an engine.
func (n *Node) observes(engine string) bool {
	owner, ok := n.members.View().Owner(program.PartitionOf(engine))
	return ok && owner.Name == n.settings.Name
}
