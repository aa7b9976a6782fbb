package zonefeed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// storeLatency is the latency of the service.
const storeLatency = 4 * time.Millisecond

// store is a table service with one row, "config", whose revision is its value.
type store struct {
	mutex     sync.Mutex
	version   uint64
	forgotten uint64 // history up to this version is truncated
	stale     uint64 // lists are as of this version, if not 0
	changes   int    // calls
	lists     int
	throttled int  // calls of any kind
	padding   int  // bytes appended to the value
	isText    bool // the padding compresses to a tenth, as a configuration does
}

func (s *store) set(change func(*store)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

func (s *store) calls() (changes, lists int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changes, s.lists
}

func configRow(version uint64) tablestore.Change {
	return tablestore.Change{Row: tablestore.Row{Key: "config", Value: fmt.Append(nil, version), Revision: version}}
}

func (s *store) snapshot() ([]tablestore.Change, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lists++
	version := s.version
	if s.stale > 0 {
		version = s.stale
	}
	return []tablestore.Change{s.row(version)}, version
}

// row returns the row as of a version. The mutex is held.
func (s *store) row(version uint64) tablestore.Change {
	row := configRow(version)
	if s.isText {
		row.Value = append(row.Value, repetitive(s.padding)...)
	} else {
		row.Value = append(row.Value, noise(s.padding)...)
	}
	return row
}

// repetitive returns bytes that compress to about a tenth, the same each time.
func repetitive(bytes int) []byte {
	const period, repetitions = 1_000, 10
	random := noise(bytes/repetitions + period)
	content := make([]byte, 0, bytes+period)
	for start := 0; len(content) < bytes; start += period {
		for range repetitions {
			content = append(content, random[start:min(start+period, len(random))]...)
		}
	}
	return content[:bytes]
}

// noise returns incompressible bytes, the same each time.
func noise(bytes int) []byte {
	content := make([]byte, bytes)
	rand.NewChaCha8([32]byte{}).Read(content)
	return content
}

func (s *store) after(version uint64) ([]tablestore.Change, uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case version < s.forgotten:
		return nil, 0, errors.Mark(errors.New("gone"), tablestore.ErrHistoryTruncated)
	case s.version > version:
		return []tablestore.Change{s.row(s.version)}, s.version, nil
	}
	return nil, version, nil
}

// node is one process of the zone, with faults in its connections to the service and to others.
type node struct {
	address string
	store   *store
	fleet   *fleet
	feed    *Feed
	view    *discovery.Follower
	uplink  *bandwidth // for its replies to others; nil: no delay

	mutex             sync.Mutex
	storeUnresponsive bool                            // its calls to the service get no answer
	storeFails        bool                            // its calls to the service fail
	storeThrottles    bool                            // its calls to the service are throttled
	isolated          bool                            // it reaches no other process, and none reaches it
	reachable         []string                        // the only processes that it reaches; nil for all
	dead              bool                            // it refuses connections
	storeDelay        time.Duration                   // additional latency of the service for its calls
	receive           func(ctx context.Context) error // receives the service's answers with rows; nil: at once
	paused            chan struct{}
	stopTicks         context.CancelFunc
	activeVersions    []uint64 // in the order of their activation
	log               []string
}

func (n *node) set(change func(*node)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change(n)
}

// waitWhilePaused blocks while the process is paused.
func (n *node) waitWhilePaused() {
	n.mutex.Lock()
	paused := n.paused
	n.mutex.Unlock()
	if paused != nil {
		<-paused
	}
}

// pause pauses the process: it has no ticks, and handles what arrives only after resume.
func (n *node) pause() {
	n.stopTicks()
	n.set(func(n *node) { n.paused = make(chan struct{}) })
}

func (n *node) resume(ctx context.Context) {
	n.set(func(n *node) { close(n.paused); n.paused = nil })
	n.startTicks(ctx)
}

func (n *node) startTicks(ctx context.Context) {
	ctx, n.stopTicks = context.WithCancel(ctx)
	n.fleet.loops.Go(func() { n.feed.Run(ctx) })
}

// call makes a call to the service.
func (n *node) call(ctx context.Context) error {
	n.mutex.Lock()
	unresponsive, fails, throttles, delay := n.storeUnresponsive, n.storeFails, n.storeThrottles, n.storeDelay
	n.mutex.Unlock()
	if !backoff.Wait(ctx, storeLatency+delay) { // virtual time
		return errors.Mark(ctx.Err(), tablestore.ErrUnknownOutcome)
	}
	switch {
	case unresponsive:
		<-ctx.Done()
		return errors.Mark(ctx.Err(), tablestore.ErrUnknownOutcome)
	case fails:
		return errors.Mark(errors.New("refused"), tablestore.ErrUnavailable)
	case throttles:
		n.store.set(func(s *store) { s.throttled++ })
		return errors.Mark(errors.New("throttled"), tablestore.ErrThrottled)
	}
	return ctx.Err()
}

