package commitgroup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// scriptedService is a table service that responds after 4 ms as a function determines.
type scriptedService struct {
	*faultyTable
	mutex  sync.Mutex
	calls  []tablestore.Transaction
	answer func(call int, transaction tablestore.Transaction) error // nil, or a nil result: as the table does
}

// Commit implements tablestore.Table.
func (s *scriptedService) Commit(_ context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	time.Sleep(4 * time.Millisecond)
	s.mutex.Lock()
	s.calls = append(s.calls, transaction)
	call := len(s.calls)
	s.mutex.Unlock()
	if s.answer != nil {
		if err := s.answer(call, transaction); err != nil {
			return tablestore.Receipt{}, err
		}
	}
	return s.apply(transaction)
}

// row returns a transaction that sets one row of a part.
func row(part int, name string, revision uint64) tablestore.Transaction {
	key := fmt.Sprintf("t/%d/%s", part, name)
	return tablestore.Transaction{
		Conditions: []tablestore.Condition{{Key: key, Revision: revision}},
		Writes:     []tablestore.Write{{Key: key, Value: []byte(name)}},
	}
}

// commitAll commits transactions at once, after one that keeps the service busy, and returns their errors.
func commitAll(t *testing.T, group *Group, wait time.Duration, transactions ...tablestore.Transaction) []error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	errs := make([]error, len(transactions))
	var callers sync.WaitGroup
	callers.Go(func() { _, _ = group.Commit(ctx, row(0, "first", 0)) })
	synctest.Wait()
	for i, transaction := range transactions {
		callers.Go(func() { _, errs[i] = group.Commit(ctx, transaction) })
	}
	callers.Wait()
	return errs
}

// TestOneConflictReportsAllFailedConditions: the conditions of some members fail. One call reports all of them, the
// next one carries the others, and each member that failed gets its own row.
func TestOneConflictReportsAllFailedConditions(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &scriptedService{faultyTable: newFaultyTable(1, 0)}
		service.answer = func(call int, transaction tablestore.Transaction) error {
			if call != 2 {
				return nil
			}
			conflict := &tablestore.ConflictError{Current: tablestore.Row{Key: "t/1/b", Revision: 9}}
			conflict.Index = slices.IndexFunc(transaction.Conditions, func(c tablestore.Condition) bool { return c.Key == "t/1/b" })
			conflict.Rows = []tablestore.Row{{Key: "t/1/b", Revision: 9}, {Key: "t/3/d", Revision: 8}}
			return conflict
		}
		group := NewGroup(service, true, nil)
		errs := commitAll(t, group, time.Second, row(0, "a", 0), row(1, "b", 0), row(2, "c", 5), row(3, "d", 0), row(4, "e", 0))
		for i, want := range []uint64{0, 9, 0, 8, 0} {
			var conflict *tablestore.ConflictError
			failed := errors.As(errs[i], &conflict)
			if failed != (i == 1 || i == 2 || i == 3) {
				t.Errorf("member %d: %v", i, errs[i])
			}
			if failed && (conflict.Index != 0 || conflict.Current.Revision != want) {
				t.Errorf("member %d got condition %d, revision %d", i, conflict.Index, conflict.Current.Revision)
			}
		}
		if len(service.calls) != 3 {
			t.Errorf("%d calls", len(service.calls))
		}
	})
}

// TestPartThatIsDownFailsAlone: one part is unavailable. Writes to the others must commit.
func TestPartThatIsDownFailsAlone(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := newFaultyTable(1, 0)
		service.downPart = "2"
		group := NewGroup(service, true, nil)
		errs := commitAll(t, group, time.Second, row(1, "a", 0), row(2, "b", 0), row(3, "c", 0), row(1, "d", 0))
		for i, err := range errs {
			if (i == 1) != errors.Is(err, tablestore.ErrUnavailable) || (i != 1 && err != nil) {
				t.Errorf("member %d: %v", i, err)
			}
		}
	})
}

// TestRejectedTransactionFailsAlone: the service rejects one transaction permanently. The others must commit.
func TestRejectedTransactionFailsAlone(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := newFaultyTable(1, 0)
		service.rejectedKey = "t/2/b"
		group := NewGroup(service, true, nil)
		errs := commitAll(t, group, time.Second, row(1, "a", 0), row(2, "b", 0), row(2, "c", 0))
		for i, err := range errs {
			if (i == 1) != errors.Is(err, tablestore.ErrRejected) || (i != 1 && err != nil) {
				t.Errorf("member %d: %v", i, err)
			}
		}
	})
}

