package commitgroup_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/commitgroup"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// healthyTable is a table service with normal response times: reads take 4 ms, and transactions of several parts 15 ms,
// as they do next to other processes on a machine.
type healthyTable struct {
	mutex        sync.Mutex
	rows         map[string]tablestore.Row
	version      uint64
	accountReads int // of an account alone
}

// Commit implements tablestore.Table.
func (h *healthyTable) Commit(_ context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	time.Sleep(15 * time.Millisecond)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for i, condition := range transaction.Conditions {
		if row := h.rows[condition.Key]; row.Revision != condition.Revision {
			row.Key = condition.Key
			return tablestore.Receipt{}, &tablestore.ConflictError{Index: i, Current: row}
		}
	}
	h.version++
	receipt := tablestore.Receipt{Revisions: make(map[string]uint64)}
	for _, write := range transaction.Writes {
		h.rows[write.Key] = tablestore.Row{Key: write.Key, Value: write.Value, Revision: h.version}
		receipt.Revisions[write.Key] = h.version
	}
	return receipt, nil
}

// Get implements tablestore.Table.
func (h *healthyTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	page, err := h.Range(ctx, key, key+"\x00", 1)
	return page.RowAt(key), err
}

// Range implements tablestore.Table.
func (h *healthyTable) Range(_ context.Context, start, end string, _ int) (tablestore.Page, error) {
	time.Sleep(4 * time.Millisecond)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if end == start+"\x00" && strings.HasPrefix(start, "program-turns/") {
		h.accountReads++
	}
	var rows []tablestore.Row
	for key, row := range h.rows {
		if start <= key && key < end {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return strings.Compare(a.Key, b.Key) })
	return tablestore.Page{Rows: rows}, nil
}

// ignoringObserver ignores all events.
type ignoringObserver struct{}

func (ignoringObserver) WriterLost(string, error)     {}
func (ignoringObserver) WriterRegained(string)        {}
func (ignoringObserver) WriteRateReduced(float64)     {}
func (ignoringObserver) OutcomeDropped(string, error) {}

// TestGatheringIsNoSlowness: programs run turns over a table with normal response times. Their writes wait for a group,
// which must not count as a slow table and cause reads of accounts before the writes or in parallel with them.
func TestGatheringIsNoSlowness(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &healthyTable{rows: make(map[string]tablestore.Row)}
		grouped := commitgroup.NewTable(commitgroup.Options{Table: service, Node: "n", AllowMultiPart: true, DirectPathLost: func() bool { return false }, Observer: ignoringObserver{}})
		l := ledger.New(ledger.Options{Table: grouped, RunID: "a", BatchDelay: commitgroup.MaxGroupDelay})
		if _, problem := l.Begin(t.Context(), ledger.TurnRequest{Program: "p", Previous: "unknown"}); problem == nil {
			t.Error("a turn that does not exist was accepted as the previous one")
		}
		var programs sync.WaitGroup
		for i := range 60 {
			programs.Go(func() {
				time.Sleep(time.Duration(i*7) * time.Millisecond)
				previous := ""
				for turn := range 12 {
					id := fmt.Sprintf("t%d-%d", i, turn)
					run, problem := l.Begin(t.Context(), ledger.TurnRequest{Program: fmt.Sprintf("p%d", i), Budget: 100_000, MaxTokens: 100, Previous: previous, InputBytes: 1})
					if problem != nil {
						t.Error(problem)
						return
					}
					time.Sleep(300 * time.Millisecond)
					if err := run.Settle(t.Context(), 50, &ledger.Turn{ID: id, Parent: previous, Input: []byte("x")}); err != nil {
						t.Error(err)
						return
					}
					previous = id
				}
			})
		}
		programs.Wait()
		members := grouped.Stats().Members
		t.Logf("%d transactions, %d account reads", members, service.accountReads)
		if service.accountReads > 0 {
			t.Errorf("%d account reads for %d transactions of a table with normal response times", service.accountReads, members)
		}
	})
}
