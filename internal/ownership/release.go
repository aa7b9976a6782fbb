package ownership

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/program"
)

// maxConcurrentReleases is how many programs are released at the same time, so
// that their writes share groups.
const maxConcurrentReleases = 128

// ReleaseAll writes the release of every idle program to its row, so that after
// a planned stop the next call of each need not wait for an owner and loses no
// reservation. Programs with a call in flight, and those whose row cannot be
// written, are left as they are. StopClaiming must have been called.
func (p *Programs) ReleaseAll(ctx context.Context) {
	var open []*entry
	p.entries.Range(func(_, value any) bool {
		e := value.(*entry)
		if header, owned := e.snapshot(); owned && header.Status == api.ProgramOpen {
			open = append(open, e)
		}
		return true
	})
	p.release(ctx, open, "this node stops")
}

// release releases those of the programs that are idle.
func (p *Programs) release(ctx context.Context, entries []*entry, reason string) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentReleases)
	for _, e := range entries {
		group.Go(func() error {
			p.releaseEntry(ctx, e, reason)
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
}

// releaseEntry writes the release and drops the program from memory. A program
// that this node does not own, or that has ended, is only dropped.
func (p *Programs) releaseEntry(ctx context.Context, e *entry, reason string) {
	if err := e.lock(ctx); err != nil {
		return
	}
	defer e.unlock()
	if !e.idle() {
		return
	}
	header, owned := e.snapshot()
	if !owned || header.Status != api.ProgramOpen {
		p.forget(e)
		return
	}
	released := program.Release(header)
	err := p.write(ctx, e, released)
	if err != nil && !isConflict(err) {
		p.Logger.Info("program not released", "program", e.id, "error", err.Error())
		return
	}
	p.forget(e)
	if err == nil {
		p.record(released, explain.Decision{Kind: explain.Released, Reason: reason})
	}
}
