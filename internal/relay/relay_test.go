package relay_test

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/relay"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
	"github.com/pewtermill/pewtermill/platform"
)

// ignoringObserver ignores what it is notified of.
type ignoringObserver struct{}

func (ignoringObserver) DirectPathLost(error)         {}
func (ignoringObserver) DirectPathRestored(uint64)    {}
func (ignoringObserver) OutcomeDropped(string, error) {}

// partitionableTable is a table that a test can make unreachable.
type partitionableTable struct {
	tablestore.Table
	partitioned    atomic.Bool
	unknownOutcome atomic.Bool // while partitioned: calls may have been executed
}

func (c *partitionableTable) failure() error {
	if !c.partitioned.Load() {
		return nil
	}
	kind := tablestore.ErrUnavailable
	if c.unknownOutcome.Load() {
		kind = tablestore.ErrUnknownOutcome
	}
	return errors.Mark(errors.Mark(errors.New("partitioned"), kind), tablestore.ErrUnreachable)
}

func (c *partitionableTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	if err := c.failure(); err != nil {
		return tablestore.Receipt{}, err
	}
	return c.Table.Commit(ctx, transaction)
}

func (c *partitionableTable) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	if err := c.failure(); err != nil {
		return tablestore.Page{}, err
	}
	return c.Table.Range(ctx, start, end, limit)
}

// node is one node with its table, its relay server and its directory.
type node struct {
	direct      *partitionableTable
	table       *relay.Table
	relayServer *relay.Server
	server      *wire.Server
	client      *wire.Client
	directory   relay.Directory
}

