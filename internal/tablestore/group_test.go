package tablestore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	standin "github.com/pewtermill/pewtermill/internal/standin/platform"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// scriptedTable passes on to a stand-in, but hands each commit to the next
// step of a script, and answers each read of a row with the next error, while
// there is one. It is for one goroutine at a time.
type scriptedTable struct {
	*standin.Platform
	steps []func(tablestore.Transaction) (tablestore.Receipt, error)
	reads []error
}

func (s *scriptedTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	if len(s.reads) == 0 {
		return s.Platform.Get(ctx, key)
	}
	err := s.reads[0]
	s.reads = s.reads[1:]
	return tablestore.Row{}, err
}

func (s *scriptedTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	if len(s.steps) == 0 {
		return s.Platform.Commit(ctx, transaction)
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step(transaction)
}

// pass sends the transaction on after a preparation.
func (s *scriptedTable) pass(prepare func()) func(tablestore.Transaction) (tablestore.Receipt, error) {
	return func(transaction tablestore.Transaction) (tablestore.Receipt, error) {
		prepare()
		return s.Platform.Commit(context.Background(), transaction)
	}
}

// loseReply keeps the transaction, to be applied later or never.
func loseReply(lost *tablestore.Transaction) func(tablestore.Transaction) (tablestore.Receipt, error) {
	return func(transaction tablestore.Transaction) (tablestore.Receipt, error) {
		*lost = transaction
		return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
	}
}

// newStore returns a store that is closed at the test's end.
func newStore(t *testing.T, client tablestore.Store, options tablestore.StoreOptions) *tablestore.GroupStore {
	store := tablestore.NewStore(client, client, options)
	t.Cleanup(store.Close)
	return store
}

// put writes a row on behalf of another writer, whatever its revision.
func put(t *testing.T, table tablestore.Table, write tablestore.Write) {
	t.Helper()
	transaction := tablestore.Transaction{WriteID: "other", Writes: []tablestore.Write{write}}
	if _, err := table.Commit(context.Background(), transaction); err != nil {
		t.Fatal(err)
	}
}

// create makes a row that must be absent.
func create(key string) tablestore.Transaction {
	return tablestore.Transaction{
		Conditions: []tablestore.Condition{{Key: key}},
		Writes:     []tablestore.Write{{Key: key, Value: []byte("mine")}},
	}
}

// TestConflictAfterLostReply: the reply to a create is lost, another writer
// creates and then deletes the row, so that the lost one could still apply
// after its second sending has met a conflict. The answer must be the truth.
func TestConflictAfterLostReply(t *testing.T) {
	for _, applies := range []bool{true, false} {
		t.Run(fmt.Sprintf("late apply %t", applies), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &scriptedTable{Platform: standin.New(standin.Options{})}
				var lost tablestore.Transaction
				otherCreates := func() { put(t, table.Platform, tablestore.Write{Key: "row"}) }
				otherDeletes := func() {
					put(t, table.Platform, tablestore.Write{Key: "row", Delete: true})
					if applies {
						_, _ = table.Platform.Commit(context.Background(), lost)
					}
				}
				table.steps = append(table.steps, loseReply(&lost), table.pass(otherCreates), table.pass(otherDeletes))
				store := newStore(t, table, tablestore.StoreOptions{})
				_, err := store.Commit(t.Context(), create("row"))
				if !applies {
					_, _ = table.Platform.Commit(context.Background(), lost) // too late
				}
				row, _ := table.Get(context.Background(), "row")
				if applied := row.Revision != 0; applied != applies || applied != (err == nil) {
					t.Errorf("answer %v, row %+v", err, row)
				}
			})
		})
	}
}

// TestRejectedAfterLostReply: a group whose reply was lost and which is then
// rejected must not hold its lane for ever, nor be applied later.
func TestRejectedAfterLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &scriptedTable{Platform: standin.New(standin.Options{})}
		var lost tablestore.Transaction
		reject := func(tablestore.Transaction) (tablestore.Receipt, error) {
			return tablestore.Receipt{}, tablestore.ErrRejected
		}
		table.steps = append(table.steps, loseReply(&lost), reject)
		store := newStore(t, table, tablestore.StoreOptions{})
		if _, err := store.Commit(t.Context(), create("row")); !errors.Is(err, tablestore.ErrRejected) {
			t.Errorf("answered %v", err)
		}
		if _, err := table.Platform.Commit(t.Context(), lost); err == nil {
			t.Error("the lost transaction could still apply")
		}
	})
}

