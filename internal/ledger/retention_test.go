package ledger_test

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/conversations"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// grantingHolder reserves the turns of other ledgers at one that holds the program's allowance.
type grantingHolder struct{ holder *ledger.Ledger }

type holderGrant struct{ run *ledger.RunningTurn }

func (g holderGrant) Owner() string                        { return "holder" }
func (g holderGrant) LastLocation() conversations.Location { return conversations.Location{} }
func (g holderGrant) Settle(tokens int64, _ conversations.Location) {
	_ = g.run.Settle(context.Background(), tokens, nil) // tokens that are not charged now are charged later
}

// Reserve implements ledger.Owners.
func (g grantingHolder) Reserve(ctx context.Context, request ledger.TurnRequest) (ledger.Grant, error) {
	run, err := g.holder.ReserveForPeer(ctx, request, func() {})
	if err != nil {
		return nil, err
	}
	return holderGrant{run}, nil
}

// Recall implements ledger.Owners.
func (g grantingHolder) Recall(ctx context.Context, _, runID, program string) (bool, error) {
	return g.holder.ReturnUnused(ctx, program, runID)
}

// keepsTurn fails the test unless a ledger that has not served the program continues one of its turns.
func keepsTurn(t *testing.T, table *sharedTable, program, id, problem string) {
	t.Helper()
	reader := ledger.New(ledger.Options{Table: table, RunID: "reader"})
	if _, err := reader.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: program, Previous: id}); err != nil {
		t.Errorf("%s: %v", problem, err)
	}
}

// TestLongTurnIsKeptFromItsEnd sweeps a program right after the end of a turn that ran for longer than turns are kept: a turn
// counts from the end of its answer. The turn is covered by the ledger's own allowance, by that of another one, or has no budget.
func TestLongTurnIsKeptFromItsEnd(t *testing.T) {
	for _, kind := range []string{"own allowance", "granted", "no budget"} {
		t.Run(kind, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				table := newSharedTable(t)
				holder := ledger.New(ledger.Options{Table: table, RunID: "holder"})
				server := holder
				if kind == "granted" {
					server = ledger.New(ledger.Options{Table: table, RunID: "server"})
					server.SetOwners(grantingHolder{holder})
				}
				request := ledger.TurnRequest{Program: "p", Budget: 10_000, MaxTokens: turnTokens, InputBytes: 10, Retention: keptFor}
				if kind == "no budget" {
					request.Budget = 0
				}
				run, problem := server.Begin(within(t, 5*time.Second), request)
				if problem != nil {
					t.Fatal(problem)
				}
				time.Sleep(5 * time.Minute)
				if err := run.Settle(within(t, 5*time.Second), 40, &ledger.Turn{ID: "t1", Input: []byte("in")}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Second)
				holder.Sweep(t.Context())
				server.Sweep(t.Context())
				keepsTurn(t, table, "p", "t1", "10 s after its end")
				time.Sleep(keptFor - 11*time.Second)
				holder.Sweep(t.Context())
				server.Sweep(t.Context())
				keepsTurn(t, table, "p", "t1", "59 s after its end")
				time.Sleep(2 * keptFor)
				holder.Sweep(t.Context())
				server.Sweep(t.Context())
				if left := table.keys(""); len(left) > 0 {
					t.Errorf("%d rows are left once the turn is expired", len(left))
				}
			})
		})
	}
}

// TestLongerRetentionOfAnotherNode checks that rows are kept for the longest retention of a program's turns, where the node that
// writes the account last, and removes the rows, has served turns of a shorter one only.
func TestLongerRetentionOfAnotherNode(t *testing.T) {
	for _, budget := range []int64{0, 10_000} {
		virtualtime.Test(t, func(t *testing.T) {
			const longer = 10 * time.Minute
			table := newSharedTable(t)
			a, b := ledger.New(ledger.Options{Table: table, RunID: "a"}), ledger.New(ledger.Options{Table: table, RunID: "b"})
			record := func(l *ledger.Ledger, id, previous string, retention time.Duration) {
				run, problem := l.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: "p", Budget: budget, MaxTokens: turnTokens, Previous: previous, Retention: retention})
				if problem != nil {
					t.Fatal(problem)
				}
				if err := run.Settle(within(t, 5*time.Second), turnTokens, &ledger.Turn{ID: id, Parent: previous, Input: []byte("in")}); err != nil {
					t.Fatal(err)
				}
			}
			record(a, "t1", "", longer)
			a.Drain(doneContext())
			a.ReturnAllowances(within(t, 5*time.Second)) // as it is replaced: it holds nothing any more
			time.Sleep(time.Second)
			record(b, "t2", "t1", keptFor)
			for range 17 {
				time.Sleep(30 * time.Second)
				b.Sweep(t.Context())
			}
			keepsTurn(t, table, "p", "t1", "8.5 minutes after its end")
			for range 10 {
				time.Sleep(time.Minute)
				b.Sweep(t.Context())
			}
			if left := table.keys(""); len(left) > 0 {
				t.Errorf("%d rows are left once all turns are expired", len(left))
			}
		})
	}
}

// doneContext returns a context that has ended.
func doneContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestExtendedRetention checks that the turns that were kept for a minute are kept for ten once their route keeps turns for
// that long, and that programs of a longer retention time keep theirs.
func TestExtendedRetention(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newSharedTable(t)
		l := ledger.New(ledger.Options{Table: table, RunID: "a"})
		for program, retention := range map[string]time.Duration{"p": keptFor, "twenty": 20 * time.Minute} {
			run, problem := l.Begin(within(t, 5*time.Second), ledger.TurnRequest{Program: program, Budget: 1000, MaxTokens: turnTokens, Retention: retention})
			if problem != nil {
				t.Fatal(problem)
			}
			if err := run.Settle(within(t, 5*time.Second), 40, &ledger.Turn{ID: "of-" + program, Input: []byte("in")}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(30 * time.Second)
		l.ExtendRetention(keptFor, 10*time.Minute)
		for range 18 {
			time.Sleep(30 * time.Second)
			l.Sweep(t.Context())
		}
		keepsTurn(t, table, "p", "of-p", "9.5 minutes after its end")
		for range 5 {
			time.Sleep(30 * time.Second)
			l.Sweep(t.Context())
		}
		if left := table.keys(ledger.AccountKey("p")); len(left) > 0 {
			t.Errorf("%d rows are left 12 minutes after the end of the turn", len(left))
		}
		keepsTurn(t, table, "twenty", "of-twenty", "12 minutes after its end")
	})
}
