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
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// scriptedTable forwards to a stand-in, but each commit goes to the next step
// of a script, and each read of a row returns the next error, as long as there
// is one. It is for one goroutine at a time.
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

// passAfter forwards the transaction after a preparation.
func (s *scriptedTable) passAfter(prepare func()) func(tablestore.Transaction) (tablestore.Receipt, error) {
	return func(transaction tablestore.Transaction) (tablestore.Receipt, error) {
		prepare()
		return s.Platform.Commit(context.Background(), transaction)
	}
}

// loseReply stores the transaction in lost, to be applied later or never.
func loseReply(lost *tablestore.Transaction) func(tablestore.Transaction) (tablestore.Receipt, error) {
	return func(transaction tablestore.Transaction) (tablestore.Receipt, error) {
		*lost = transaction
		return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
	}
}

// newStore returns a store that is closed at the end of the test.
func newStore(t *testing.T, client tablestore.Store, options tablestore.StoreOptions) *tablestore.GroupStore {
	store := tablestore.NewStore(client, client, options)
	t.Cleanup(store.Close)
	return store
}

// put writes a row as another writer does, whatever its revision.
func put(t *testing.T, table tablestore.Table, write tablestore.Write) {
	t.Helper()
	transaction := tablestore.Transaction{WriteID: "other", Writes: []tablestore.Write{write}}
	if _, err := table.Commit(context.Background(), transaction); err != nil {
		t.Fatal(err)
	}
}

// create returns a transaction that creates a row, which must be absent.
func create(key string) tablestore.Transaction {
	return tablestore.Transaction{
		Conditions: []tablestore.Condition{{Key: key}},
		Writes:     []tablestore.Write{{Key: key, Value: []byte("mine")}},
	}
}

// TestConflictAfterLostReply: the reply to a create is lost. The second attempt
// meets a conflict, because another writer has created the row; that writer
// then deletes it, so that the first attempt could still apply. The result must
// match what was applied.
func TestConflictAfterLostReply(t *testing.T) {
	for _, applies := range []bool{true, false} {
		t.Run(fmt.Sprintf("late apply %t", applies), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				table := &scriptedTable{Platform: standin.New(standin.Options{})}
				var lost tablestore.Transaction
				otherCreates := func() { put(t, table.Platform, tablestore.Write{Key: "row"}) }
				otherDeletes := func() {
					put(t, table.Platform, tablestore.Write{Key: "row", Delete: true})
					if applies {
						_, _ = table.Platform.Commit(context.Background(), lost)
					}
				}
				table.steps = append(table.steps, loseReply(&lost), table.passAfter(otherCreates), table.passAfter(otherDeletes))
				store := newStore(t, table, tablestore.StoreOptions{})
				_, err := store.Commit(t.Context(), create("row"))
				if !applies {
					_, _ = table.Platform.Commit(context.Background(), lost) // too late
				}
				row, _ := table.Get(context.Background(), "row")
				if applied := row.Revision != 0; applied != applies || applied != (err == nil) {
					t.Errorf("result %v, row %+v", err, row)
				}
			})
		})
	}
}

// TestRejectedAfterLostReply: a group whose reply was lost and that is then
// rejected must not hold its lane for ever, nor be applied later.
func TestRejectedAfterLostReply(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := &scriptedTable{Platform: standin.New(standin.Options{})}
		var lost tablestore.Transaction
		reject := func(tablestore.Transaction) (tablestore.Receipt, error) {
			return tablestore.Receipt{}, tablestore.ErrRejected
		}
		table.steps = append(table.steps, loseReply(&lost), reject)
		store := newStore(t, table, tablestore.StoreOptions{})
		if _, err := store.Commit(t.Context(), create("row")); !errors.Is(err, tablestore.ErrRejected) {
			t.Errorf("got %v", err)
		}
		if _, err := table.Platform.Commit(t.Context(), lost); err == nil {
			t.Error("the lost transaction could still apply")
		}
	})
}

// TestInvalidTransactions: invalid transactions are rejected before they are sent.
func TestInvalidTransactions(t *testing.T) {
	table := standin.New(standin.Options{})
	store := newStore(t, table, tablestore.StoreOptions{})
	duplicateWrite := create("row")
	duplicateWrite.Writes = append(duplicateWrite.Writes, duplicateWrite.Writes[0])
	otherKey := create("row")
	otherKey.Conditions[0].Key = "other"
	for _, transaction := range []tablestore.Transaction{{}, duplicateWrite, otherKey} {
		if _, err := store.Commit(t.Context(), transaction); !errors.Is(err, tablestore.ErrInvalidTransaction) {
			t.Errorf("%+v returned %v", transaction, err)
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

// TestGrouping: transactions submitted while a group is in flight share the
// next groups, none larger than MaxGroup.
func TestGrouping(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
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
			t.Errorf("%d rows stored, want 200 without lane rows", rows)
		}
	})
}

// TestOutage: while the service is down submissions are rejected, after a few
// failures without a request to it; once it is back they are committed.
func TestOutage(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := standin.New(standin.Options{})
		table.SetFaults(standin.Faults{Down: true})
		store := newStore(t, table, tablestore.StoreOptions{})
		for range 20 {
			for _, err := range commitAll(t.Context(), store, 50) {
				if !errors.Is(err, tablestore.ErrUnavailable) {
					t.Errorf("got %v", err)
				}
			}
		}
		if sent := store.Stats().Transactions; store.Healthy() || store.RetryAfter() <= 0 || sent > 10 {
			t.Errorf("healthy %t, retry after %v, %d sent", store.Healthy(), store.RetryAfter(), sent)
		}
		table.SetFaults(standin.Faults{})
		time.Sleep(10 * time.Second) // virtual
		if _, err := store.Commit(t.Context(), create("row")); err != nil || !store.Healthy() {
			t.Errorf("got %v, healthy %t", err, store.Healthy())
		}
	})
}

