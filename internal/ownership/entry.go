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
// Locking: `commit` is a semaphore that serialises every change of the durable
// row; it may be held over I/O. `mutex` guards the fields and is held for a few
// instructions only, never over I/O; it may be taken while `commit` is held, not
// the other way round. If a parent and its child both change, the parent's
// `commit` is taken first.
type entry struct {
	id     string
	commit chan struct{}

	mutex    sync.Mutex
	evicted  bool // dropped from memory; a new entry takes its place
	owned    bool // header is the durable row at revision, and is owned by this node or closed
	header   program.Header
	revision uint64
	flight   *flight
	lastUsed time.Time
	history  *backend.Prompt // the conversation; nil until it has been read from the table
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

// snapshot returns the header and whether this node owns it or it is closed.
func (e *entry) snapshot() (program.Header, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.header, e.owned
}

// isEvicted reports whether the entry was dropped from memory.
func (e *entry) isEvicted() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.evicted
}

// store installs a durable header and its revision.
func (e *entry) store(header program.Header, revision uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.owned = true
	e.header = header
	e.revision = revision
	e.broadcast()
}

// disown makes the next request load the row again.
func (e *entry) disown() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.owned = false
	e.history = nil
	e.broadcast()
}

// broadcast wakes all waiters for a change. The caller holds the mutex.
func (e *entry) broadcast() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// idle reports whether no call is in flight. The caller must not hold the mutex.
func (e *entry) idle() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.flight == nil
}

// willRecordCall reports whether a call is in flight whose result can still be recorded.
// The caller holds the commit lock.
func (e *entry) willRecordCall() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.flight != nil && !e.flight.unrecorded.Load()
}

// authorize returns an error for programs of other tenants, as if they did not exist.
func authorize(header program.Header, tenant string) *api.Error {
	if tenant != "" && header.Tenant != tenant {
		return notFound(header.ID)
	}
	return nil
}

func notFound(string) *api.Error {
	return api.Errorf(api.ProgramNotFound, "no such program")
}
