package ownership

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/program"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// collectPageRows is the number of call rows that one transaction deletes.
const collectPageRows = 100

// isCollectable reports whether a program's rows can be deleted: it ended longer
// ago than the retention period, no engine is recorded as holding anything for
// it, and its sub-agents have returned their unspent budget.
func (p *Programs) isCollectable(header program.Header, now time.Time) bool {
	if header.Status != api.ProgramClosed || len(header.Holds) > 0 || len(header.Children) > 0 {
		return false
	}
	snapshot := p.InForce()
	if snapshot == nil {
		return false
	}
	retention := time.Duration(snapshot.Bundle.Limits.EndedKeepMillis) * time.Millisecond
	return now.Sub(header.EndedAt) > retention
}

// collect deletes the rows of an ended program: its calls a page at a time,
// then its header. Each transaction rewrites or deletes the header under the
// condition of its revision, so that if two nodes collect the same program, one
// of them stops. The next scan finds what is left after a failure. Objects
// stay: they are shared by content, and the object store has an expiry of its
// own.
func (p *Programs) collect(ctx context.Context, header program.Header, revision uint64) {
	if value, inMemory := p.entries.Load(header.ID); inMemory {
		p.forget(value.(*entry))
	}
	key := program.HeaderKey(header.ID)
	for {
		calls, err := p.Store.Range(ctx, program.CallKey(header.ID, 1), program.CallKey(header.ID, header.NextSequence), collectPageRows)
		if err != nil {
			return
		}
		_, more := calls.Next()
		writes := []tablestore.Write{{Key: key, Value: program.EncodeHeader(header), Delete: !more}}
		for _, call := range calls.Rows {
			writes = append(writes, tablestore.Write{Key: call.Key, Delete: true})
		}
		receipt, err := p.Store.Commit(ctx, tablestore.Transaction{
			Conditions: []tablestore.Condition{{Key: key, Revision: revision}},
			Writes:     writes,
		})
		if err != nil || !more {
			return
		}
		revision = receipt.Revisions[key]
	}
}
