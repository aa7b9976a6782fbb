package platform

import (
	"bytes"
	"context"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// commitResult is the outcome of applying a transaction.
type commitResult struct {
	receipt tablestore.Receipt
	err     error
}

// Commit implements tablestore.Table, subject to the fault switches.
func (p *Platform) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	reply, latency, err := p.admit()
	if err != nil {
		return tablestore.Receipt{}, err
	}
	if reply.applyDelay > 0 {
		time.AfterFunc(latency+reply.applyDelay, func() { p.apply(transaction) })
		return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
	}
	result, answered := p.applyAfter(ctx, latency, transaction)
	if !answered || reply.lost {
		return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
	}
	return result.receipt, result.err
}

// applyAfter applies the transaction after the delay. If the context ends
// first, answered is false but the transaction is still applied.
func (p *Platform) applyAfter(ctx context.Context, delay time.Duration, transaction tablestore.Transaction) (result commitResult, answered bool) {
	if delay == 0 {
		return p.apply(transaction), true
	}
	results := make(chan commitResult, 1)
	time.AfterFunc(delay, func() { results <- p.apply(transaction) })
	select {
	case result = <-results:
		return result, true
	case <-ctx.Done():
		return commitResult{}, false
	}
}

// apply checks the conditions and, if all hold, applies the writes.
func (p *Platform) apply(transaction tablestore.Transaction) commitResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, condition := range transaction.Conditions {
		row := p.row(condition.Key)
		if row.Revision != condition.Revision {
			p.stats.Conflicts++
			return commitResult{err: &tablestore.ConflictError{Index: i, Current: row}}
		}
	}
	p.revision++
	receipt := tablestore.Receipt{Revisions: make(map[string]uint64, len(transaction.Writes))}
	for _, write := range transaction.Writes {
		receipt.Revisions[write.Key] = p.write(write, transaction.WriteID)
	}
	p.stats.Transactions++
	p.stats.Rows += uint64(len(transaction.Writes))
	p.appendHistory(transaction)
	return commitResult{receipt: receipt}
}

// write applies one write and returns the row's revision, 0 after a delete.
// The caller holds p.mu.
func (p *Platform) write(write tablestore.Write, writeID string) uint64 {
	_, exists := p.rows[write.Key]
	if write.Delete {
		if exists {
			delete(p.rows, write.Key)
			p.keys.remove(write.Key)
		}
		return 0
	}
	if !exists {
		p.keys.insert(write.Key)
	}
	p.rows[write.Key] = tablestore.Row{
		Key:      write.Key,
		Value:    bytes.Clone(write.Value),
		Revision: p.revision,
		WriteID:  writeID,
	}
	return p.revision
}

// appendHistory adds a transaction to the history. The caller holds p.mu.
func (p *Platform) appendHistory(transaction tablestore.Transaction) {
	if p.historyLimit == 0 {
		return
	}
	if len(p.history) >= 2*p.historyLimit {
		p.history = append([]Committed(nil), p.history[len(p.history)-p.historyLimit:]...)
	}
	p.history = append(p.history, Committed{Sequence: p.revision, Transaction: transaction})
}

// row returns a row, with revision 0 if it does not exist. The caller holds p.mu.
func (p *Platform) row(key string) tablestore.Row {
	row, exists := p.rows[key]
	if !exists {
		return tablestore.Row{Key: key}
	}
	return row
}

// Get implements tablestore.Table. The caller must not change the row's value.
func (p *Platform) Get(ctx context.Context, key string) (tablestore.Row, error) {
	if err := p.admitRead(ctx); err != nil {
		return tablestore.Row{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	return p.row(key), nil
}

// maxPageBytes limits the values that one range read returns.
const maxPageBytes = 1 << 20

// Range implements tablestore.Table. A limit of 0 or less returns no rows. At least one row is returned, however
// large it is.
func (p *Platform) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	if err := p.admitRead(ctx); err != nil {
		return tablestore.Page{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	page, size := tablestore.Page{Rows: []tablestore.Row{}}, 0
	for key := range p.keys.from(start) {
		if key >= end {
			break
		}
		row := p.rows[key]
		size += len(row.Value)
		if len(page.Rows) >= limit || (size > maxPageBytes && len(page.Rows) > 0) {
			page.More = true
			break
		}
		page.Rows = append(page.Rows, row)
	}
	return page, nil
}
