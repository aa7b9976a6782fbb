package program

import (
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/api"
)

// NewChild creates a sub-agent and moves params.Budget out of the parent's
// budget. The child has the parent's tenant, and its id is the parent's id
// followed by number (1 or more, never used twice under one parent). Neither
// its deadline nor its wall-time limit is later than the parent's. Both rows
// must be written in one transaction, the child's on condition that it does
// not exist.
//
// Errors, with the parent unchanged: MalformedRequest, ProgramEnded,
// WallTimeLimit, DepthLimit, SequenceConflict (the number is in use) and
// BudgetExhausted (the parent's Available does not cover the budget).
func NewChild(parent Header, number int, params Params, limits ClassLimits) (newParent, child Header, err *api.Error) {
	id := ChildID(parent.ID, number)
	depth := parent.Depth + 1
	if err := checkChild(parent, id, number, depth, params, limits); err != nil {
		return parent, Header{}, err
	}
	params.ID = id
	params.Tenant = parent.Tenant
	child = New(params)
	child.Parent = parent.ID
	child.Depth = depth
	child.DeadlineAt = earlier(child.DeadlineAt, parent.DeadlineAt)
	child.ExpiresAt = earlier(child.ExpiresAt, parent.ExpiresAt)

	parent.Budget -= params.Budget
	parent.Children = appendCopy(parent.Children, id)
	return parent, child, nil
}

func checkChild(parent Header, id string, number, depth int, params Params, limits ClassLimits) *api.Error {
	switch {
	case number < 1:
		return api.Errorf(api.MalformedRequest, "sub-agent number %d is below 1", number)
	case params.Budget < 0:
		return api.Errorf(api.MalformedRequest, "budget %d is negative", params.Budget)
	case parent.Status == api.ProgramClosed:
		return api.Errorf(api.ProgramEnded, "parent %s has ended", parent.ID)
	case parent.expired(params.Now):
		return api.Errorf(api.WallTimeLimit, "parent %s expired at %s", parent.ID, parent.ExpiresAt.Format(time.RFC3339))
	case limits.MaxDepth > 0 && depth > limits.MaxDepth:
		return api.Errorf(api.DepthLimit, "depth %d exceeds the limit of %d", depth, limits.MaxDepth)
	case slices.Contains(parent.Children, id):
		return api.Errorf(api.SequenceConflict, "sub-agent %s already exists", id)
	case params.Budget > parent.Available():
		return api.Errorf(api.BudgetExhausted, "budget %d exceeds the parent's available %d", params.Budget, parent.Available())
	}
	return nil
}

// ReturnToParent moves an ended child's unspent budget back and removes the
// child from the parent's open sub-agents. Both rows must be written in one
// transaction. Both are returned unchanged if child is open, is not listed
// by parent, or has sub-agents that have not returned their budget yet. The
// parent may have ended already.
func ReturnToParent(parent, child Header) (newParent, newChild Header) {
	position := slices.Index(parent.Children, child.ID)
	if position < 0 || child.Status != api.ProgramClosed || len(child.Children) > 0 {
		return parent, child
	}
	unspent := child.Available()
	child.Budget -= unspent
	parent.Budget += unspent
	parent.Children = slices.Delete(slices.Clone(parent.Children), position, position+1)
	return parent, child
}

// earlier returns the earlier of two times. The zero time means no limit.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// appendCopy appends to a copy of the list, because headers share slices: an
// append in place would change other headers too.
func appendCopy(list []string, item string) []string {
	return append(slices.Clip(list), item)
}
