package ownership

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/program"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// collectPageRows is how many call rows one transaction deletes.
const collectPageRows = 100

// isCollectable says that nobody needs a program's rows any more: it ended
// long enough ago, no engine is recorded as holding anything for it, and its
// sub-agents have returned what they had left.
func (p *Programs) isCollectable(header program.Header, now time.Time) bool {
	if header.Status != api.ProgramClosed || len(header.Holds) > 0 || len(header.Children) > 0 {
		return false
	}
	snapshot := p.InForce()
	if snapshot == nil {
		return false
	}
	keep := time.Duration(snapshot.Bundle.Limits.EndedKeepMillis) * time.Millisecond
	return now.Sub(header.EndedAt) > keep
}

// collect deletes the rows of an ended program: its calls a page at a time,
// then its header. Each transaction rewrites or deletes the header under the
// condition of its revision, so that of two nodes which collect the same
// program one gives up. What is left after a failure is found by the next
// scan. Objects stay: they are shared by content, and the object store has an
// expiry of its own.
func (p *Programs) collect(ctx context.Context, header program.Header, revision uint64) {
	if found, held := p.entries.Load(header.ID); held {
		p.forget(found.(*entry))
	}
	key := program.HeaderKey(header.ID)
	for {
		calls, err := p.Store.Range(ctx, program.CallKey(header.ID, 1), program.CallKey(header.ID, header.NextSequence), collectPageRows)
		if err != nil {
			return
		}
		last := len(calls) < collectPageRows
		writes := []tablestore.Write{{Key: key, Value: program.EncodeHeader(header), Delete: last}}
		for _, call := range calls {
			writes = append(writes, tablestore.Write{Key: call.Key, Delete: true})
		}
		receipt, err := p.Store.Commit(ctx, tablestore.Transaction{
			Conditions: []tablestore.Condition{{Key: key, Revision: revision}},
			Writes:     writes,
		})
		if err != nil || last {
			return
		}
		revision = receipt.Revisions[key]
	}
}