// TestInvalidTransactions are refused before they are sent.
func TestInvalidTransactions(t *testing.T) {
	table := standin.New(standin.Options{})
	store := newStore(t, table, tablestore.StoreOptions{})
	twice := create("row")
	twice.Writes = append(twice.Writes, twice.Writes[0])
	otherKey := create("row")
	otherKey.Conditions[0].Key = "other"
	for _, transaction := range []tablestore.Transaction{{}, twice, otherKey} {
		if _, err := store.Commit(t.Context(), transaction); !errors.Is(err, tablestore.ErrInvalidTransaction) {
			t.Errorf("%+v answered %v", transaction, err)
		}
	}
}

// commitAll submits creates of different rows at once and returns the errors.
func commitAll(ctx context.Context, store tablestore.Store, count int) []error {
	failures := make([]error, count)
	var submitters sync.WaitGroup
	for i := range count {
		submitters.Go(func() { _, failures[i] = store.Commit(ctx, create(fmt.Sprintf("row/%d", i))) })
	}
	submitters.Wait()
	return failures
}

// TestGrouping: what is submitted while a group is in flight shares the next
// transactions, none larger than MaxGroup.
func TestGrouping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.New(standin.Options{HistoryLimit: 1000})
		table.SetFaults(standin.Faults{SlowMillis: 20})
		store := tablestore.NewStore(table, table, tablestore.StoreOptions{MaxGroup: 40})
		for i, err := range commitAll(t.Context(), store, 200) {
			if err != nil {
				t.Errorf("row %d: %v", i, err)
			}
		}
		if stats := store.Stats(); stats.Groups > 7 || stats.Rows != 200 {
			t.Errorf("stats %+v", stats)
		}
		store.Close()
		for _, committed := range table.History() {
			if rows := len(committed.Transaction.Writes); rows > 40+1 {
				t.Errorf("%d rows in one transaction", rows)
			}
		}
		if rows := table.Stats().RowsStored; rows != 200 {
			t.Errorf("%d rows left, want 200 without lane rows", rows)
		}
	})
}

// TestOutage: while the service is down submissions are refused, soon without
// asking it; once it is back they go through.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.New(standin.Options{})
		table.SetFaults(standin.Faults{Down: true})
		store := newStore(t, table, tablestore.StoreOptions{})
		for range 20 {
			for _, err := range commitAll(t.Context(), store, 50) {
				if !errors.Is(err, tablestore.ErrUnavailable) {
					t.Errorf("answered %v", err)
				}
			}
		}
		if sent := store.Stats().Transactions; store.Healthy() || store.RetryAfter() <= 0 || sent > 10 {
			t.Errorf("healthy %t, retry after %v, %d sent", store.Healthy(), store.RetryAfter(), sent)
		}
		table.SetFaults(standin.Faults{})
		time.Sleep(10 * time.Second) // virtual
		if _, err := store.Commit(t.Context(), create("row")); err != nil || !store.Healthy() {
			t.Errorf("answered %v, healthy %t", err, store.Healthy())
		}
	})
}

// TestReadRetries: a read goes on while throttled, gives up after a few
// refusals, and is then refused without being sent.
func TestReadRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down, throttled := tablestore.ErrUnavailable, tablestore.ErrThrottled
		table := &scriptedTable{Platform: standin.New(standin.Options{})}
		store := newStore(t, table, tablestore.StoreOptions{})
		table.reads = []error{throttled, throttled, throttled, down, throttled, down}
		if _, err := store.Get(t.Context(), "row"); err != nil {
			t.Errorf("answered %v", err)
		}
		table.reads = []error{down, down, down, tablestore.ErrRejected}
		for range 2 {
			if _, err := store.Get(t.Context(), "row"); !errors.Is(err, down) {
				t.Errorf("answered %v", err)
			}
		}
	})
}

// TestThrottling: groups grow until the rate is kept; who can't wait so long
// is answered ErrThrottled and not applied.
func TestThrottling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.New(standin.Options{})
		table.SetFaults(standin.Faults{TransactionsPerSecond: 1e-6})
		store := newStore(t, table, tablestore.StoreOptions{MaxGroup: 10})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		committed, throttled := 0, 0
		for _, err := range commitAll(ctx, store, 300) {
			switch {
			case err == nil:
				committed++
			case errors.Is(err, tablestore.ErrThrottled):
				throttled++
			default:
				t.Errorf("answered %v", err)
			}
		}
		if stored := table.Stats().RowsStored; throttled == 0 || committed+throttled != 300 || stored < committed {
			t.Errorf("%d committed, %d throttled, %d rows stored", committed, throttled, stored)
		}
	})
}

