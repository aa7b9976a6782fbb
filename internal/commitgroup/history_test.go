package commitgroup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// faultyTable is a table service in memory. A share of its calls fails, in all ways in which calls can fail. It runs in
// virtual time.
type faultyTable struct {
	mutex             sync.Mutex
	random            *rand.Rand
	faultShare        float64 // of calls that fail
	rows              map[string]tablestore.Row
	version           uint64
	applied           map[string]int // how often a value was written
	at                map[string]int64
	downPart          string  // part that is unavailable
	rejectedKey       string  // key whose writes are rejected
	lateShare         float64 // of calls that run after up to 1.4 s, and respond only then
	maxEntriesSeen    int     // in a transaction
	unmarkedMultiPart int     // transactions of several parts without Across
}

func newFaultyTable(seed uint64, share float64) *faultyTable {
	return &faultyTable{
		random:     rand.New(rand.NewPCG(seed, 1)),
		faultShare: share,
		rows:       make(map[string]tablestore.Row),
		applied:    make(map[string]int),
		at:         make(map[string]int64),
	}
}

// Commit implements tablestore.Table.
func (f *faultyTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	time.Sleep(4*time.Millisecond + f.drawDelay())
	fault, late := f.drawFault(transaction)
	switch fault {
	case 0:
		return tablestore.Receipt{}, errors.Mark(errors.New("429"), tablestore.ErrThrottled)
	case 1:
		return tablestore.Receipt{}, errors.Mark(errors.New("503"), tablestore.ErrUnavailable)
	case 2: // applied, and the reply is lost
		_, _ = f.apply(transaction)
		return tablestore.Receipt{}, errors.Mark(errors.New("reset"), tablestore.ErrUnknownOutcome)
	case 3: // reply lost, applied later unless a condition fails then
		time.AfterFunc(late, func() { _, _ = f.apply(transaction) })
		return tablestore.Receipt{}, errors.Mark(errors.New("reset"), tablestore.ErrUnknownOutcome)
	case 4: // applied, and no reply until ctx ends
		_, _ = f.apply(transaction)
		<-ctx.Done()
		return tablestore.Receipt{}, errors.Mark(ctx.Err(), tablestore.ErrUnknownOutcome)
	case 5:
		return tablestore.Receipt{}, errors.Mark(errors.New("400"), tablestore.ErrRejected)
	}
	return f.apply(transaction)
}

// drawDelay draws how long a call waits before it runs; it runs even if its caller has cancelled by then.
func (f *faultyTable) drawDelay() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.lateShare == 0 || f.random.Float64() >= f.lateShare {
		return 0
	}
	return time.Duration(f.random.IntN(1400)) * time.Millisecond
}

// drawFault draws the fault of a call, and the delay of a late write.
func (f *faultyTable) drawFault(transaction tablestore.Transaction) (fault int, late time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.maxEntriesSeen = max(f.maxEntriesSeen, len(transaction.Conditions)+len(transaction.Writes))
	parts := make(map[string]bool)
	for _, write := range transaction.Writes {
		parts[partOf(write.Key)] = true
		if write.Key == f.rejectedKey {
			return 5, 0
		}
	}
	if len(parts) > 1 && !transaction.Across {
		f.unmarkedMultiPart++
	}
	if parts[f.downPart] {
		return 1, 0
	}
	if f.random.Float64() >= f.faultShare {
		return -1, 0
	}
	return f.random.IntN(5), time.Duration(f.random.IntN(3000)) * time.Millisecond
}

// apply applies all of a transaction or nothing.
func (f *faultyTable) apply(transaction tablestore.Transaction) (tablestore.Receipt, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var conflict *tablestore.ConflictError
	rows := []tablestore.Row{}
	for i, condition := range transaction.Conditions {
		row, found := f.rows[condition.Key]
		if found {
			rows = append(rows, row)
		}
		if conflict == nil && row.Revision != condition.Revision {
			row.Key = condition.Key
			conflict = &tablestore.ConflictError{Index: i, Current: row}
		}
	}
	if conflict != nil {
		if f.random.IntN(2) == 0 {
			conflict.Rows = rows
		}
		return tablestore.Receipt{}, conflict
	}
	f.version++
	receipt := tablestore.Receipt{Revisions: make(map[string]uint64)}
	for _, write := range transaction.Writes {
		f.rows[write.Key] = tablestore.Row{Key: write.Key, Value: write.Value, Revision: f.version}
		f.applied[write.Key+"="+string(write.Value)]++
		f.at[write.Key+"="+string(write.Value)] = time.Now().UnixNano()
		receipt.Revisions[write.Key] = f.version
	}
	return receipt, nil
}

// Get implements tablestore.Table.
func (f *faultyTable) Get(_ context.Context, key string) (tablestore.Row, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	row := f.rows[key]
	row.Key = key
	return row, nil
}

// Range implements tablestore.Table.
func (f *faultyTable) Range(context.Context, string, string, int) (tablestore.Page, error) {
	return tablestore.Page{}, errors.New("not used")
}

