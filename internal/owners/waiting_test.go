package owners_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/conversations"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/owners"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// withoutTable are nodes that get no response from the table. They either send a keep-alive and
// wait for it, or report that it does not respond.
type withoutTable struct {
	keepsAlive bool
	requests   int
	lost       int
}

// Do handles a request to reserve tokens for a turn.
func (w *withoutTable) Do(ctx context.Context, _ string, _ *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	w.requests++
	if !w.keepsAlive {
		return &wirepb.Reply{Code: int32(api.StoreDown), Execution: string(api.NotRun), Detail: "no answer"}, nil
	}
	onPart(0, nil)
	<-ctx.Done()
	return nil, ctx.Err()
}

// Send ignores a settlement.
func (w *withoutTable) Send(context.Context, string, *wirepb.Request) error { return nil }

// OwnerLost implements owners.Observer.
func (w *withoutTable) OwnerLost(string, error) { w.lost++ }

// OwnerRegained implements owners.Observer.
func (w *withoutTable) OwnerRegained(string) {}

// TestOwnersWithoutTableAreNotLost makes a program's owner wait for the table until the request
// times out, or report that the table does not respond. The owner is alive, so it keeps reserving
// for other programs, and not every other node gets a request in its place. This node calls the
// table itself if two owners report that it does not respond.
func TestOwnersWithoutTableAreNotLost(t *testing.T) {
	for _, test := range []struct {
		keepsAlive bool
		requests   int
	}{{true, 1}, {false, 2}} {
		virtualtime.Test(t, func(t *testing.T) {
			nodes := &withoutTable{keepsAlive: test.keepsAlive}
			client := owners.NewClient(nodes, "n", "run", "self", nil, nodes)
			client.SetPeers([]string{"a", "b", "c", "d", "e", "f", "g", "h"})
			program := "p0"
			for ; nodes.requests == 0; program += "x" { // until another node is the owner
				_, err := client.Reserve(t.Context(), ledger.TurnRequest{Program: program, Budget: 1000, MaxTokens: maxTokens})
				if nodes.requests >= test.requests && !errors.Is(err, tablestore.ErrUnavailable) {
					t.Errorf("keep-alive %v: %v", test.keepsAlive, err)
				}
				if usesTable := errors.Is(err, ledger.ErrNoOwner); nodes.requests >= test.requests && usesTable == test.keepsAlive {
					t.Errorf("keep-alive %v: this node calls the table itself: %v (%v)", test.keepsAlive, usesTable, err)
				}
			}
			if nodes.requests > test.requests || nodes.lost > 0 {
				t.Errorf("keep-alive %v: %d requests, want %d; %d owners lost", test.keepsAlive, nodes.requests, test.requests, nodes.lost)
			}
		})
	}
}

// blockedLedger blocks until proceed is closed, and stores whether its context had ended before.
type blockedLedger struct {
	started, proceed chan struct{}
	contextErr       error
}

// ReserveForPeer waits for the table.
func (p *blockedLedger) ReserveForPeer(ctx context.Context, _ ledger.TurnRequest, waiting func()) (*ledger.RunningTurn, error) {
	waiting()
	close(p.started)
	<-p.proceed
	p.contextErr = ctx.Err()
	return nil, ledger.ErrBudgetSpent
}

// ReturnUnused has nothing to return.
func (p *blockedLedger) ReturnUnused(context.Context, string, string) (bool, error) {
	return false, nil
}

// TestReservationOutlivesItsRequester makes a peer cancel its request while the reservation waits for
// the table. The write must continue, so that the reservation is there when the peer's client retries.
func TestReservationOutlivesItsRequester(t *testing.T) {
	blocked := &blockedLedger{started: make(chan struct{}), proceed: make(chan struct{})}
	server := owners.NewServer(blocked, conversations.NewCache())
	ctx, disconnect := context.WithCancel(t.Context())
	replied := make(chan struct{})
	go func() {
		defer close(replied)
		server.Reserve(ctx, &wirepb.ReserveTokens{Grant: "g", Program: "p", Budget: 1000, Most: maxTokens}, func() {})
	}()
	<-blocked.started
	disconnect()
	close(blocked.proceed)
	<-replied
	if blocked.contextErr != nil {
		t.Errorf("the reservation was cancelled with its request: %v", blocked.contextErr)
	}
}