// TestPaceHoldsForPartialGroups: a full group waits for the pace that throttling imposed. When one of its members
// leaves meanwhile, the rest is a partial group, which was sent at once: it loaded a service that had just refused,
// and members whose time ended at that moment were told that their outcome is unknown.
func TestPaceHoldsForPartialGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.New(standin.Options{})
		table.SetFaults(standin.Faults{TransactionsPerSecond: 1e-6})
		const fullGroup = 10
		store := newStore(t, table, tablestore.StoreOptions{MaxGroup: fullGroup, Window: time.Minute})
		for i := range 10 { // what the service lets through at once
			if _, err := store.Commit(t.Context(), create(fmt.Sprintf("first/%d", i))); err != nil {
				t.Fatal(err)
			}
		}
		staying, stop := context.WithCancel(t.Context())
		leaving, leave := context.WithCancel(t.Context())
		var submitters sync.WaitGroup
		for i := range fullGroup {
			ctx := staying
			if i == 0 {
				ctx = leaving
			}
			submitters.Go(func() { _, _ = store.Commit(ctx, create(fmt.Sprintf("row/%d", i))) })
		}
		const refusals = 14 // after which the pace is 16 s
		for store.Stats().Throttled < refusals {
			time.Sleep(100 * time.Millisecond) // virtual
		}
		time.Sleep(2 * time.Second) // virtual; longer than the jittered wait after a refusal
		leave()
		synctest.Wait()
		if sent := store.Stats().Throttled; sent != refusals {
			t.Errorf("%d groups sent within the pace", sent-refusals)
		}
		stop()
		submitters.Wait()
	})
}

// TestForeignLaneWrite: if another writer changes the lane's row, a lost
// reply can't be settled, and the answer says so.
func TestForeignLaneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &scriptedTable{Platform: standin.New(standin.Options{})}
		table.steps = append(table.steps, func(transaction tablestore.Transaction) (tablestore.Receipt, error) {
			put(t, table.Platform, tablestore.Write{Key: transaction.Conditions[0].Key})
			return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
		})
		store := newStore(t, table, tablestore.StoreOptions{})
		if _, err := store.Commit(t.Context(), create("row")); !errors.Is(err, tablestore.ErrUnknownOutcome) {
			t.Errorf("answered %v", err)
		}
		if _, err := store.Commit(t.Context(), create("row")); err != nil {
			t.Errorf("the lane is not usable any more: %v", err)
		}
	})
}

// TestCloseDuringSettlement: closing ends a settlement that gets no answer.
func TestCloseDuringSettlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &scriptedTable{Platform: standin.New(standin.Options{})}
		table.steps = append(table.steps, func(tablestore.Transaction) (tablestore.Receipt, error) {
			table.SetFaults(standin.Faults{Down: true})
			return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
		})
		store := tablestore.NewStore(table, table, tablestore.StoreOptions{})
		time.AfterFunc(time.Second, store.Close)
		if _, err := store.Commit(t.Context(), create("row")); !errors.Is(err, tablestore.ErrUnknownOutcome) {
			t.Errorf("answered %v", err)
		}
		if _, err := store.Commit(t.Context(), create("row")); !errors.Is(err, tablestore.ErrUnavailable) {
			t.Errorf("answered %v after Close", err)
		}
		store.Close()
	})
}

// TestObjects: contents come back by digest over HTTP; a changed one is noticed.
func TestObjects(t *testing.T) {
	table := standin.New(standin.Options{})
	store := newStore(t, serve(t, table), tablestore.StoreOptions{})
	digest, err := store.PutObject(t.Context(), []byte("content"))
	if err != nil {
		t.Fatal(err)
	}
	if content, err := store.GetObject(t.Context(), digest); err != nil || string(content) != "content" {
		t.Errorf("got %q, %v", content, err)
	}
	table.CorruptObject(digest, []byte("changed"))
	if _, err := store.GetObject(t.Context(), digest); !errors.Is(err, tablestore.ErrCorrupt) {
		t.Errorf("a changed object answered %v", err)
	}
	if _, err := store.GetObject(t.Context(), "none"); !errors.Is(err, tablestore.ErrNotFound) {
		t.Errorf("a missing object answered %v", err)
	}
}