// TestWhichFailuresSplitGroups checks after which failures a group is sent again in smaller ones.
func TestWhichFailuresSplitGroups(t *testing.T) {
	same := []*member{newMember(row(1, "a", 0)), newMember(row(1, "b", 0))}
	several := []*member{newMember(row(1, "a", 0)), newMember(row(2, "b", 0))}
	failed := errors.New("failed")
	unavailable := errors.Mark(failed, tablestore.ErrUnavailable)
	for _, test := range []struct {
		name    string
		members []*member
		err     error
		want    bool
	}{
		{"unavailable, several parts", several, unavailable, true},
		{"unavailable, one part", same, unavailable, false},
		{"no connection", several, errors.Mark(unavailable, tablestore.ErrUnreachable), false},
		{"unknown outcome", several, errors.Mark(unavailable, tablestore.ErrUnknownOutcome), false},
		{"unknown outcome, then rejected", several, errors.Mark(errors.Mark(failed, tablestore.ErrRejected), tablestore.ErrUnknownOutcome), false},
		{"rejected", same, errors.Mark(failed, tablestore.ErrRejected), true},
		{"rejected, one member", same[:1], errors.Mark(failed, tablestore.ErrRejected), false},
	} {
		if got := shouldSplit(test.members, test.err); got != test.want {
			t.Errorf("%s: split: %v", test.name, got)
		}
	}
}

// TestThrottlingServiceGetsFewCalls: the service throttles everything. It must get few calls, callers that waited
// must get ErrThrottled, and transactions that could not be sent in time must be rejected at once.
func TestThrottlingServiceGetsFewCalls(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		throttled := errors.Mark(errors.New("429"), tablestore.ErrThrottled)
		service := &scriptedService{faultyTable: newFaultyTable(1, 0), answer: func(int, tablestore.Transaction) error { return throttled }}
		var mutex sync.Mutex
		var reductions []float64
		group := NewGroup(service, true, func(rate float64) {
			mutex.Lock()
			defer mutex.Unlock()
			reductions = append(reductions, rate)
		})
		var transactions []tablestore.Transaction
		for i := range maxWaiting + 200 {
			transactions = append(transactions, row(i%32, fmt.Sprint(i), 0))
		}
		start := time.Now()
		rejectedAtOnce := 0
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		var callers sync.WaitGroup
		for _, transaction := range transactions {
			callers.Go(func() {
				_, err := group.Commit(ctx, transaction)
				mutex.Lock()
				defer mutex.Unlock()
				if !errors.Is(err, tablestore.ErrThrottled) {
					t.Errorf("got %v", err)
				}
				if time.Since(start) == 0 {
					rejectedAtOnce++
				}
			})
		}
		callers.Wait()
		time.Sleep(commitTimeout) // virtual: no call is in flight
		if rejectedAtOnce < 150 || len(service.applied) > 0 {
			t.Errorf("%d rejected at once, %d rows written", rejectedAtOnce, len(service.applied))
		}
		if len(service.calls) > 60 || len(reductions) < 4 || reductions[len(reductions)-1] != minRate {
			t.Errorf("%d calls in 2 s, rate reduced to %v", len(service.calls), reductions)
		}
	})
}

// peerFunc is a peerClient whose responses come from a function.
type peerFunc func(request *wirepb.Request) (*wirepb.Reply, error)

// Do implements peerClient.
func (a peerFunc) Do(_ context.Context, _ string, request *wirepb.Request, _ func(int64, []byte)) (*wirepb.Reply, error) {
	return a(request)
}

// withWriter returns a table that may use all other nodes as writers, reached through the given function.
func withWriter(t *testing.T, service tablestore.Table, writer peerFunc) *Table {
	t.Helper()
	table := NewTable(Options{Table: service, Node: "n", AllowMultiPart: true, DirectPathLost: func() bool { return false }, Observer: silentObserver{}})
	nodes := []Node{{Address: "self", Processors: 0.2}}
	for i := range 4 {
		nodes = append(nodes, Node{Address: fmt.Sprintf("other-%d", i), Processors: 0.6})
	}
	table.SetPeers(writer, "self", nodes, nil, nil)
	if writers := table.peers.Load().writers("1", time.Now()); len(writers) != 2 {
		t.Fatalf("writers %v", writers)
	}
	return table
}

