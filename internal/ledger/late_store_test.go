package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/commitgroup"
	"github.com/pewtermill/pewtermill/internal/conversations"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/relay"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// lateStore is a table service whose answers pass through one queue, as on a busy link between two regions. It
// executes each call after 4 ms and loses nothing; the answers leave the queue in the order in which they entered.
type lateStore struct {
	start time.Time
	late  func(sinceStart time.Duration) time.Duration // of an answer, in the queue

	mutex    sync.Mutex
	rows     map[string]tablestore.Row
	version  uint64
	leavesAt time.Time                  // when the last answer in the queue leaves it
	sent     map[string][]time.Duration // when each turn was sent
	calls    int
}

// answer blocks until the answer to a call that has been executed has passed the queue.
func (s *lateStore) answer(ctx context.Context) error {
	s.mutex.Lock()
	now := time.Now()
	s.calls++
	leaves := now.Add(s.late(now.Sub(s.start)))
	if leaves.Before(s.leavesAt) {
		leaves = s.leavesAt
	}
	s.leavesAt = leaves
	s.mutex.Unlock()
	return sleep(ctx, time.Until(leaves))
}

// turnOf returns the turn whose first rows a key belongs to; empty for other keys.
func turnOf(key string) string {
	if name, first := strings.CutSuffix(key, ".00"); first && strings.HasPrefix(key, "program-turns/") {
		return name[strings.LastIndexByte(name, '/')+1:]
	}
	return ""
}

func (s *lateStore) execute(transaction tablestore.Transaction) (tablestore.Receipt, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, write := range transaction.Writes {
		if turn := turnOf(write.Key); turn != "" {
			s.sent[turn] = append(s.sent[turn], time.Since(s.start))
		}
	}
	conflict := &tablestore.ConflictError{Index: -1}
	for i, condition := range transaction.Conditions {
		row := s.rows[condition.Key]
		row.Key = condition.Key
		if row.Revision != condition.Revision && conflict.Index < 0 {
			conflict.Index, conflict.Current = i, row
		}
		if row.Revision != 0 {
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if conflict.Index >= 0 {
		return tablestore.Receipt{}, conflict
	}
	s.version++
	receipt := tablestore.Receipt{Revisions: make(map[string]uint64)}
	for _, write := range transaction.Writes {
		s.rows[write.Key] = tablestore.Row{Key: write.Key, Value: write.Value, Revision: s.version}
		receipt.Revisions[write.Key] = s.version
	}
	return receipt, nil
}

// Commit implements tablestore.Table.
func (s *lateStore) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	time.Sleep(4 * time.Millisecond)
	receipt, err := s.execute(transaction)
	if cause := s.answer(ctx); cause != nil {
		return tablestore.Receipt{}, errors.Mark(cause, tablestore.ErrUnknownOutcome)
	}
	return receipt, err
}

// Get implements tablestore.Table.
func (s *lateStore) Get(ctx context.Context, key string) (tablestore.Row, error) {
	page, err := s.Range(ctx, key, key+"\x00", 1)
	return page.RowAt(key), err
}

// Range implements tablestore.Table; it returns a single row only, as no program here is continued elsewhere.
func (s *lateStore) Range(ctx context.Context, start, _ string, _ int) (tablestore.Page, error) {
	time.Sleep(4 * time.Millisecond)
	s.mutex.Lock()
	row := s.rows[start]
	s.mutex.Unlock()
	if err := s.answer(ctx); err != nil {
		return tablestore.Page{}, errors.Mark(err, tablestore.ErrUnavailable)
	}
	if row.Revision == 0 {
		return tablestore.Page{}, nil
	}
	return tablestore.Page{Rows: []tablestore.Row{row}}, nil
}

// Snapshot implements tablestore.Feed.
func (s *lateStore) Snapshot(context.Context, string) ([]tablestore.Change, uint64, error) {
	return nil, 0, tablestore.ErrUnavailable
}

// Changes implements tablestore.Feed.
func (s *lateStore) Changes(context.Context, string, uint64, time.Duration) ([]tablestore.Change, uint64, error) {
	return nil, 0, tablestore.ErrUnavailable
}

// zoneNode is the way of one process to the store: its ledger, over the writers of its zone, over the relay.
type zoneNode struct {
	relay   *relay.Table
	server  *relay.Server
	commits *commitgroup.Table
	ledger  *ledger.Ledger
	events  *zoneEvents
}

// zoneEvents counts what the nodes of a zone report.
type zoneEvents struct {
	mutex sync.Mutex
	lines []string
	start time.Time
}

func (z *zoneEvents) add(format string, arguments ...any) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	z.lines = append(z.lines, fmt.Sprintf("%.3f s: ", time.Since(z.start).Seconds())+fmt.Sprintf(format, arguments...))
}

