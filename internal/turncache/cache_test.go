package turncache

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// fakeTable stores the transactions that a ledger commits.
type fakeTable struct {
	tablestore.Table
	committed []tablestore.Transaction
}

func (f *fakeTable) Commit(_ context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	f.committed = append(f.committed, transaction)
	receipt := tablestore.Receipt{Revisions: make(map[string]uint64)}
	for _, write := range transaction.Writes {
		receipt.Revisions[write.Key] = uint64(len(f.committed))
	}
	return receipt, nil
}

// recordTurn records a turn with a ledger, and returns the transaction.
func recordTurn(t *testing.T, program string, turn *ledger.Turn) tablestore.Transaction {
	t.Helper()
	table := &fakeTable{}
	l := ledger.New(ledger.Options{Table: table, RunID: "run"})
	run, problem := l.Begin(t.Context(), ledger.TurnRequest{Program: program})
	if problem != nil {
		t.Fatal(problem)
	}
	if err := run.Settle(t.Context(), 1, turn); err != nil {
		t.Fatal(err)
	}
	return table.committed[0]
}

func newTurn(id, parent string, size int) *ledger.Turn {
	return &ledger.Turn{ID: id, Parent: parent, Input: make([]byte, size), Output: []byte("said by " + id)}
}

// peer is a peerClient that passes requests to a Cache.
type peer struct{ cache *Cache }

func (p peer) Do(_ context.Context, _ string, request *wirepb.Request, _ func(int64, []byte)) (*wirepb.Reply, error) {
	return p.cache.ServeFetch(request.GetFetchTurns()), nil
}

// TestTurnsAreFetchedFromAPeer records three turns, one of which takes several rows, by transactions of a
// ledger, and fetches them at another node.
func TestTurnsAreFetchedFromAPeer(t *testing.T) {
	writer := NewCache()
	for i, size := range []int{10, 200_000, 10} {
		writer.AddCommitted(recordTurn(t, "tenant.p", newTurn(fmt.Sprintf("t%d", i), []string{"", "t0", "t1"}[i], size)))
	}
	client := NewClient(Options{Cache: NewCache(), Writers: func(string) []string { return []string{"writer"} }})
	client.Enable(peer{writer})
	chain := client.TurnsUpTo(t.Context(), "tenant.other", "t2")
	if len(chain) != 3 || chain[1].ID != "t1" || len(chain[1].Input) != 200_000 || string(chain[2].Output) != "said by t0" {
		t.Fatalf("fetched %d turns, want three with their content", len(chain))
	}
	if foreign := client.TurnsUpTo(t.Context(), "another.p", "t2"); len(foreign) != 0 {
		t.Errorf("a program of another tenant fetched %d turns", len(foreign))
	}
}

// oldPeer is a peer of a build that does not name the programs of turns.
type oldPeer struct{ peer }

func (o oldPeer) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	reply, err := o.peer.Do(ctx, address, request, onPart)
	var fetched wirepb.TurnsFetched
	if err := proto.Unmarshal(reply.GetBody(), &fetched); err != nil {
		return nil, err
	}
	for _, turn := range fetched.GetTurns() {
		turn.Program = ""
	}
	body, _ := proto.Marshal(&fetched) // it was decoded, so it can be encoded
	return &wirepb.Reply{Body: body}, err
}

// TestFetchedTurnsNameTheirProgram checks that a turn that is fetched names the program that recorded it, whichever program
// asks, and that a peer of an earlier build is understood.
func TestFetchedTurnsNameTheirProgram(t *testing.T) {
	writer := NewCache()
	writer.AddCommitted(recordTurn(t, "tenant.p", newTurn("t1", "", 10)))
	writer.AddCommitted(recordTurn(t, "tenant.q", newTurn("u1", "t1", 10)))
	for name, c := range map[string]struct {
		peer          peerClient
		first, second string
	}{"this build": {peer{writer}, "tenant.q", "tenant.p"}, "earlier build": {oldPeer{peer{writer}}, "", ""}} {
		client := NewClient(Options{Cache: NewCache(), Writers: func(string) []string { return []string{"writer"} }})
		client.Enable(c.peer)
		chain := client.TurnsUpTo(t.Context(), "tenant.other", "u1")
		if len(chain) != 2 || chain[0].Program != c.first || chain[1].Program != c.second {
			t.Errorf("%s: fetched %v", name, chain)
		}
	}
}

