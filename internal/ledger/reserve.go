package ledger

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/conversations"
)

// ErrNoOwner reports that no other node can reserve tokens for the turn, so this node must.
var ErrNoOwner = errors.New("no other node holds the program's allowance")

// Owners lets one node, the program's owner, hold the allowance of a program for all
// nodes, so that a turn needs no write at whichever node it arrives. The choice of the owner is only a
// hint: any node may hold an allowance, and the budget is protected by the conditional writes alone.
// Safe for concurrent use.
type Owners interface {
	// Reserve requests a reservation for a turn from the owner. Errors: ErrBudgetSpent; ErrBudgetUnsettled;
	// ErrNoOwner if the owner is this node, or cannot be reached, or two owners get no response from the table;
	// tablestore.ErrUnavailable, which is not ErrNoOwner, if the owner waits for the table.
	Reserve(ctx context.Context, request TurnRequest) (Grant, error)
	// Recall requests a run, at its address, to return what it holds of a program and no turn
	// in flight needs. It reports whether the run has ended; an ended run returns nothing.
	Recall(ctx context.Context, address, runID, program string) (ended bool, err error)
}

// Grant is a turn's reservation in an allowance that another node holds. Tokens of a grant that is never
// settled count as spent.
type Grant interface {
	// Owner returns the name of the node that holds the allowance.
	Owner() string
	// LastLocation returns where the conversation's last turn was served, as far as the owner knows.
	LastLocation() conversations.Location
	// Settle reports how many tokens the turn used, and where it was served. It does not block.
	Settle(tokens int64, location conversations.Location)
}

// SetOwners makes Begin request reservations from owners before this node holds an allowance itself.
func (l *Ledger) SetOwners(owners Owners) { l.owners.Store(&owners) }

// grant requests a reservation for a turn from the program's owner.
func (l *Ledger) grant(ctx context.Context, request TurnRequest) (Grant, error) {
	owners := l.owners.Load()
	if owners == nil {
		return nil, ErrNoOwner
	}
	return (*owners).Reserve(ctx, request)
}

// ReserveForPeer reserves tokens for another node's turn from the allowance that this node holds. It sends
// no reservation request to other nodes. It calls onWait before it has to wait for the table. The returned turn has
// no history; the caller ends it with exactly one of Settle and Abandon. Errors: ErrBudgetSpent, ErrBudgetUnsettled,
// or those of the table.
func (l *Ledger) ReserveForPeer(ctx context.Context, request TurnRequest, onWait func()) (*RunningTurn, error) {
	e := l.entryOf(request.Program)
	e.touch(l.options.Now(), request.Retention)
	running := &RunningTurn{ledger: l, entry: e, request: request}
	if l.reserveUnwritten(ctx, e, request.MaxTokens) {
		return running, nil
	}
	onWait()
	if err := l.reserve(ctx, e, request); err != nil {
		return nil, err
	}
	return running, nil
}

// hasOwners reports whether nodes request reservations from the program's owner before they hold
// an allowance themselves.
func (l *Ledger) hasOwners() bool { return l.owners.Load() != nil }

// recordWithoutAccount makes a turn durable without its program's account, which another node
// writes: in the program's part, or, if that fails, in another part.
func (l *Ledger) recordWithoutAccount(ctx context.Context, e *entry, turn *Turn) error {
	err := l.recordInAnyPart(ctx, e, turn, func(ctx context.Context, onSilence func()) error {
		return l.recordInOwnPart(ctx, e, turn, onSilence)
	})
	if err != nil {
		return err
	}
	e.mutex.Lock()
	e.turns[turn.ID] = turn
	e.mutex.Unlock()
	l.limitInputs(e, turn)
	return nil
}