func (z *zoneEvents) DirectPathLost(cause error) { z.add("direct path lost: %v", cause) }
func (z *zoneEvents) DirectPathRestored(uint64)  { z.add("direct path restored") }
func (z *zoneEvents) OutcomeDropped(peer string, cause error) {
	z.add("outcome of %s dropped: %v", peer, cause)
}
func (z *zoneEvents) WriterLost(address string, cause error) {
	z.add("writer %s lost: %v", address, cause)
}
func (z *zoneEvents) WriterRegained(address string) { z.add("writer %s regained", address) }
func (z *zoneEvents) WriteRateReduced(rate float64) { z.add("write rate reduced to %.0f/s", rate) }

// zoneLinks delivers requests between the nodes of a zone within 1 ms. It implements the peer clients of relay and
// commitgroup.
type zoneLinks map[string]*zoneNode

// Do implements the peer clients.
func (z zoneLinks) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	time.Sleep(time.Millisecond)
	replies := make(chan *wirepb.Reply, 1)
	go func() {
		node := z[address]
		if grouped := request.GetCommitTable().GetGrouped(); grouped != nil {
			replies <- node.commits.Answer(ctx, request.GetFrom(), grouped, func() { onPart(0, nil) })
			return
		}
		replies <- node.server.ServePeer(ctx, request, onPart)
	}()
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, errors.Mark(context.Cause(ctx), wire.ErrLinkBroken)
	}
}

// grants implements ledger.Owners: another node holds the allowances of the programs whose names begin with g.
type grants struct{ noOwner }

// Reserve implements ledger.Owners.
func (grants) Reserve(_ context.Context, request ledger.TurnRequest) (ledger.Grant, error) {
	if strings.HasPrefix(request.Program, "g") {
		return granted{}, nil
	}
	return nil, ledger.ErrNoOwner
}

// granted implements ledger.Grant.
type granted struct{}

func (granted) Owner() string                        { return "another" }
func (granted) LastLocation() conversations.Location { return conversations.Location{} }
func (granted) Settle(int64, conversations.Location) {}

// newZone returns the nodes of a zone, joined as internal/serving joins them.
func newZone(t *testing.T, store *lateStore, size int) []*zoneNode {
	events := &zoneEvents{start: store.start}
	links := make(zoneLinks)
	var nodes []*zoneNode
	var all []commitgroup.Node
	for i := range size {
		name := fmt.Sprint("node-", i)
		node := &zoneNode{events: events, relay: relay.NewTable(store, store, name, events)}
		t.Cleanup(node.relay.Close)
		node.server = relay.NewServer(node.relay)
		node.commits = commitgroup.NewTable(commitgroup.Options{Table: node.relay, Node: name, AllowMultiPart: true,
			DirectPathLost: node.relay.DirectPathLost, Observer: events})
		node.ledger = ledger.New(ledger.Options{Table: node.commits, RunID: name, BatchDelay: commitgroup.MaxGroupDelay})
		node.ledger.SetOwners(grants{})
		links[name] = node
		nodes = append(nodes, node)
		all = append(all, commitgroup.Node{Address: name, Processors: 4})
	}
	for i, node := range nodes {
		var peers []string
		for step := 1; step < size; step++ {
			peers = append(peers, all[(i+step)%size].Address)
		}
		node.relay.SetPeers(links, peers)
		node.commits.SetPeers(links, all[i].Address, all, nil, nil)
	}
	return nodes
}

// Durations of the runs with a late store, and what their callers wait.
const (
	calmBefore = 3 * time.Second
	lateFor    = 2 * time.Second
	calmAfter  = 3 * time.Second
	turnPause  = 600 * time.Millisecond
	engineTime = 150 * time.Millisecond
	beginWait  = 900 * time.Millisecond  // that a caller waits for its turn to begin
	recordWait = 1880 * time.Millisecond // that a caller still waits once its answer is whole, of 2 s in all
)

// lateRun is what the callers of one run with a late store saw.
type lateRun struct {
	mutex      sync.Mutex
	recorded   int
	refused    int
	unrecorded []string
	longest    time.Duration
}

// runTurns runs turns of one program, one after another, until the run is over.
func (r *lateRun) runTurns(node *zoneNode, start time.Time, program string) {
	for turn := 0; time.Since(start) < calmBefore+lateFor+calmAfter; turn++ {
		r.runTurn(node, start, program, fmt.Sprintf("%s-%d", program, turn))
		time.Sleep(turnPause) // virtual
	}
}