// TestOldTurnsAreEvicted fills a cache beyond its limit.
func TestOldTurnsAreEvicted(t *testing.T) {
	c := NewCache()
	c.limit = 1000
	for i := range 50 {
		c.AddCommitted(recordTurn(t, "p", newTurn(fmt.Sprintf("t%d", i), "", 100)))
	}
	if turns, _ := c.Size(); turns > 20 {
		t.Errorf("%d turns of 100 bytes are held in two generations of 1000", turns)
	}
	if len(c.TurnsUpTo("p", "t49")) != 1 || len(c.TurnsUpTo("p", "t0")) != 0 {
		t.Error("want the newest turn in the cache and the oldest one evicted")
	}
}

// TestTurnsOfAnotherConversationAreDropped covers peers that return other turns than those requested.
func TestTurnsOfAnotherConversationAreDropped(t *testing.T) {
	writer := NewCache()
	writer.AddCommitted(recordTurn(t, "p", newTurn("t1", "t0", 10)))
	body := writer.ServeFetch(&wirepb.FetchTurns{Program: "p", Turn: "t1"}).GetBody()
	for name, body := range map[string][]byte{"another turn": body, "no turns": {0xff, 0x01}} {
		if chain, err := decodeChain("t2", body); err == nil {
			t.Errorf("%s: %d turns were accepted", name, len(chain))
		}
	}
}

// peersByAddress is a peerClient that passes requests to one of several caches, by address.
type peersByAddress map[string]*Cache

func (f peersByAddress) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	return peer{f[address]}.Do(ctx, address, request, onPart)
}

// slowPeer is a peer whose reply arrives in chunks, and takes longer in total than fetchTimeout.
type slowPeer struct{ peer }

func (l slowPeer) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	for range 10 {
		select {
		case <-time.After(fetchTimeout / 2): // virtual time
			progress.Report(ctx)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return l.peer.Do(ctx, address, request, onPart)
}

// TestLongReplyIsWaitedForWhileItArrives fetches a turn from a peer over a slow link. The fetch succeeds, and the
// peer does not count as unresponsive, for which it would be skipped as a writer too.
func TestLongReplyIsWaitedForWhileItArrives(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		writer := NewCache()
		writer.AddCommitted(recordTurn(t, "p", newTurn("t0", "", 300_000)))
		client := NewClient(Options{Cache: NewCache(),
			Writers:            func(string) []string { return []string{"writer"} },
			WriterUnresponsive: func(address string, cause error) { t.Errorf("%s counts as unresponsive: %v", address, cause) },
		})
		client.Enable(slowPeer{peer{writer}})
		if chain := client.TurnsUpTo(t.Context(), "p", "t0"); len(chain) != 1 {
			t.Errorf("fetched %d turns, want one", len(chain))
		}
	})
}

// TestStoppingPeerIsPassedOver stops the first writer: the second one returns the turns within the same
// call, and the first is reported, so that it is skipped from then on.
func TestStoppingPeerIsPassedOver(t *testing.T) {
	stopping, other := NewCache(), NewCache()
	for _, cache := range []*Cache{stopping, other} {
		cache.AddCommitted(recordTurn(t, "p", newTurn("t0", "", 10)))
	}
	stopping.StopAccepting()
	var skipped []string
	client := NewClient(Options{Cache: NewCache(),
		Writers:            func(string) []string { return []string{"stopping", "other"} },
		WriterUnresponsive: func(address string, _ error) { skipped = append(skipped, address) },
	})
	client.Enable(peersByAddress{"stopping": stopping, "other": other})
	if chain := client.TurnsUpTo(t.Context(), "p", "t0"); len(chain) != 1 {
		t.Errorf("fetched %d turns, want one", len(chain))
	}
	if fetches, hits := client.FetchCounts(); fetches != 2 || hits != 1 {
		t.Errorf("%d requests, of which %d returned turns, want 2 and 1", fetches, hits)
	}
	if !slices.Equal(skipped, []string{"stopping"}) {
		t.Errorf("skipped are %v, want the stopping one", skipped)
	}
}