// link carries requests to tables by name, and loses some.
type link struct {
	mutex      sync.Mutex
	random     *rand.Rand
	faultShare float64 // of requests that fail
	tables     map[string]*Table
}

// Do implements peerClient.
func (l *link) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	time.Sleep(time.Millisecond)
	l.mutex.Lock()
	fault := 9
	if l.random.Float64() < l.faultShare {
		fault = l.random.IntN(4)
	}
	l.mutex.Unlock()
	if fault == 0 {
		return nil, errors.Mark(errors.New("no connection"), wire.ErrNotSent)
	}
	if fault == 1 { // the peer is paused
		<-ctx.Done()
		return nil, errors.Mark(ctx.Err(), wire.ErrLinkBroken)
	}
	replies := make(chan *wirepb.Reply, 1)
	go func() {
		replies <- l.tables[address].Answer(ctx, request.GetFrom(), request.GetCommitTable().GetGrouped(), func() { onPart(0, nil) })
	}()
	select {
	case reply := <-replies:
		if fault == 2 { // the reply is lost
			return nil, errors.Mark(errors.New("reset"), wire.ErrLinkBroken)
		}
		if fault == 3 {
			return &wirepb.Reply{Body: []byte("nonsense")}, nil
		}
		return reply, nil
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), wire.ErrLinkBroken)
	}
}

// silentObserver ignores all events.
type silentObserver struct{}

func (silentObserver) WriterLost(string, error)     {}
func (silentObserver) WriterRegained(string)        {}
func (silentObserver) WriteRateReduced(float64)     {}
func (silentObserver) OutcomeDropped(string, error) {}

// newFleet returns the tables of nodes over one service, with all of them as peers.
func newFleet(service tablestore.Table, nodes int, random *rand.Rand, share float64) []*Table {
	peerLink := &link{random: random, faultShare: share, tables: make(map[string]*Table)}
	var fleet []*Table
	var names []Node
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		table := NewTable(Options{Table: service, Node: name, AllowMultiPart: true, DirectPathLost: func() bool { return false }, Observer: silentObserver{}})
		peerLink.tables[name] = table
		fleet, names = append(fleet, table), append(names, Node{Address: name})
	}
	for i, table := range fleet {
		table.SetPeers(peerLink, names[i].Address, names, nil, nil)
	}
	return fleet
}

// operation is one conditional write of a row, as its caller saw it.
type operation struct {
	key, expected, token string
	outcome              string // applied, conflict, refused or unknown
	current              string // value returned by a conflict
}

// rowModel is a row whose state is its value.
var rowModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, one := range history {
			key := one.Input.(operation).key
			byKey[key] = append(byKey[key], one)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		value, op := state.(string), input.(operation)
		if op.outcome == "applied" {
			return value == op.expected, op.token
		}
		return value == op.current && value != op.expected, value
	},
}

// history runs clients against a fleet and records their operations.
type history struct {
	service *faultyTable
	mutex   sync.Mutex
	done    []porcupine.Operation
	counts  map[string]int
}