// TestOutcomeAfterUnresponsiveWriter: the writer fails in several ways, and the node's direct path works or does
// not. The outcome may be unknown only if the writer may have committed.
func TestOutcomeAfterUnresponsiveWriter(t *testing.T) {
	broken := errors.Mark(errors.New("reset"), wire.ErrLinkBroken)
	notSent := errors.Mark(errors.New("no connection"), wire.ErrNotSent)
	unavailable := errors.Mark(errors.New("503"), tablestore.ErrUnavailable)
	for _, test := range []struct {
		name   string
		writer error
		own    error
		want   error // nil: written
	}{
		{"reply lost, direct path works", broken, nil, nil},
		{"reply lost, direct path unavailable", broken, unavailable, tablestore.ErrUnknownOutcome},
		{"not sent, direct path works", notSent, nil, nil},
		{"not sent, direct path unavailable", notSent, unavailable, tablestore.ErrUnavailable},
	} {
		virtualtime.Test(t, func(t *testing.T) {
			service := &scriptedService{faultyTable: newFaultyTable(1, 0), answer: func(int, tablestore.Transaction) error { return test.own }}
			table := withWriter(t, service, func(*wirepb.Request) (*wirepb.Reply, error) { return nil, test.writer })
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := table.Commit(ctx, row(1, "a", 0))
			if !errors.Is(err, test.want) {
				t.Errorf("%s: got %v", test.name, err)
			}
			if test.want != tablestore.ErrUnknownOutcome && errors.Is(err, tablestore.ErrUnknownOutcome) {
				t.Errorf("%s: outcome unknown: %v", test.name, err)
			}
		})
	}
}

// TestOutcomesOverTheWire checks that every outcome is decoded as it was encoded, and that malformed ones are rejected.
func TestOutcomesOverTheWire(t *testing.T) {
	transaction := row(1, "a", 3)
	for _, kind := range []error{tablestore.ErrUnknownOutcome, tablestore.ErrThrottled, tablestore.ErrRejected, tablestore.ErrUnavailable} {
		_, err := decodeOutcome(transaction, marshal(t, encodeOutcome(transaction, tablestore.Receipt{}, errors.Mark(errors.New("x"), kind))))
		if !errors.Is(err, kind) || errors.Is(err, errMalformedOutcome) {
			t.Errorf("%v was decoded as %v", kind, err)
		}
	}
	conflict := &tablestore.ConflictError{Current: tablestore.Row{Key: "t/1/a", Value: []byte("v"), Revision: 7}}
	_, err := decodeOutcome(transaction, marshal(t, encodeOutcome(transaction, tablestore.Receipt{}, conflict)))
	var got *tablestore.ConflictError
	if !errors.As(err, &got) || got.Current.Revision != 7 || string(got.Current.Value) != "v" || got.Current.Key != "t/1/a" {
		t.Errorf("a conflict was decoded as %v", err)
	}
	receipt, err := decodeOutcome(transaction, marshal(t, encodeOutcome(transaction, tablestore.Receipt{Revisions: map[string]uint64{"t/1/a": 9}}, nil)))
	if err != nil || receipt.Revisions["t/1/a"] != 9 {
		t.Errorf("a receipt was decoded as %v, %v", receipt, err)
	}
	for name, outcome := range map[string]*wirepb.GroupedOutcome{
		"empty outcome":                {},
		"a receipt of too many rows":   {Revisions: []uint64{9, 9}},
		"revision zero":                {Revisions: []uint64{0}},
		"a conflict out of range":      {Conflict: true, Index: 1, CurrentRevision: 7},
		"a conflict of negative index": {Conflict: true, Index: -1, CurrentRevision: 7},
		"a condition that holds":       {Conflict: true, CurrentRevision: 3},
		"an unknown failure":           {Failure: "tired"},
	} {
		if _, err := decodeOutcome(transaction, marshal(t, outcome)); !errors.Is(err, errMalformedOutcome) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	if _, err := decodeOutcome(transaction, []byte("nonsense")); !errors.Is(err, errMalformedOutcome) {
		t.Errorf("malformed bytes: got %v", err)
	}
}

// TestMalformedRequestsAreRejected: peers send transactions that cannot join a group.
func TestMalformedRequestsAreRejected(t *testing.T) {
	valid := encode(row(1, "a", 0), time.Second)
	if _, wait, err := decode(valid); err != nil || wait != time.Second {
		t.Fatalf("got %s, %v", wait, err)
	}
	for name, request := range map[string]*wirepb.GroupedCommit{
		"empty":           {},
		"a negative wait": {Conditions: valid.Conditions, Writes: valid.Writes, WaitMillis: -1},
		"too long a wait": {Conditions: valid.Conditions, Writes: valid.Writes, WaitMillis: 1 << 60},
		"two parts":       {Conditions: valid.Conditions, Writes: encode(row(2, "a", 0), 0).Writes},
	} {
		table := NewTable(Options{Table: newFaultyTable(1, 0), DirectPathLost: func() bool { return false }, Observer: silentObserver{}})
		if reply := table.Answer(t.Context(), "peer", request, func() {}); reply.GetCode() == 0 {
			t.Errorf("%s: accepted", name)
		}
	}
}

// TestWriterWithoutTablePathDeclines: a node without a direct path to the service declines peers' transactions, and the
// peer then commits directly.
func TestWriterWithoutTablePathDeclines(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := newFaultyTable(1, 0)
		random := rand.New(rand.NewPCG(1, 1))
		fleet := newFleet(service, 2, random, 0)
		for _, table := range fleet {
			table.options.DirectPathLost = func() bool { return true }
		}
		for i, table := range fleet {
			if _, err := table.Commit(t.Context(), row(1, fmt.Sprint(i), 0)); err != nil {
				t.Errorf("node %d: %v", i, err)
			}
		}
	})
}

