package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/program"
)

// entry is one program in memory.
//
// Locking: `commit` is a semaphore that serialises everything which changes
// the durable row; it may be held over I/O. `mutex` guards the fields and is
// held for a few instructions only, never over I/O; it may be taken while
// `commit` is held, not the other way round. Where a parent and its child are
// both changed, the parent's `commit` is taken first.
type entry struct {
	id     string
	commit chan struct{}

	mutex    sync.Mutex
	gone     bool // dropped from memory; a new entry takes its place
	owned    bool // header is the durable row at revision, and is ours or closed
	header   program.Header
	revision uint64
	flight   *flight
	lastUsed time.Time
	history  *backend.Prompt // the conversation; nil until it is read from the table
	changed  chan struct{}   // closed and replaced at every change
}

// lock takes the commit semaphore.
func (e *entry) lock(ctx context.Context) error {
	select {
	case e.commit <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *entry) unlock() { <-e.commit }

// snapshot returns the header and whether it is this node's.
func (e *entry) snapshot() (program.Header, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.header, e.owned
}

// isGone says that the entry was dropped from memory meanwhile.
func (e *entry) isGone() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.gone
}

// store installs a durable header.
func (e *entry) store(header program.Header, revision uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.owned = true
	e.header = header
	e.revision = revision
	e.broadcast()
}

// disown makes the next user load the row again.
func (e *entry) disown() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.owned = false
	e.history = nil
	e.broadcast()
}

// broadcast wakes all who wait for a change. The mutex is held.
func (e *entry) broadcast() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// idle says that nothing is under way. The mutex is not held.
func (e *entry) idle() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.flight == nil
}

// recordsItsCall says that a call is under way whose result can still be recorded.
// The commit lock is held.
func (e *entry) recordsItsCall() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.flight != nil && !e.flight.unrecorded.Load()
}

// authorize hides programs of other tenants.
func authorize(header program.Header, tenant string) *api.Error {
	if tenant != "" && header.Tenant != tenant {
		return notFound(header.ID)
	}
	return nil
}

func notFound(string) *api.Error {
	return api.Errorf(api.ProgramNotFound, "no such program")
}
