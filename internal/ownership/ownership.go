// Package ownership runs the programs that one node owns: it loads and
// claims them, drives their state machines, makes every step durable before
// acting on it, and releases ownership to other nodes.
//
// The fence of a program is the revision of its header row. Every write names
// the revision that this node read last, so a node that was paused, partitioned
// or replaced cannot record anything after another node has claimed the program.
package ownership

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/program"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Peers provides what this package needs from other nodes.
type Peers interface {
	// Alive reports whether that incarnation of the node may still be serving.
	Alive(node string, incarnation uint64) bool
	// RequestRelease requests that a program's owner release it. Epoch is that of
	// the row as the requester read it.
	RequestRelease(ctx context.Context, node, program string, epoch uint64) (Handover, error)
}

// Handover is a node's response to a request to release a program.
type Handover int

// Responses to a release request.
const (
	// HandoverRefused: a call is in flight there, or the requester's row is out of date.
	HandoverRefused Handover = iota
	// HandoverReleased: the node was the owner in that epoch and has dropped the
	// program. Nothing has run under the reservation for the next call.
	HandoverReleased
	// HandoverUnknown: the node does not hold the program in that epoch, for example
	// after a restart, so it does not know what has run there.
	HandoverUnknown
)

// Dependencies are the components that a Programs uses. All are required.
type Dependencies struct {
	Node        string
	Incarnation uint64 // of this node's process; higher than that of any earlier process
	Store       tablestore.Store
	Executor    Executor
	Peers       Peers
	InForce     func() *bundle.Snapshot
	Recorder    explain.Recorder
	Meter       Meter
	Logger      *slog.Logger
}

// Programs holds the programs that this node owns. Safe for concurrent use.
type Programs struct {
	Dependencies
	entries         sync.Map // program id -> *entry
	handovers       handovers
	count           atomic.Int64
	flights         sync.WaitGroup
	inFlight        atomic.Int64
	claimingStopped atomic.Bool
	closing         context.Context
	close           context.CancelFunc
}

// New returns an empty Programs.
func New(dependencies Dependencies) *Programs {
	closing, cancel := context.WithCancel(context.Background())
	return &Programs{Dependencies: dependencies, closing: closing, close: cancel}
}

// MovedError reports that another node owns the program and has a call of it in flight.
type MovedError struct{ Owner string }

// Error implements error.
func (e *MovedError) Error() string { return "program is owned by " + e.Owner }

// StopClaiming ends claiming: programs that this node does not own yet stay with other nodes.
func (p *Programs) StopClaiming() { p.claimingStopped.Store(true) }

// Count returns the number of programs in memory.
func (p *Programs) Count() int { return int(p.count.Load()) }

// InFlight returns the number of calls in flight.
func (p *Programs) InFlight() int { return int(p.inFlight.Load()) }

// WaitIdle returns nil once no call is in flight, or the context's error.
func (p *Programs) WaitIdle(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		p.flights.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close cancels all calls in flight. In a planned stop WaitIdle is called first.
func (p *Programs) Close() { p.close() }

// entry returns the program's entry in memory and creates an empty one if there is none.
func (p *Programs) entry(id string) *entry {
	if value, ok := p.entries.Load(id); ok {
		return value.(*entry)
	}
	created := &entry{id: id, lastUsed: time.Now(), commit: make(chan struct{}, 1), changed: make(chan struct{})}
	value, loaded := p.entries.LoadOrStore(id, created)
	if !loaded {
		p.count.Add(1)
	}
	return value.(*entry)
}

// forget drops the program from memory; its row stays in the table.
func (p *Programs) forget(e *entry) {
	e.mutex.Lock()
	e.evicted = true
	e.owned = false
	e.broadcast()
	e.mutex.Unlock()
	if p.entries.CompareAndDelete(e.id, e) {
		p.count.Add(-1)
	}
}

// List returns the programs that this node owns, or only those of one tenant if tenant is not empty.
func (p *Programs) List(tenant string) []api.Program {
	var programs []api.Program
	p.entries.Range(func(_, value any) bool {
		e := value.(*entry)
		header, owned := e.snapshot()
		if owned && (tenant == "" || header.Tenant == tenant) {
			programs = append(programs, View(header))
		}
		return true
	})
	return programs
}

// View returns the header as callers see it.
func View(header program.Header) api.Program {
	return api.Program{
		ID:           header.ID,
		Tenant:       header.Tenant,
		Class:        header.Class,
		Parent:       header.Parent,
		Status:       header.Status,
		Budget:       header.Budget,
		Spent:        header.Spent,
		Reserved:     header.Reserved,
		NextSequence: header.NextSequence,
		Calls:        header.Calls,
		Tokens:       header.Tokens,
		Epoch:        header.Epoch,
		Owner:        header.Owner,
		CreatedAt:    header.CreatedAt,
		Children:     header.Children,
	}
}

// record records a decision about a program.
func (p *Programs) record(header program.Header, decision explain.Decision) {
	decision.At = time.Now()
	decision.Program = header.ID
	decision.Tenant = header.Tenant
	decision.Epoch = header.Epoch
	if snapshot := p.InForce(); snapshot != nil {
		decision.BundleVersion = snapshot.Version()
	}
	p.Recorder.Record(decision)
}