// TestReadRetries: a read is retried while throttled, fails after a few
// unavailable responses, and then fails without a request.
func TestReadRetries(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		down, throttled := tablestore.ErrUnavailable, tablestore.ErrThrottled
		table := &scriptedTable{Platform: standin.New(standin.Options{})}
		store := newStore(t, table, tablestore.StoreOptions{})
		table.reads = []error{throttled, throttled, throttled, down, throttled, down}
		if _, err := store.Get(t.Context(), "row"); err != nil {
			t.Errorf("got %v", err)
		}
		table.reads = []error{down, down, down, tablestore.ErrRejected}
		for range 2 {
			if _, err := store.Get(t.Context(), "row"); !errors.Is(err, down) {
				t.Errorf("got %v", err)
			}
		}
	})
}

// TestThrottling: groups grow until the rate limit is kept; a submission whose
// context ends before that gets ErrThrottled and is not applied.
func TestThrottling(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
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
				t.Errorf("got %v", err)
			}
		}
		if stored := table.Stats().RowsStored; throttled == 0 || committed+throttled != 300 || stored < committed {
			t.Errorf("%d committed, %d throttled, %d rows stored", committed, throttled, stored)
		}
	})
}

// TestPaceHoldsForPartialGroups: a full group waits for the send interval that throttling imposed. If one of its
// members is cancelled in between, the others form a partial group, which must wait as well. Sent at once, it would load
// a service that has just throttled, and members whose context ends at that moment would get an unknown outcome.
func TestPaceHoldsForPartialGroups(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := standin.New(standin.Options{})
		table.SetFaults(standin.Faults{TransactionsPerSecond: 1e-6})
		const fullGroup = 10
		store := newStore(t, table, tablestore.StoreOptions{MaxGroup: fullGroup, Window: time.Minute})
		for i := range 10 { // the burst that the service allows
			if _, err := store.Commit(t.Context(), create(fmt.Sprintf("first/%d", i))); err != nil {
				t.Fatal(err)
			}
		}
		otherContext, cancelOthers := context.WithCancel(t.Context())
		firstContext, cancelFirst := context.WithCancel(t.Context())
		var submitters sync.WaitGroup
		for i := range fullGroup {
			ctx := otherContext
			if i == 0 {
				ctx = firstContext
			}
			submitters.Go(func() { _, _ = store.Commit(ctx, create(fmt.Sprintf("row/%d", i))) })
		}
		const throttledGroups = 14 // after which the send interval is 16 s
		for store.Stats().Throttled < throttledGroups {
			time.Sleep(100 * time.Millisecond) // virtual
		}
		time.Sleep(2 * time.Second) // virtual; longer than the jittered wait after a throttled group
		cancelFirst()
		synctest.Wait()
		if sent := store.Stats().Throttled; sent != throttledGroups {
			t.Errorf("%d groups sent within the send interval", sent-throttledGroups)
		}
		cancelOthers()
		submitters.Wait()
	})
}

// TestForeignLaneWrite: if another writer changes the lane row, the outcome of a
// lost reply cannot be resolved, and the result is ErrUnknownOutcome.
func TestForeignLaneWrite(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := &scriptedTable{Platform: standin.New(standin.Options{})}
		table.steps = append(table.steps, func(transaction tablestore.Transaction) (tablestore.Receipt, error) {
			put(t, table.Platform, tablestore.Write{Key: transaction.Conditions[0].Key})
			return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
		})
		store := newStore(t, table, tablestore.StoreOptions{})
		if _, err := store.Commit(t.Context(), create("row")); !errors.Is(err, tablestore.ErrUnknownOutcome) {
			t.Errorf("got %v", err)
		}
		if _, err := store.Commit(t.Context(), create("row")); err != nil {
			t.Errorf("the lane is no longer usable: %v", err)
		}
	})
}

// TestCloseDuringSettlement: closing ends the resolution of an unknown outcome while the service is down.
func TestCloseDuringSettlement(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := &scriptedTable{Platform: standin.New(standin.Options{})}
		table.steps = append(table.steps, func(tablestore.Transaction) (tablestore.Receipt, error) {
			table.SetFaults(standin.Faults{Down: true})
			return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
		})
		store := tablestore.NewStore(table, table, tablestore.StoreOptions{})
		time.AfterFunc(time.Second, store.Close)
		if _, err := store.Commit(t.Context(), create("row")); !errors.Is(err, tablestore.ErrUnknownOutcome) {
			t.Errorf("got %v", err)
		}
		if _, err := store.Commit(t.Context(), create("row")); !errors.Is(err, tablestore.ErrUnavailable) {
			t.Errorf("got %v after Close", err)
		}
		store.Close()
	})
}

// TestObjects: contents are returned by digest over HTTP; a changed one is detected.
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
		t.Errorf("a changed object returned %v", err)
	}
	if _, err := store.GetObject(t.Context(), "none"); !errors.Is(err, tablestore.ErrNotFound) {
		t.Errorf("a missing object returned %v", err)
	}
}
