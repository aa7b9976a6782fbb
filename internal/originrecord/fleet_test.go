package originrecord

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// table is a table in virtual time.
type table struct {
	mutex    sync.Mutex
	rows     map[string]tablestore.Row
	revision uint64
	commits  int
	reads    int
	failure  error         // returned by all calls, unless nil
	applies  bool          // commits take effect although they fail
	latency  time.Duration // of every call
}

func newTable() *table {
	return &table{rows: make(map[string]tablestore.Row), latency: 4 * time.Millisecond}
}

// set changes the table's state.
func (s *table) set(change func(*table)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

// counts returns the number of calls.
func (s *table) counts() (commits, reads int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.commits, s.reads
}

// keys returns the keys of all rows.
func (s *table) keys() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.rows {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// wait waits for a response.
func (s *table) wait(ctx context.Context) error {
	s.mutex.Lock()
	latency := s.latency
	s.mutex.Unlock()
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return tablestore.ErrUnknownOutcome
	}
}

// Commit implements tablestore.Table.
func (s *table) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	err := s.wait(ctx)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.commits++
	switch {
	case err != nil:
		return tablestore.Receipt{}, err
	case s.failure != nil && !s.applies:
		return tablestore.Receipt{}, s.failure
	}
	for number, condition := range transaction.Conditions {
		if current := s.rows[condition.Key]; current.Revision != condition.Revision {
			return tablestore.Receipt{}, &tablestore.ConflictError{Index: number, Current: current}
		}
	}
	s.revision++
	receipt := tablestore.Receipt{Revisions: make(map[string]uint64)}
	for _, write := range transaction.Writes {
		delete(s.rows, write.Key)
		if !write.Delete {
			s.rows[write.Key] = tablestore.Row{Key: write.Key, Value: write.Value, Revision: s.revision}
			receipt.Revisions[write.Key] = s.revision
		}
	}
	return receipt, s.failure
}

// Get implements tablestore.Table.
func (s *table) Get(ctx context.Context, key string) (tablestore.Row, error) {
	page, err := s.Range(ctx, key, key+"\x00", 1)
	return page.RowAt(key), err
}

// Range implements tablestore.Table. A page holds one row.
func (s *table) Range(ctx context.Context, start, end string, _ int) (tablestore.Page, error) {
	err := s.wait(ctx)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	switch {
	case err != nil:
		return tablestore.Page{}, err
	case s.failure != nil:
		return tablestore.Page{}, s.failure
	}
	var rows []tablestore.Row
	for key, row := range s.rows {
		if start <= key && key < end {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return strings.Compare(a.Key, b.Key) })
	return tablestore.Page{Rows: rows[:min(1, len(rows))], More: len(rows) > 1}, nil
}

// process is a process that begins streams.
type process struct {
	t      *testing.T
	memory *origins.Memory
	client *origins.Client
	keeper *Keeper
	stop   context.CancelFunc
	ended  chan struct{}
	began  int

	mutex     sync.Mutex
	several   bool
	processes int
	failures  int
}

// startProcess starts a process that lists several versions.
func startProcess(t *testing.T, run string, in *table) *process {
	p := &process{t: t, memory: origins.NewMemory(), several: true, processes: 1, ended: make(chan struct{})}
	p.keeper = New(Options{
		Table:      in,
		RunID:      run,
		Begun:      func() []origins.Origin { return p.memory.Begun(time.Now()) },
		Several:    func(service string) bool { return service == "models" && p.hasSeveral() },
		AnySeveral: p.hasSeveral,
		Processes:  p.processCount,
		Sweeps:     func() bool { return true },
		Observer:   p,
	})
	p.client = origins.NewClient(origins.Options{Node: run, Memory: p.memory, Record: p.keeper,
		Versions:        func(string) []string { return p.listedVersions() },
		KnownFor:        func(string) time.Duration { return time.Hour },
		HasUnreadChange: func(context.Context, string, string) (bool, error) { return false, nil }})
	var ctx context.Context
	ctx, p.stop = context.WithCancel(t.Context())
	go func() {
		defer close(p.ended)
		p.keeper.Run(ctx)
	}()
	return p
}

// kill ends the process and waits for its loop.
func (p *process) kill() {
	p.stop()
	<-p.ended
}

func (p *process) hasSeveral() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.several
}

// listedVersions returns the versions of the service that the process lists.
func (p *process) listedVersions() []string {
	if p.hasSeveral() {
		return []string{"v1", "v2"}
	}
	return []string{"v1"}
}

func (p *process) processCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.processes
}

// set changes what the process lists.
func (p *process) set(several bool, processes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.several, p.processes = several, processes
}

// OriginRecordFailed implements Observer.
func (p *process) OriginRecordFailed(error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failures++
}

// failureCount returns how many calls failed.
func (p *process) failureCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.failures
}

// send sends a stream to an engine for the first time, or once more.
func (p *process) send(stream, version string, attempt int) origins.Origin {
	origin := origins.Origin{Stream: stream, Service: "models", Version: version, Engine: "engine-" + version, EngineStart: 7,
		SentAt: time.Now(), ExpiresAt: time.Now().Add(streamTime), Attempt: attempt}
	p.client.Begin(origin, origins.BeginOptions{})
	return origin
}

// begin begins streams of which clients have events, and returns their names.
func (p *process) begin(version string, count int) []string {
	names := make([]string, 0, count)
	for range count {
		p.began++
		name := fmt.Sprintf("%p-%d", p, p.began)
		p.client.Began(p.send(name, version, 1))
		names = append(names, name)
	}
	return names
}

// streamTime is how long clients may resume these streams.
const streamTime = 6 * time.Second

// origin returns the version of a stream by the store; empty if it is unknown there.
func (p *process) origin(stream string) string {
	p.t.Helper()
	origin, found, err := p.keeper.Find(p.t.Context(), stream)
	if err != nil || !found {
		return ""
	}
	return origin.Version
}