// Snapshot implements tablestore.Feed.
func (n *node) Snapshot(ctx context.Context, _ string) ([]tablestore.Change, uint64, error) {
	if err := n.call(ctx); err != nil {
		return nil, 0, err
	}
	rows, version := n.store.snapshot()
	n.waitWhilePaused()
	return rows, version, nil
}

// Changes implements tablestore.Feed.
func (n *node) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]tablestore.Change, uint64, error) {
	n.store.set(func(s *store) { s.changes++ })
	end := time.Now().Add(wait)
	for {
		if err := n.call(ctx); err != nil {
			return nil, 0, err
		}
		rows, version, err := n.store.after(after)
		if err != nil || len(rows) > 0 || !time.Now().Before(end) {
			n.waitWhilePaused() // the answer is pending during a pause
			if err == nil && len(rows) > 0 {
				err = n.receiveRows(ctx)
			}
			return rows, version, err
		}
		time.Sleep(5 * time.Millisecond) // virtual time
	}
}

// receiveRows receives an answer with rows as set in receive.
func (n *node) receiveRows(ctx context.Context) error {
	n.mutex.Lock()
	receive := n.receive
	n.mutex.Unlock()
	if receive == nil {
		return nil
	}
	return receive(ctx)
}

// Do implements peerClient: another node of the fleet answers.
func (n *node) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	other := n.fleet.nodes[address]
	n.mutex.Lock()
	isolated := n.isolated || (n.reachable != nil && !slices.Contains(n.reachable, address))
	n.mutex.Unlock()
	other.mutex.Lock()
	isolated, dead := isolated || other.isolated, other.dead
	other.mutex.Unlock()
	if dead {
		return nil, errors.Mark(errors.New("connection refused"), wire.ErrNotSent)
	}
	if isolated {
		<-ctx.Done()
		return nil, errors.Mark(errors.Mark(ctx.Err(), wire.ErrLinkBroken), ctx.Err())
	}
	replies := make(chan *wirepb.Reply, 1)
	keepAlives := make(chan struct{}, 16)
	n.fleet.loops.Go(func() {
		other.waitWhilePaused()
		reply := other.feed.Answer(ctx, request.GetFollowTable(), func() {
			other.waitWhilePaused()
			if !other.isIsolated() && !n.isIsolated() {
				keepAlives <- struct{}{}
			}
		})
		other.waitWhilePaused()
		if other.uplink != nil && other.uplink.carry(ctx, len(reply.GetBody()), func() { progress.Report(ctx) }) != nil {
			return
		}
		if !other.isIsolated() && !n.isIsolated() {
			replies <- reply
		}
	})
	for {
		select {
		case <-keepAlives:
			onPart(0, nil)
		case reply := <-replies:
			return reply, nil
		case <-ctx.Done():
			return nil, errors.Mark(errors.Mark(ctx.Err(), wire.ErrLinkBroken), ctx.Err())
		}
	}
}

func (n *node) isIsolated() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.isolated
}

// List implements discovery.Source.
func (n *node) List(ctx context.Context, _ discovery.Collection) ([]discovery.Record, uint64, error) {
	rows, version, err := n.feed.Snapshot(ctx, "table")
	return records(rows), version, err
}

// source returns the node's feed as records.
type source struct{ *node }

// Changes implements discovery.Source.
func (s source) Changes(ctx context.Context, _ discovery.Collection, after uint64, wait time.Duration) ([]discovery.Record, uint64, error) {
	rows, version, err := s.feed.Changes(ctx, "table", after, wait)
	if errors.Is(err, tablestore.ErrHistoryTruncated) {
		err = errors.Mark(err, discovery.ErrHistoryGone)
	}
	if errors.Is(err, tablestore.ErrUnconfirmed) {
		err = errors.Mark(err, discovery.ErrUnconfirmed)
	}
	return records(rows), version, err
}

func records(rows []tablestore.Change) []discovery.Record {
	var read []discovery.Record
	for _, row := range rows {
		read = append(read, discovery.Record{Key: row.Key, Version: row.Revision,
			Configuration: &routing.Configuration{Version: int64(row.Revision)}})
	}
	return read
}

