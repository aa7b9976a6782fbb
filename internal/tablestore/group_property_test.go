package tablestore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	standin "github.com/pewtermill/pewtermill/internal/standin/platform"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

const (
	propertySeed = 20260101
	maxLateApply = 400 * time.Millisecond
	stallTime    = 15 * time.Second // longer than any timeout of the store
	drainTime    = time.Minute      // virtual
)

// submitted is one transaction of a run with its result. token is the value of
// all its writes, so that the history shows what was applied.
type submitted struct {
	token       string
	transaction tablestore.Transaction
	receipt     tablestore.Receipt
	err         error
	contextDone bool
}

// run drives two stores on one table, with several clients each, under random
// faults. Everything random except the stores' own jitter comes from the seed.
type run struct {
	table      *standin.Platform
	stores     []*tablestore.GroupStore
	keys       int
	clients    int
	operations int

	mu          sync.Mutex
	submissions []submitted
}

func newRun(clients, keys, ops int) *run {
	table := standin.New(standin.Options{HistoryLimit: 1 << 20})
	r := &run{table: table, keys: keys, clients: clients, operations: ops}
	for _, node := range []string{"a", "b"} {
		options := tablestore.StoreOptions{Node: node, MaxGroup: 6}
		r.stores = append(r.stores, tablestore.NewStore(table, table, options))
	}
	return r
}

// runToEnd returns when all clients are done, the stores are closed and late
// writes have been applied.
func (r *run) runToEnd(seed uint64) {
	stop := make(chan struct{})
	var driver, clients sync.WaitGroup
	driver.Go(func() { r.driveFaults(rand.New(rand.NewPCG(seed, 0)), stop) })
	for client := range r.clients {
		random := rand.New(rand.NewPCG(seed, uint64(client+1)))
		clients.Go(func() { r.client(client, random) })
	}
	clients.Wait()
	close(stop)
	driver.Wait()
	for _, store := range r.stores {
		store.Close()
	}
	time.Sleep(drainTime) // virtual time: late writes are applied
}

// driveFaults changes the faults at random times, and clears them at the end.
func (r *run) driveFaults(random *rand.Rand, stop chan struct{}) {
	for {
		r.table.SetFaults(randomFaults(random))
		select {
		case <-time.After(time.Duration(1+random.IntN(800)) * time.Millisecond):
		case <-stop:
			r.table.SetFaults(standin.Faults{})
			return
		}
	}
}

func randomFaults(random *rand.Rand) standin.Faults {
	faults := standin.Faults{Seed: random.Uint64()}
	if random.IntN(3) > 0 {
		faults.LoseReplyShare = random.Float64()
	}
	if random.IntN(2) == 0 {
		faults.LateApplyMillis = maxLateApply.Milliseconds()
	}
	if random.IntN(3) == 0 {
		faults.TransactionsPerSecond = 5 + 50*random.Float64()
	}
	if random.IntN(3) > 0 {
		faults.SlowMillis = random.Int64N(50)
	}
	if random.IntN(10) == 0 {
		faults.SlowMillis = stallTime.Milliseconds()
	}
	faults.Down = random.IntN(6) == 0
	return faults
}

func (r *run) client(number int, random *rand.Rand) {
	store := r.stores[number%len(r.stores)]
	for op := range r.operations {
		token := fmt.Sprintf("%d-%d", number, op)
		transaction := r.transaction(random, token)
		timeout := time.Duration(1+random.IntN(3000)) * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		receipt, err := store.Commit(ctx, transaction)
		contextDone := ctx.Err() != nil
		cancel()
		r.mu.Lock()
		r.submissions = append(r.submissions, submitted{token, transaction, receipt, err, contextDone})
		r.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// transaction writes or deletes one or two rows, conditional on their current
// revisions; some of the revisions are wrong.
func (r *run) transaction(random *rand.Rand, token string) tablestore.Transaction {
	var transaction tablestore.Transaction
	first := random.IntN(r.keys)
	for _, number := range []int{first, first + 1}[:1+random.IntN(2)] {
		key := fmt.Sprintf("row/%d", number%(r.keys+1))
		revision := r.currentRevision(key)
		if random.IntN(10) == 0 {
			revision += 1000000
		}
		transaction.Conditions = append(transaction.Conditions, tablestore.Condition{Key: key, Revision: revision})
		write := tablestore.Write{Key: key, Value: []byte(token), Delete: random.IntN(3) == 0}
		transaction.Writes = append(transaction.Writes, write)
	}
	return transaction
}

// currentRevision retries until the table responds.
func (r *run) currentRevision(key string) uint64 {
	for {
		row, err := r.table.Get(context.Background(), key)
		if err == nil {
			return row.Revision
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// check compares each result with what was applied, and returns the first violation.
func (r *run) check() error {
	applied := make(map[string][]standin.Committed)
	for _, committed := range r.table.History() {
		for _, write := range committed.Transaction.Writes {
			token := string(write.Value)
			earlier := applied[token]
			if len(earlier) == 0 || earlier[len(earlier)-1].Sequence != committed.Sequence {
				applied[token] = append(earlier, committed)
			}
		}
	}
	for _, s := range r.submissions {
		if err := s.check(applied[s.token]); err != nil {
			return errors.Wrapf(err, "transaction %s, result %v", s.token, s.err)
		}
	}
	return nil
}

func (s submitted) check(applied []standin.Committed) error {
	var conflict *tablestore.ConflictError
	switch {
	case s.err == nil:
		return s.checkReceipt(applied)
	case errors.Is(s.err, tablestore.ErrUnknownOutcome):
		if !s.contextDone || len(applied) > 1 {
			return errors.Newf("context done %t, applied %d times", s.contextDone, len(applied))
		}
		return nil
	case errors.As(s.err, &conflict):
		condition := s.transaction.Conditions[conflict.Index]
		if condition.Key != conflict.Current.Key || condition.Revision == conflict.Current.Revision {
			return errors.Newf("conflict %+v is not about condition %+v", conflict, condition)
		}
	case errors.Is(s.err, tablestore.ErrUnavailable), errors.Is(s.err, tablestore.ErrThrottled):
	default:
		return errors.New("unexpected kind of error")
	}
	if len(applied) != 0 {
		return errors.Newf("applied %d times", len(applied))
	}
	return nil
}

func (s submitted) checkReceipt(applied []standin.Committed) error {
	if len(applied) != 1 {
		return errors.Newf("applied %d times", len(applied))
	}
	for _, write := range s.transaction.Writes {
		revision, present := s.receipt.Revisions[write.Key]
		want := applied[0].Sequence
		if write.Delete {
			want = 0
		}
		if !present || revision != want && revision != tablestore.RevisionOverwritten {
			return errors.Newf("receipt %v, want revision %d", s.receipt.Revisions, want)
		}
	}
	return nil
}

// TestResultsMatchHistory: nil means applied exactly once; a conflict or a
// rejection means never applied; unknown comes only after the context ended.
func TestResultsMatchHistory(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	property := func(seed uint64, clients, keys int) (string, error) {
		var violation error
		virtualtime.Test(t, func(*testing.T) {
			r := newRun(clients, keys, 12)
			r.runToEnd(seed)
			violation = r.check()
		})
		return "", violation
	}
	properties.Property("results agree with the history", prop.ForAll(property,
		gen.UInt64(), gen.IntRange(2, 24), gen.IntRange(1, 12)))
	properties.TestingRun(t)
}