// start returns a node that has joined the directory.
func start(t *testing.T, store *operators.Store, name string) *node {
	t.Helper()
	storeClient := platform.NewStore(store.Address(), nil)
	direct := &partitionableTable{Table: storeClient}
	table := relay.NewTable(direct, storeClient, name, ignoringObserver{})
	directory := relay.Directory{Table: direct, Node: name, Zones: []string{"zone-a", "zone-b"}}
	secret, err := directory.Secret(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	options := wire.Options{Node: name, ClusterKey: secret}
	relayServer := relay.NewServer(table)
	server, err := wire.Listen("127.0.0.1:0", options, relayServer)
	if err != nil {
		t.Fatal(err)
	}
	directory.Address = server.Address()
	if err := directory.Join(t.Context()); err != nil {
		t.Fatal(err)
	}
	n := &node{direct: direct, table: table, relayServer: relayServer, server: server, client: wire.NewClient(options), directory: directory}
	t.Cleanup(func() {
		n.table.Close()
		n.client.Close()
		n.server.Close()
	})
	return n
}

// setPeers makes the other nodes of the directory known to a node, after some unreachable addresses.
func (n *node) setPeers(t *testing.T, unreachable ...string) {
	t.Helper()
	listing, err := n.directory.Peers(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	addresses := slices.Clone(unreachable)
	for _, peer := range listing.Peers {
		addresses = append(addresses, peer.Address)
	}
	n.table.SetPeers(n.client, addresses)
}

func put(key, value string, revision uint64) tablestore.Transaction {
	return tablestore.Transaction{
		WriteID:    "test",
		Conditions: []tablestore.Condition{{Key: key, Revision: revision}},
		Writes:     []tablestore.Write{{Key: key, Value: []byte(value)}},
	}
}

// newStore returns a store that is closed at the end of the test.
func newStore(t *testing.T) *operators.Store {
	t.Helper()
	store := operators.NewStore()
	t.Cleanup(store.Server.Close)
	return store
}

// TestCallsGoThroughAPeer partitions a node from the table service and lets it write and read through a
// peer, after an unreachable one. Conditions of writes must hold.
func TestCallsGoThroughAPeer(t *testing.T) {
	store := newStore(t)
	a, b := start(t, store, "a"), start(t, store, "b")
	a.setPeers(t, "127.0.0.1:1")
	b.setPeers(t)
	a.direct.partitioned.Store(true)
	receipt, err := a.table.Commit(t.Context(), put("t/p/k", "one", 0))
	if err != nil || receipt.Revisions["t/p/k"] == 0 {
		t.Fatalf("got %+v, %v", receipt, err)
	}
	row, err := a.table.Get(t.Context(), "t/p/k")
	if err != nil || string(row.Value) != "one" || row.Revision != receipt.Revisions["t/p/k"] {
		t.Fatalf("got %+v, %v", row, err)
	}
	var conflict *tablestore.ConflictError
	if _, err := a.table.Commit(t.Context(), put("t/p/k", "two", 0)); !errors.As(err, &conflict) || string(conflict.Current.Value) != "one" {
		t.Fatalf("got %v, want a conflict that shows the row", err)
	}
	if a.table.Relayed() != 3 {
		t.Errorf("%d calls were relayed, want 3", a.table.Relayed())
	}
}

// TestNoWayAtAll checks that a call fails as unreachable, without an effect, if the node's peers
// cannot reach the table service either.
func TestNoWayAtAll(t *testing.T) {
	store := newStore(t)
	a, b := start(t, store, "a"), start(t, store, "b")
	a.setPeers(t)
	a.direct.partitioned.Store(true)
	b.direct.partitioned.Store(true)
	_, err := a.table.Commit(t.Context(), put("t/p/k", "one", 0))
	if !errors.Is(err, tablestore.ErrUnreachable) || !errors.Is(err, tablestore.ErrUnavailable) {
		t.Fatalf("got %v", err)
	}
}

// TestDirectCallOfUnknownOutcomeIsNotRepeated checks that a direct call which may have been executed
// is not repeated without its client's knowledge.
func TestDirectCallOfUnknownOutcomeIsNotRepeated(t *testing.T) {
	store := newStore(t)
	a, _ := start(t, store, "a"), start(t, store, "b")
	a.setPeers(t)
	a.direct.partitioned.Store(true)
	a.direct.unknownOutcome.Store(true)
	_, err := a.table.Commit(t.Context(), put("t/p/k", "one", 0))
	if !errors.Is(err, tablestore.ErrUnknownOutcome) || errors.Is(err, tablestore.ErrUnreachable) {
		t.Fatalf("got %v, want ErrUnknownOutcome and not ErrUnreachable", err)
	}
	if a.table.Relayed() != 0 {
		t.Error("the call was repeated through a peer")
	}
	if _, err := a.table.Commit(t.Context(), put("t/p/k", "one", 0)); err != nil {
		t.Fatalf("the client's own retry: %v", err)
	}
}

// TestDirectPathIsRestored checks that a node returns to its direct path.
func TestDirectPathIsRestored(t *testing.T) {
	store := newStore(t)
	a, _ := start(t, store, "a"), start(t, store, "b")
	a.setPeers(t)
	a.direct.partitioned.Store(true)
	if _, err := a.table.Get(t.Context(), "t/p/k"); err != nil {
		t.Fatal(err)
	}
	a.direct.partitioned.Store(false)
	deadline := time.Now().Add(10 * time.Second)
	for relayed := uint64(0); ; {
		if _, err := a.table.Get(t.Context(), "t/p/k"); err != nil {
			t.Fatal(err)
		}
		if a.table.Relayed() == relayed {
			return
		}
		relayed = a.table.Relayed()
		if time.Now().After(deadline) {
			t.Fatal("calls still go through the peer")
		}
	}
}

// TestSecretIsShared lets several nodes request the secret at once.
func TestSecretIsShared(t *testing.T) {
	store := newStore(t)
	secrets := make(chan string, 8)
	for range cap(secrets) {
		go func() {
			secret, err := relay.Directory{Table: platform.NewStore(store.Address(), nil), Node: "n"}.Secret(t.Context())
			if err != nil {
				secret = []byte(err.Error())
			}
			secrets <- string(secret)
		}()
	}
	first := <-secrets
	for range cap(secrets) - 1 {
		if other := <-secrets; other != first {
			t.Fatalf("two secrets: %q and %q", first, other)
		}
	}
}

// TestCallsForPeersAreBounded lets a node make as many watches for peers as it may. One more is declined at
// once, and a read is still accepted.
func TestCallsForPeersAreBounded(t *testing.T) {
	store := newStore(t)
	storeClient := platform.NewStore(store.Address(), nil)
	table := relay.NewTable(storeClient, storeClient, "a", ignoringObserver{})
	t.Cleanup(table.Close)
	server := relay.NewServer(table)
	_, version, err := storeClient.Snapshot(t.Context(), "servers")
	if err != nil {
		t.Fatal(err)
	}
	watch := &wirepb.Request{Body: &wirepb.Request_WatchTable{
		WatchTable: &wirepb.WatchTable{Table: "servers", After: version, WaitMillis: 60_000},
	}}
	ctx, cancel := context.WithCancel(t.Context())
	var watches sync.WaitGroup
	const maxWatches = 64
	for range maxWatches {
		watches.Go(func() { server.ServePeer(ctx, watch, nil) })
	}
	for server.Served() < maxWatches {
		runtime.Gosched()
	}
	if reply := server.ServePeer(ctx, watch, nil); !strings.Contains(string(reply.GetBody()), `"busy"`) {
		t.Errorf("a watch beyond the limit got %s", reply.GetBody())
	}
	read := &wirepb.Request{Body: &wirepb.Request_RangeTable{RangeTable: &wirepb.RangeTable{Start: "t/p/a", End: "t/p/b", Limit: 1}}}
	if reply := server.ServePeer(ctx, read, nil); strings.Contains(string(reply.GetBody()), "failure") {
		t.Errorf("a read during the watches got %s", reply.GetBody())
	}
	cancel()
	watches.Wait()
	if server.Declined() != 1 {
		t.Errorf("%d calls were declined, want 1", server.Declined())
	}
}

// TestPeerWithoutADirectPathDeclines checks that a node which has lost its direct path makes no call for
// others, and that the next peer is tried.
func TestPeerWithoutADirectPathDeclines(t *testing.T) {
	store := newStore(t)
	a, b, c := start(t, store, "a"), start(t, store, "b"), start(t, store, "c")
	b.direct.partitioned.Store(true)
	if _, err := b.table.Get(t.Context(), "t/p/k"); err == nil || !b.table.DirectPathLost() {
		t.Fatalf("b: got %v; direct path lost: %v", err, b.table.DirectPathLost())
	}
	a.table.SetPeers(a.client, []string{b.server.Address(), c.server.Address()})
	a.direct.partitioned.Store(true)
	if _, err := a.table.Get(t.Context(), "t/p/k"); err != nil {
		t.Fatalf("call after a peer without a direct path: %v", err)
	}
}

// TestStoppingPeerDeclines stops the peer that is tried first. It must not make the call, and the next peer
// makes it within the same request, although the call may be executed only once.
func TestStoppingPeerDeclines(t *testing.T) {
	store := newStore(t)
	a, b, c := start(t, store, "a"), start(t, store, "b"), start(t, store, "c")
	a.table.SetPeers(a.client, []string{b.server.Address(), c.server.Address()})
	a.direct.partitioned.Store(true)
	b.relayServer.StopAccepting()
	if _, err := a.table.Commit(t.Context(), put("t/p/k", "one", 0)); err != nil {
		t.Fatalf("call after a stopping peer: %v", err)
	}
	if _, err := a.table.Get(t.Context(), "t/p/k"); err != nil {
		t.Fatal(err)
	}
	if b.relayServer.Served() != 0 || b.relayServer.Declined() != 1 || c.relayServer.Served() != 2 {
		t.Errorf("the stopping peer made %d calls and declined %d, want 0 and 1; the next peer made %d, want 2",
			b.relayServer.Served(), b.relayServer.Declined(), c.relayServer.Served())
	}
}