// ViewChanged implements discovery.Observer.
func (n *node) ViewChanged(_ discovery.Collection, view *discovery.View) {
	version := uint64(view.Table.Configuration.Version)
	n.set(func(n *node) { n.activeVersions = append(n.activeVersions, version) })
}

// RecordUnreadable implements discovery.Observer.
func (n *node) RecordUnreadable(discovery.Collection, string, uint64, error) {}

// SourceLost implements discovery.Observer.
func (n *node) SourceLost(discovery.Collection, error) {}

// SourceRegained implements discovery.Observer.
func (n *node) SourceRegained(discovery.Collection, time.Duration) {}

// WatchRoleChanged implements Observer.
func (n *node) WatchRoleChanged(now, before Assignment, held time.Duration, cause error) {
	line := fmt.Sprintf("%s -> %s %s after %s: %v", before.Role, now.Role, now.Watcher, held, cause)
	n.log = append(n.log, line) // under the feed's mutex
}

// InvalidWatchReply implements Observer.
func (n *node) InvalidWatchReply(watcher string, fault error) {}

// activeVersion returns the version of the configuration that the process uses.
func (n *node) activeVersion() uint64 {
	if table := n.view.View().Table; table != nil {
		return uint64(table.Configuration.Version)
	}
	return 0
}

// addressOf returns the address of a process of a fleet.
func addressOf(i int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+i) }

// fleet consists of the processes of one zone.
type fleet struct {
	t     *testing.T
	ctx   context.Context
	store *store
	nodes map[string]*node
	loops sync.WaitGroup
}

// runFleet runs a test in virtual time with size processes that know each other.
func runFleet(t *testing.T, size int, test func(f *fleet)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{t: t, ctx: ctx, store: &store{version: 10}, nodes: make(map[string]*node)}
		var addresses []string
		for i := range size {
			n := &node{address: addressOf(i), store: f.store, fleet: f}
			n.feed = NewFeed(Options{Feed: n, Node: n.address, RunID: uint64(i + 1), Observer: n})
			n.view = discovery.New(discovery.Options{Source: source{n}, Observer: n})
			f.nodes[n.address] = n
			addresses = append(addresses, n.address)
		}
		for _, n := range f.nodes {
			n.startTicks(ctx)
			f.loops.Go(func() { n.view.Run(ctx, discovery.Configurations) })
		}
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			n.feed.SetPeers(n, n.address, addresses)
		}
		time.Sleep(4 * time.Second)
		test(f)
		cancel()
		for _, n := range f.nodes {
			n.mutex.Lock()
			if n.paused != nil {
				close(n.paused)
			}
			n.mutex.Unlock()
		}
		f.loops.Wait()
	})
}

// setAll changes all processes.
func (f *fleet) setAll(change func(*node)) {
	for _, n := range f.nodes {
		n.set(change)
	}
}

// watcher returns the process that the others follow.
func (f *fleet) watcher() *node {
	f.t.Helper()
	var found *node
	for _, n := range f.nodes {
		if n.feed.Stats().Assignment.Role == Watcher {
			if found != nil {
				f.t.Fatalf("%s and %s watch for the zone", found.address, n.address)
			}
			found = n
		}
	}
	if found == nil {
		f.t.Fatal("no process watches for the zone")
	}
	return found
}

// change updates the row and returns its version.
func (f *fleet) change() uint64 {
	f.store.mutex.Lock()
	defer f.store.mutex.Unlock()
	f.store.version++
	return f.store.version
}

// expect fails the test unless all processes, except one if given, use a version within a time.
func (f *fleet) expect(version uint64, within time.Duration, except ...*node) {
	f.t.Helper()
	begun := time.Now()
	for _, n := range f.nodes {
		if len(except) > 0 && n == except[0] {
			continue
		}
		for n.activeVersion() < version && time.Since(begun) < within {
			time.Sleep(10 * time.Millisecond) // virtual time
		}
		if got := n.activeVersion(); got < version {
			f.t.Errorf("%s uses version %d after %s, want %d; %v", n.address, got, within, version, n.log)
		}
	}
	f.expectNoRollback()
}

// expectNoRollback fails the test if a process went back to an older version.
func (f *fleet) expectNoRollback() {
	f.t.Helper()
	for _, n := range f.nodes {
		n.mutex.Lock()
		for i := 1; i < len(n.activeVersions); i++ {
			if n.activeVersions[i] < n.activeVersions[i-1] {
				f.t.Errorf("%s went back from version %d to %d", n.address, n.activeVersions[i-1], n.activeVersions[i])
			}
		}
		n.mutex.Unlock()
	}
}