// client writes rows repeatedly, on condition of their last state that it saw.
func (h *history) client(id int, table *Table, random *rand.Rand, operations int) {
	lastSeen := make(map[string]tablestore.Row)
	for i := range operations {
		part := random.IntN(4)
		key := fmt.Sprintf("t/%d/row-%d", part, random.IntN(3))
		op := operation{key: key, expected: string(lastSeen[key].Value), token: fmt.Sprintf("%d-%d", id, i)}
		conditions := []tablestore.Condition{{Key: key, Revision: lastSeen[key].Revision}}
		for random.IntN(3) == 0 { // more conditions, which hold
			conditions = append(conditions, tablestore.Condition{Key: fmt.Sprintf("none/%d/%s-%d", part, op.token, len(conditions))})
		}
		wait := time.Second
		if h.service.faultShare > 0 {
			wait = time.Duration(30+random.IntN(800)) * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		start := time.Now().UnixNano()
		receipt, err := table.Commit(ctx, tablestore.Transaction{
			Conditions: conditions,
			Writes: []tablestore.Write{
				{Key: key, Value: []byte(op.token)},
				{Key: fmt.Sprintf("log/%d/%s", part, op.token), Value: []byte("x")},
			},
			Deferrable: random.IntN(2) == 0,
		})
		cancel()
		end := time.Now().UnixNano()
		var conflict *tablestore.ConflictError
		switch {
		case err == nil:
			op.outcome = "applied"
			lastSeen[key] = tablestore.Row{Value: []byte(op.token), Revision: receipt.Revisions[key]}
		case errors.As(err, &conflict) && string(conflict.Current.Value) == op.token:
			op.outcome = "applied" // applied by a writer that did not respond
			lastSeen[key] = conflict.Current
		case errors.As(err, &conflict) && errors.Is(err, tablestore.ErrUnknownOutcome):
			op.outcome = "unknown" // sent twice: it may have been applied, and overwritten since
			lastSeen[key] = conflict.Current
		case errors.As(err, &conflict):
			op.outcome, op.current = "conflict", string(conflict.Current.Value)
			lastSeen[key] = conflict.Current
		case errors.Is(err, tablestore.ErrUnknownOutcome):
			op.outcome = "unknown"
		default:
			op.outcome = "refused"
		}
		h.record(id, op, start, end)
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
}

func (h *history) record(client int, op operation, begun, ended int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.counts[op.outcome]++
	h.done = append(h.done, porcupine.Operation{ClientId: client, Input: op, Call: begun, Return: ended})
}

// check returns the first violation in the history or in the table; empty if there is none.
func (h *history) check(writersFail bool) string {
	h.service.mutex.Lock()
	defer h.service.mutex.Unlock()
	for _, one := range h.done {
		op := one.Input.(operation)
		logged := h.service.applied[fmt.Sprintf("log/%s/%s=x", partOf(op.key), op.token)]
		times := h.service.applied[op.key+"="+op.token]
		switch {
		case times > 1 || logged != times:
			return fmt.Sprintf("%+v was written %d times, its second row %d times", op, times, logged)
		case op.outcome == "applied" && times == 0:
			return fmt.Sprintf("%+v is lost", op)
		case op.outcome == "refused" && times > 0:
			return fmt.Sprintf("%+v was written", op)
		case op.outcome == "conflict" && times > 0 && !writersFail:
			return fmt.Sprintf("%+v was written", op)
		}
	}
	if h.service.maxEntriesSeen > 100 || h.service.unmarkedMultiPart > 0 {
		return fmt.Sprintf("%d entries, %d transactions of several parts without Across", h.service.maxEntriesSeen, h.service.unmarkedMultiPart)
	}
	if h.service.faultShare == 0 && h.counts["refused"]+h.counts["unknown"] > 0 {
		return fmt.Sprintf("without faults: %v", h.counts)
	}
	if !porcupine.CheckOperations(rowModel, h.effectiveOperations()) {
		return "no order of the conditional writes of a row fits the history"
	}
	return ""
}

// effectiveOperations returns the operations that took effect or returned the value of the row. The table records
// whether and when each was applied, whatever result its caller got.
func (h *history) effectiveOperations() []porcupine.Operation {
	var operations []porcupine.Operation
	for _, one := range h.done {
		op := one.Input.(operation)
		at, applied := h.service.at[op.key+"="+op.token]
		switch {
		case applied && op.outcome != "applied":
			op.outcome = "applied"
			one.Input, one.Return = op, max(one.Return, at)
		case op.outcome == "refused" || op.outcome == "unknown":
			continue
		}
		operations = append(operations, one)
	}
	return operations
}

// runHistory has clients of a fleet write rows concurrently. It returns the first violation.
func runHistory(t *testing.T, seed uint64, faults, linkFaults, lateShare float64) (counts map[string]int, violation string) {
	virtualtime.Test(t, func(t *testing.T) {
		h := &history{service: newFaultyTable(seed, faults), counts: make(map[string]int)}
		h.service.lateShare = lateShare
		fleet := newFleet(h.service, 4, rand.New(rand.NewPCG(seed, 2)), linkFaults)
		var clients sync.WaitGroup
		for id := range 12 {
			random := rand.New(rand.NewPCG(seed, uint64(10+id)))
			clients.Go(func() { h.client(id, fleet[id%len(fleet)], random, 25) })
		}
		clients.Wait()
		time.Sleep(time.Minute) // virtual: late writes are applied
		violation = h.check(linkFaults > 0)
		counts = h.counts
	})
	return counts, violation
}

// TestHistoriesOfGroupedWrites: many clients write the same rows through the groups of several nodes, and the calls
// to the service fail in all ways. Nothing may be written twice, no acknowledged write lost and no rejected write
// applied, and a failed condition must fail only its own transaction. porcupine checks that some order of the
// writes of each row fits the results of the callers.
func TestHistoriesOfGroupedWrites(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(103)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	total := make(map[string]int)
	run := func(faults, linkFaults, lateShare float64) func(seed uint64) string {
		return func(seed uint64) string {
			counts, violation := runHistory(t, seed, faults, linkFaults, lateShare)
			for outcome, count := range counts {
				total[outcome] += count
			}
			return violation
		}
	}
	properties.Property("a service without faults", prop.ForAll(run(0, 0, 0), gen.UInt64()))
	properties.Property("a faulty service", prop.ForAll(run(0.25, 0, 0), gen.UInt64()))
	properties.Property("faulty service and links", prop.ForAll(run(0.15, 0.15, 0), gen.UInt64()))
	properties.Property("a service with some late responses", prop.ForAll(run(0.1, 0, 0.2), gen.UInt64()))
	properties.Property("late responses and faulty links", prop.ForAll(run(0.1, 0.15, 0.3), gen.UInt64()))
	properties.TestingRun(t)
	for _, outcome := range []string{"applied", "conflict", "refused", "unknown"} {
		if total[outcome] < 50 {
			t.Errorf("only %d of the operations ended as %s: %v", total[outcome], outcome, total)
		}
	}
}
