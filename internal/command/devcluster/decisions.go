package devcluster

import (
	"cmp"
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/client"
	"github.com/pewtermill/pewtermill/internal/explain"
)

// decisionKey tells decisions apart: an ID is unique only on its node.
type decisionKey struct {
	node string
	id   uint64
}

// Decisions returns what all nodes decided about the programs, oldest first.
func (c *Cluster) Decisions(ctx context.Context, programs []api.Program) ([]explain.Decision, error) {
	found := make(map[decisionKey]explain.Decision)
	for _, started := range c.Nodes {
		operator := client.New(started.OperatorURL, OperatorKey)
		for _, program := range programs {
			decisions, err := operator.Explain(ctx, program.ID, 0)
			if err != nil {
				return nil, errors.Wrapf(err, "ask %s for its decisions", started.Name)
			}
			for _, decision := range decisions {
				found[decisionKey{decision.Node, decision.ID}] = decision
			}
		}
	}
	return sorted(found), nil
}

func sorted(found map[decisionKey]explain.Decision) []explain.Decision {
	decisions := make([]explain.Decision, 0, len(found))
	for _, decision := range found {
		decisions = append(decisions, decision)
	}
	slices.SortFunc(decisions, func(a, b explain.Decision) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node), cmp.Compare(a.ID, b.ID))
	})
	return decisions
}
