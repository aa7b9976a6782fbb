package ledger

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// memoryTable is a table of one row in memory. Responses to its writes and reads can be lost.
type memoryTable struct {
	mutex      sync.Mutex
	row        tablestore.Row
	loseWrites bool // writes are applied, without a response
	loseReads  bool
}

func (m *memoryTable) set(loseWrites, loseReads bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.loseWrites, m.loseReads = loseWrites, loseReads
}

func (m *memoryTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	m.mutex.Lock()
	condition := transaction.Conditions[0]
	current, lose := m.row, m.loseWrites
	if condition.Revision == current.Revision {
		first := transaction.Writes[0]
		m.row = tablestore.Row{Key: first.Key, Value: first.Value, Revision: current.Revision + 1}
	}
	revision := m.row.Revision
	m.mutex.Unlock()
	switch {
	case lose:
		<-ctx.Done()
		return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
	case condition.Revision != current.Revision:
		return tablestore.Receipt{}, &tablestore.ConflictError{Current: current}
	}
	return tablestore.Receipt{Revisions: map[string]uint64{condition.Key: revision}}, nil
}

func (m *memoryTable) Get(ctx context.Context, _ string) (tablestore.Row, error) {
	m.mutex.Lock()
	row, lose := m.row, m.loseReads
	m.mutex.Unlock()
	if lose {
		<-ctx.Done()
		return tablestore.Row{}, ctx.Err()
	}
	return row, nil
}

func (m *memoryTable) Range(ctx context.Context, start, _ string, _ int) (tablestore.Page, error) {
	row, err := m.Get(ctx, start)
	if err != nil || row.Revision == 0 {
		return tablestore.Page{}, err
	}
	return tablestore.Page{Rows: []tablestore.Row{row}}, nil
}

// TestNothingIsGrantedInDoubt loses the response to a write that makes the node's
// allowance smaller, after an earlier lost write was found applied in the row. The
// next turn must not run on the allowance as it was before: a program used 909 tokens of a
// budget of 576 and one turn of 288.
func TestNothingIsGrantedInDoubt(t *testing.T) {
	const smallTurn, largeTurn = 10, 100
	table := &memoryTable{}
	l := New(Options{Table: table, RunID: "a"})
	begin := func(maxTokens int64, limit time.Duration) (*RunningTurn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		return l.ReserveForPeer(ctx, TurnRequest{Program: "p", Budget: 300, MaxTokens: maxTokens}, func() {})
	}
	first, err := begin(largeTurn, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	table.set(true, false)
	second, err := begin(largeTurn+1, 5*time.Second) // its write is found applied in the row
	if err != nil {
		t.Fatal(err)
	}
	first.Abandon()
	second.Abandon()
	table.set(true, true)
	if _, err := begin(smallTurn, 0); err != nil {
		t.Fatalf("a small turn does not fit the allowance: %v", err)
	}
	e := l.entryOf("p")
	e.mutex.Lock()
	unused := e.held - e.inFlight
	e.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if e.lock(ctx) != nil {
		t.Fatal("the entry is locked")
	}
	if err := l.write(ctx, e, TurnRequest{ReturnUnused: true}); err == nil {
		t.Fatal("a write without a response succeeded")
	}
	e.unlock()
	if _, err := begin(unused, 300*time.Millisecond); err == nil {
		t.Errorf("a turn of %d tokens was admitted although the allowance may have been returned", unused)
	}
}