// TestStoppingWriterDeclines stops a writer while it commits a peer's transaction: it must complete that
// transaction and decline others, so that its peers use another writer before it has stopped.
func TestStoppingWriterDeclines(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := newFaultyTable(1, 0)
		writer := NewTable(Options{Table: service, DirectPathLost: func() bool { return false }, Observer: silentObserver{}})
		replies := make(chan *wirepb.Reply, 1)
		go func() { replies <- writer.Answer(t.Context(), "peer", encode(row(1, "a", 0), time.Second), func() {}) }()
		synctest.Wait()
		writer.StopAccepting()
		reply := writer.Answer(t.Context(), "peer", encode(row(2, "b", 0), time.Second), func() {})
		if reply.GetCode() != int32(api.NotReady) || reply.GetExecution() != string(api.NotRun) {
			t.Errorf("a stopping writer replied %v", reply)
		}
		if reply := <-replies; reply.GetCode() != 0 {
			t.Errorf("the transaction that it had accepted got the reply %v", reply)
		}
	})
}

func marshal(t *testing.T, outcome *wirepb.GroupedOutcome) []byte {
	t.Helper()
	body, err := proto.Marshal(outcome)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestWriterRejectedByServiceFallsBack: the service is unavailable to the writer and accepts what the node sends
// directly. The writer applied nothing, so the node must commit directly.
func TestWriterRejectedByServiceFallsBack(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		transaction := row(1, "a", 0)
		unavailable := encodeOutcome(transaction, tablestore.Receipt{}, errors.Mark(errors.New("503"), tablestore.ErrUnavailable))
		service := &scriptedService{faultyTable: newFaultyTable(1, 0)}
		table := withWriter(t, service, func(*wirepb.Request) (*wirepb.Reply, error) {
			return &wirepb.Reply{Body: marshal(t, unavailable)}, nil
		})
		if _, err := table.Commit(t.Context(), transaction); err != nil || len(service.calls) != 1 {
			t.Errorf("got %v after %d calls", err, len(service.calls))
		}
	})
}

// TestLargeMachinesAreWriters checks which nodes may write for others.
func TestLargeMachinesAreWriters(t *testing.T) {
	for _, test := range []struct {
		processors []float64
		eligible   int
	}{
		{[]float64{0.2, 0.2, 0.8, 0.5, 0.4}, 3},
		{[]float64{0, 0, 0}, 3},
		{[]float64{0, 0.2}, 1},
		{nil, 0},
	} {
		var nodes []Node
		for i, processors := range test.processors {
			nodes = append(nodes, Node{Address: fmt.Sprint(i), Processors: processors})
		}
		if got := eligibleWriters(nodes); len(got) != test.eligible {
			t.Errorf("%v: eligible writers %v", test.processors, got)
		}
	}
}