// runTurn runs one turn, as internal/ingress does.
func (r *lateRun) runTurn(node *zoneNode, start time.Time, program, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), beginWait)
	run, problem := node.ledger.Begin(ctx, ledger.TurnRequest{Program: program, Budget: 100_000, MaxTokens: turnTokens,
		InputBytes: 1, Deadline: time.Now().Add(10 * time.Second)})
	cancel()
	if problem != nil {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.refused++
		return
	}
	time.Sleep(engineTime) // virtual
	whole := time.Now()
	ctx, cancel = context.WithTimeout(context.Background(), recordWait)
	defer cancel()
	err := run.Settle(ctx, 40, &ledger.Turn{ID: id, Input: []byte("in"), Output: []byte("out")})
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.longest = max(r.longest, time.Since(whole))
	if err != nil {
		r.unrecorded = append(r.unrecorded, fmt.Sprintf("%s, whole at %.3f s: %v", id, whole.Sub(start).Seconds(), err))
		return
	}
	r.recorded++
}

// These tests guard against complete answers that are cut because their records take longer than their callers wait,
// although the store executes every write at once and only its answers are late, as behind a queue on a link: for two
// seconds all answers of the store, to writes and reads alike, reach the nodes of a zone up to .9 s late, and none is
// lost. A write was given up after .8 s, as were the one made in its place and the next one, each just before its
// answer came, until the callers had left.

// TestWholeAnswerIsRecordedWhileTheStoreIsLate records the turns of up to 64 requests a second in a zone of 8 nodes.
func TestWholeAnswerIsRecordedWhileTheStoreIsLate(t *testing.T) {
	playLateStores(t, []int{1, 8, 48}, checkRecorded)
}

// TestWholeAnswerOfABusyZoneIsRecordedWhileTheStoreIsLate does so with up to 213 requests a second. Some parts of the
// table then get more writes than their writer sends at a time.
func TestWholeAnswerOfABusyZoneIsRecordedWhileTheStoreIsLate(t *testing.T) {
	playLateStores(t, []int{96, 160}, checkRecorded)
}

// TestRecordIsSentOnceWhileTheStoreIsLate guards against records that are sent again though nothing shows them lost,
// to wait in the same queue.
func TestRecordIsSentOnceWhileTheStoreIsLate(t *testing.T) {
	playLateStores(t, []int{1, 8, 48, 96, 160}, func(t *testing.T, store *lateStore, _ *lateRun) {
		for turn, sent := range store.sent {
			if len(sent) > 1 {
				t.Errorf("turn %s was sent again: %v", turn, sent)
			}
		}
	})
}

// checkRecorded fails the test for each complete answer that was not recorded while its caller waited.
func checkRecorded(t *testing.T, _ *lateStore, run *lateRun) {
	for _, line := range run.unrecorded {
		t.Errorf("a whole answer was not recorded: %s", line)
	}
}

// playLateStores has some programs run turns in a zone, while the store's answers are late by several times, and checks
// each run.
func playLateStores(t *testing.T, programs []int, check func(*testing.T, *lateStore, *lateRun)) {
	for _, count := range programs {
		for _, late := range []time.Duration{500, 600, 700, 800, 900} {
			late *= time.Millisecond
			t.Run(fmt.Sprintf("%d_programs/%s", count, late), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					store, run := playLateStore(t, count, func() time.Duration { return late })
					check(t, store, run)
				})
			})
		}
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d_programs/drawn/%d", count, seed), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 0))
					store, run := playLateStore(t, count, func() time.Duration {
						return 500*time.Millisecond + time.Duration(random.Int64N(int64(400*time.Millisecond)))
					})
					check(t, store, run)
				})
			})
		}
	}
}

// playLateStore has programs run turns in a zone while the answers of the store are late. late is called with the mutex
// of the store held.
func playLateStore(t *testing.T, programs int, late func() time.Duration) (*lateStore, *lateRun) {
	store := newLateStore(func(since time.Duration) time.Duration {
		if since < calmBefore || since >= calmBefore+lateFor {
			return 0
		}
		return late()
	})
	return store, playZone(t, store, programs)
}

func newLateStore(late func(sinceStart time.Duration) time.Duration) *lateStore {
	return &lateStore{start: time.Now(), late: late, rows: make(map[string]tablestore.Row), sent: make(map[string][]time.Duration)}
}

// playZone has programs run turns in a zone over a store.
func playZone(t *testing.T, store *lateStore, programs int) *lateRun {
	nodes := newZone(t, store, 8)
	run := &lateRun{}
	var callers sync.WaitGroup
	for i := range programs {
		callers.Go(func() {
			kind := []string{"p", "g"}[i%2]
			time.Sleep(time.Duration(i) * 37 * time.Millisecond % turnPause) // virtual
			run.runTurns(nodes[i%len(nodes)], store.start, fmt.Sprint(kind, i))
		})
	}
	callers.Wait()
	again := 0
	for _, sent := range store.sent {
		again += min(1, len(sent)-1)
	}
	t.Logf("%d turns recorded, %d not, %d refused; longest record %s; %d turns sent again; %d calls",
		run.recorded, len(run.unrecorded), run.refused, run.longest, again, store.calls)
	for _, line := range nodes[0].events.lines {
		t.Log(line)
	}
	return run
}
