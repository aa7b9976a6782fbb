package ownership

import (
	"context"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/program"
)

// idleRetention is how long an idle program stays in memory. Its row stays in the
// table, where the next call finds it.
const idleRetention = 5 * time.Minute

// scanPageRows is the number of headers that one range read of a scan returns.
const scanPageRows = 200

// maxHistoryBytes bounds the conversations kept in memory. The table and the
// object store hold them all; a dropped one is read again at its next call.
const maxHistoryBytes = 256 << 20

// Sweep releases programs that have not been used for idleRetention. If the
// conversations in memory exceed maxHistoryBytes, it drops the least recently
// used ones.
func (p *Programs) Sweep(ctx context.Context, now time.Time) {
	var unused, kept []*entry
	var bytes int64
	p.entries.Range(func(_, value any) bool {
		e := value.(*entry)
		if e.unusedSince(now.Add(-idleRetention)) {
			unused = append(unused, e)
		} else if size := e.historyBytes(); size > 0 {
			kept = append(kept, e)
			bytes += size
		}
		return true
	})
	dropHistories(kept, bytes)
	p.release(ctx, unused, "nobody used it for a while")
}

// dropHistories drops idle conversations, least recently used first, until the
// remaining bytes are within maxHistoryBytes.
func dropHistories(kept []*entry, bytes int64) {
	if bytes <= maxHistoryBytes {
		return
	}
	slices.SortFunc(kept, func(a, b *entry) int { return a.usedAt().Compare(b.usedAt()) })
	for _, e := range kept {
		if bytes <= maxHistoryBytes {
			return
		}
		bytes -= e.dropHistory()
	}
}

func (e *entry) historyBytes() int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.history.MemoryBytes()
}

func (e *entry) usedAt() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastUsed
}

// dropHistory drops the conversation and returns the bytes freed: 0 while a call is in flight.
func (e *entry) dropHistory() int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.flight != nil || e.history == nil {
		return 0
	}
	freed := e.history.MemoryBytes()
	e.history = nil
	return freed
}

func (e *entry) unusedSince(limit time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.flight == nil && e.lastUsed.Before(limit)
}

func (e *entry) touch() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lastUsed = time.Now()
}

// EndExpired ends the idle programs in memory that have exceeded their wall-time limit.
func (p *Programs) EndExpired(ctx context.Context, now time.Time) {
	p.entries.Range(func(_, value any) bool {
		e := value.(*entry)
		header, owned := e.snapshot()
		if owned && e.idle() && isExpired(header, now) {
			p.endExpired(ctx, header.ID)
		}
		return ctx.Err() == nil
	})
}

func isExpired(header program.Header, now time.Time) bool {
	return header.Status == api.ProgramOpen && !header.ExpiresAt.IsZero() && now.After(header.ExpiresAt)
}

func (p *Programs) endExpired(ctx context.Context, id string) {
	if _, err := p.End(ctx, "", id, api.WallTimeLimit); err != nil {
		p.Logger.Info("expired program is not ended yet", "program", id, "error", err.Error())
	}
}

// MaintainPartition scans the programs of one partition. It ends those that have
// exceeded their wall-time limit, whether or not clients call them, repeats
// releases of engine memory that a former owner did not finish, and deletes the
// rows of programs that ended longer ago than the retention period.
func (p *Programs) MaintainPartition(ctx context.Context, cell string, partition int) error {
	start, end := program.HeaderRange(cell, partition)
	for {
		page, err := p.Store.Range(ctx, start, end, scanPageRows)
		if err != nil {
			return p.storeError(err)
		}
		for _, row := range page.Rows {
			header, err := program.DecodeHeader(row.Value)
			if err != nil {
				p.Logger.Error("program row cannot be read", "key", row.Key, "error", err.Error())
				continue
			}
			p.maintain(ctx, header, row.Revision)
		}
		next, more := page.Next()
		if !more {
			return nil
		}
		start = next
	}
}

func (p *Programs) maintain(ctx context.Context, header program.Header, revision uint64) {
	now := time.Now()
	switch {
	case p.isCollectable(header, now):
		p.collect(ctx, header, revision)
	case header.Status == api.ProgramClosed && len(header.Holds) > 0:
		if e, err := p.acquire(ctx, header.ID); err == nil {
			p.releaseHolds(e)
		}
	case isExpired(header, now):
		p.endExpired(ctx, header.ID)
	}
}

// IsOpen reports whether a program is open, so that engines may hold memory for
// it. An error means that this is unknown at present.
func (p *Programs) IsOpen(ctx context.Context, id string) (bool, error) {
	if value, ok := p.entries.Load(id); ok {
		if header, owned := value.(*entry).snapshot(); owned {
			return header.Status == api.ProgramOpen, nil
		}
	}
	row, err := p.Store.Get(ctx, program.HeaderKey(id))
	if err != nil {
		return false, p.storeError(err)
	}
	if row.Revision == 0 {
		return false, nil
	}
	header, err := program.DecodeHeader(row.Value)
	if err != nil {
		return false, err
	}
	return header.Status == api.ProgramOpen, nil
}
