package ledger_test

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// partlySilentTable is a table whose first parts answer no reads, once silent is set.
type partlySilentTable struct {
	*sharedTable
	silent atomic.Int64
}

// Range implements tablestore.Table.
func (p *partlySilentTable) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	part, err := strconv.Atoi(partOfKey(start))
	if err == nil && part < int(p.silent.Load()) {
		<-ctx.Done()
		return tablestore.Page{}, tablestore.ErrUnavailable
	}
	return p.sharedTable.Range(ctx, start, end, limit)
}

// programInPart returns the name of a program of a part.
func programInPart(part int) string {
	for i := 0; ; i++ {
		if program := fmt.Sprint("program-", i); partOfKey(ledger.AccountKey(program)) == strconv.Itoa(part) {
			return program
		}
	}
}

// TestTurnIsFoundBesideSilentParts guards against a search for a turn that waits for parts that do not answer: a quarter or half of
// the parts are silent. The turn of another program must be found without waiting for the timeout of a read.
func TestTurnIsFoundBesideSilentParts(t *testing.T) {
	const readTimeout = 300 * time.Millisecond // of a table that is not slow
	for _, silent := range []int64{0, ledger.Parts / 4, ledger.Parts / 2} {
		virtualtime.Test(t, func(t *testing.T) {
			table := &partlySilentTable{sharedTable: newSharedTable(t)}
			first := ledger.New(ledger.Options{Table: table, RunID: "a"})
			run, problem := first.Begin(t.Context(), ledger.TurnRequest{Program: programInPart(ledger.Parts - 1), Budget: 1000, MaxTokens: 10})
			if problem != nil {
				t.Fatal(problem)
			}
			if err := run.Settle(t.Context(), 5, &ledger.Turn{ID: "t1", Input: []byte("in"), Output: []byte("out")}); err != nil {
				t.Fatal(err)
			}
			table.silent.Store(silent)
			second := ledger.New(ledger.Options{Table: table, RunID: "b"})
			start := time.Now()
			_, problem = second.Begin(t.Context(), ledger.TurnRequest{Program: programInPart(ledger.Parts - 2), Budget: 1000, MaxTokens: 10, Previous: "t1"})
			if took := time.Since(start); problem != nil || took >= readTimeout {
				t.Errorf("%d silent parts: %v after %s", silent, problem, took)
			}
		})
	}
}
