package ledger_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// partLatencyTable is a table whose reads are not answered, and whose writes are answered after a time that depends on
// the part: ownLatency for the first part that is written, otherLatency for the others.
type partLatencyTable struct {
	*delayedTable
	mutex                    sync.Mutex
	ownPart                  string
	ownLatency, otherLatency time.Duration
	silent                   bool // from then on reads are not answered, and latencies count
	writes                   int
}

func partOfKey(key string) string { return strings.Split(key, "/")[1] }

// Commit implements tablestore.Table.
func (p *partLatencyTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	p.mutex.Lock()
	part, latency := partOfKey(transaction.Writes[0].Key), p.otherLatency
	if p.ownPart == "" {
		p.ownPart = part
	}
	if part == p.ownPart {
		latency = p.ownLatency
	}
	silent := p.silent
	p.writes++
	p.mutex.Unlock()
	if silent && sleep(ctx, latency) != nil {
		return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
	}
	return p.delayedTable.Commit(ctx, transaction)
}

// Get implements tablestore.Table.
func (p *partLatencyTable) Get(ctx context.Context, _ string) (tablestore.Row, error) {
	<-ctx.Done()
	return tablestore.Row{}, ctx.Err()
}

// TestLateWriteStillCountsBesideASecondOne guards against complete answers that are cut although the first write of
// their record is answered while their callers wait: nothing is answered for a second, so that the write may be lost,
// and the record is sent to another part as well. Whichever is answered first must count.
func TestLateWriteStillCountsBesideASecondOne(t *testing.T) {
	const never = time.Hour
	for _, c := range []struct {
		name                     string
		ownLatency, otherLatency time.Duration
		want                     time.Duration
		wantWrites               int
	}{
		{"in time", 900 * time.Millisecond, never, 900 * time.Millisecond, 1},
		{"late", 1500 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond, 2},
		{"lost", never, 300 * time.Millisecond, 1300 * time.Millisecond, 2},
		{"both lost", never, never, recordWait, 2},
	} {
		for _, program := range []string{"p", "g"} {
			t.Run(c.name+"/"+program, func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					table := &partLatencyTable{delayedTable: newDelayedTable(), ownLatency: c.ownLatency, otherLatency: c.otherLatency}
					l := ledger.New(ledger.Options{Table: table, RunID: "a"})
					l.SetOwners(grants{})
					run, problem := l.Begin(within(t, time.Second), ledger.TurnRequest{Program: program, Budget: 1000, MaxTokens: turnTokens, InputBytes: 1})
					if problem != nil {
						t.Fatal(problem)
					}
					time.Sleep(time.Second) // virtual
					table.mutex.Lock()
					table.silent, table.writes = true, 0
					table.mutex.Unlock()
					start := time.Now()
					err := run.Settle(within(t, recordWait), 40, &ledger.Turn{ID: "t1", Input: []byte("in"), Output: []byte("out")})
					if (err == nil) != (c.want < recordWait) {
						t.Errorf("got %v", err)
					}
					if took := time.Since(start); took != c.want {
						t.Errorf("took %s, want %s", took, c.want)
					}
					synctest.Wait()
					if table.writes != c.wantWrites {
						t.Errorf("%d writes, want %d", table.writes, c.wantWrites)
					}
				})
			})
		}
	}
}
