package node

import (
	"context"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/membership"
	"github.com/pewtermill/pewtermill/internal/modelplan"
	"github.com/pewtermill/pewtermill/internal/planner"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// demandTimeout bounds the requests to the members for their demand.
const demandTimeout = time.Second

// newPlanner returns the planner, which is active while planDuty is assigned to this node.
func (n *Node) newPlanner() *planner.Planner {
	return planner.New(planner.Options{
		Node:        n.settings.Name,
		Incarnation: n.incarnation,
		Cell:        n.settings.Cell,
		Table:       n.store,
		Elected:     func() bool { return n.hasDuty(planDuty) },
		InForce:     n.keeper.InForce,
		Demand:      n.cellDemand,
		Leaving:     n.dispatcher.Fleet().IsLeaving,
		Recorder:    n.decisions,
		Logger:      n.logger,
	})
}

// cellDemand sums the demand of all members. It returns false if a member
// that may be serving does not reply.
func (n *Node) cellDemand(ctx context.Context) ([]modelplan.Demand, bool) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	var mutex sync.Mutex
	var group sync.WaitGroup
	demands := [][]modelplan.Demand{n.dispatcher.Demand()}
	complete := true
	for _, member := range n.members.View().Members {
		if member.Name == n.settings.Name || member.State == membership.Dead {
			continue
		}
		group.Go(func() {
			demand, err := n.requestDemand(ctx, member.Address)
			mutex.Lock()
			defer mutex.Unlock()
			demands = append(demands, demand)
			complete = complete && err == nil
		})
	}
	group.Wait()
	return modelplan.SumDemand(demands...), complete
}

func (n *Node) requestDemand(ctx context.Context, address string) ([]modelplan.Demand, error) {
	reply, err := n.peers.Do(ctx, address, &wirepb.Request{
		From: n.settings.Name,
		Body: &wirepb.Request_ModelDemand{ModelDemand: &wirepb.ModelDemand{}},
	}, nil)
	if err != nil {
		return nil, err
	}
	return decodeReply[[]modelplan.Demand](reply)
}
