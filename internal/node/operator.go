package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/membership"
	"github.com/pewtermill/pewtermill/internal/operator"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// memberQueryTimeout bounds one query to one member on behalf of an operator.
const memberQueryTimeout = 2 * time.Second

// operatorService implements operator.Service.
type operatorService struct{ node *Node }

// Status implements operator.Service.
func (o *operatorService) Status(context.Context) api.FleetStatus {
	n := o.node
	status := api.FleetStatus{
		Node:    n.settings.Name,
		Cell:    n.settings.Cell,
		Engines: n.dispatcher.Status(),
	}
	if snapshot := n.keeper.InForce(); snapshot != nil {
		status.BundleVersion = snapshot.Version()
		status.BundleDigest = snapshot.Digest
	}
	now := time.Now()
	for _, member := range n.members.View().Members {
		status.Members = append(status.Members, api.MemberStatus{
			Name:          member.Name,
			Zone:          member.Zone,
			Address:       member.Address,
			State:         member.State.String(),
			BundleVersion: member.BundleVersion,
			Programs:      member.Programs,
			LastHeardSecs: now.Sub(member.LastHeartbeat).Seconds(),
		})
	}
	slices.SortFunc(status.Engines, func(a, b api.EngineStatus) int { return cmp.Compare(a.Name, b.Name) })
	return status
}

// Programs implements operator.Service.
func (o *operatorService) Programs(ctx context.Context, tenant string) ([]api.Program, error) {
	request := &wirepb.Request{Body: &wirepb.Request_ListPrograms{ListPrograms: &wirepb.ListPrograms{Tenant: tenant}}}
	programs := queryMembers(ctx, o.node, request, o.node.programs.List(tenant))
	slices.SortFunc(programs, func(a, b api.Program) int { return a.CreatedAt.Compare(b.CreatedAt) })
	return programs, nil
}

// Explain implements operator.Service.
func (o *operatorService) Explain(ctx context.Context, id string, sequence int64) ([]explain.Decision, error) {
	request := &wirepb.Request{Body: &wirepb.Request_Explain{Explain: &wirepb.Explain{Program: id, Sequence: sequence}}}
	decisions := queryMembers(ctx, o.node, request, o.node.decisions.Recent(id, sequence, maxExplained))
	slices.SortStableFunc(decisions, func(a, b explain.Decision) int { return a.At.Compare(b.At) })
	return decisions, nil
}

// queryMembers sends a query to every other live member concurrently and adds the
// results to this node's own. It omits members that do not reply in time.
func queryMembers[T any](ctx context.Context, n *Node, request *wirepb.Request, own []T) []T {
	ctx, cancel := context.WithTimeout(ctx, memberQueryTimeout)
	defer cancel()
	var mutex sync.Mutex
	var group sync.WaitGroup
	all := own
	for _, member := range n.members.View().Members {
		if member.Name == n.settings.Name || member.State == membership.Dead {
			continue
		}
		group.Go(func() {
			reply, err := n.peers.Do(ctx, member.Address, request, nil)
			if err != nil {
				return
			}
			answers, err := decodeReply[[]T](reply)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			all = append(all, answers...)
		})
	}
	group.Wait()
	return all
}

// SubmitBundle implements operator.Service.
func (o *operatorService) SubmitBundle(ctx context.Context, signed bundle.Signed) (operator.SubmitResult, error) {
	snapshot, apiErr := o.node.keeper.Submit(ctx, signed)
	if apiErr != nil {
		return operator.SubmitResult{}, apiErr
	}
	o.node.members.announce()
	return operator.SubmitResult{Version: snapshot.Version(), Digest: snapshot.Digest}, nil
}

// BundleStatus implements operator.Service.
func (o *operatorService) BundleStatus(context.Context) (operator.BundleStatus, error) {
	snapshot := o.node.keeper.InForce()
	if snapshot == nil {
		return operator.BundleStatus{}, api.Errorf(api.NotReady, "no configuration is in force yet").WithRetryAfter(routeRetryAfter)
	}
	status := operator.BundleStatus{Version: snapshot.Version(), Digest: snapshot.Digest}
	for _, member := range o.node.members.View().Members {
		status.Members = append(status.Members, operator.MemberBundle{
			Name:      member.Name,
			Version:   member.BundleVersion,
			LastHeard: member.LastHeartbeat,
		})
	}
	return status, nil
}

// Watch implements operator.Service.
func (o *operatorService) Watch() (<-chan explain.Decision, func()) {
	return o.node.decisions.Subscribe(nil)
}

// Ready implements operator.Service.
func (o *operatorService) Ready() bool { return o.node.Ready() }
