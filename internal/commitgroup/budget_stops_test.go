package commitgroup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// intermittentlySlowTable is a faulty table that is slow for three seconds in six.
type intermittentlySlowTable struct {
	readableTable
	start time.Time
}

func (s intermittentlySlowTable) delayWhileSlow() {
	const period, delay = 3 * time.Second, 150 * time.Millisecond
	if time.Since(s.start)/period%2 == 1 {
		time.Sleep(delay) // virtual
	}
}

// Commit implements tablestore.Table.
func (s intermittentlySlowTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	s.delayWhileSlow()
	return s.readableTable.Commit(ctx, transaction)
}

// Get implements tablestore.Table.
func (s intermittentlySlowTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	s.delayWhileSlow()
	return s.readableTable.Get(ctx, key)
}

// Range implements tablestore.Table.
func (s intermittentlySlowTable) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	s.delayWhileSlow()
	return s.readableTable.Range(ctx, start, end, limit)
}

// restartingNodes are nodes that stop as planned, crash, and restart. It implements ledger.Owners.
type restartingNodes struct {
	recallingOwners
	tables       []*Table
	mutex        sync.Mutex
	incarnations int
}

// node returns the current run of a node.
func (r *restartingNodes) node(number int) *ledger.Ledger {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.nodes[fmt.Sprintf("node-%d", number)]
}

// Recall implements ledger.Owners.
func (r *restartingNodes) Recall(ctx context.Context, address, run, program string) (bool, error) {
	r.mutex.Lock()
	node := r.nodes[address]
	r.mutex.Unlock()
	return node.ReturnUnused(ctx, program, run)
}

// restart replaces a node by a new run of it. Turns of the previous run continue.
func (r *restartingNodes) restart(number int) {
	address := fmt.Sprintf("node-%d", number)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.incarnations++
	l := ledger.New(ledger.Options{Table: r.tables[number], RunID: fmt.Sprintf("run-%d", r.incarnations), BatchDelay: MaxGroupDelay, Address: func() string { return address }})
	l.SetOwners(r)
	r.nodes[address] = l
}

// stop stops a node as planned; new turns start at it for most of that time.
func (r *restartingNodes) stop(ctx context.Context, number int) {
	stopped := r.node(number)
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	var drain sync.WaitGroup
	drain.Go(func() { stopped.Drain(ctx) })
	time.Sleep(2 * time.Second)
	r.restart(number)
	stopped.ReturnAllowances(ctx)
	cancel()
	drain.Wait()
}

// runNode shrinks the allowances of a node, stops it and crashes it at random, until ctx ends.
func (r *restartingNodes) runNode(ctx context.Context, number int, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(300+random.IntN(700)) * time.Millisecond)
		r.node(number).ShrinkAllowances(ctx)
		switch random.IntN(6) {
		case 0:
			r.restart(number)
		case 1, 2:
			r.stop(ctx, number)
		}
	}
}

// TestBudgetsHoldOverStopsAndCrashes: nodes hold whole budgets as allowances while the table is slow, return them when
// they stop and once the table is fast, and crash in between. No program may spend more than its budget and one turn.
func TestBudgetsHoldOverStopsAndCrashes(t *testing.T) {
	const nodes, programs, clients, turns, budget, maxTokens = 4, 12, 36, 16, 1200, 100
	for seed := range uint64(20) {
		virtualtime.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 11))
			service := intermittentlySlowTable{readableTable{newFaultyTable(seed, []float64{0, .1, .3}[seed%3])}, time.Now()}
			cluster := &restartingNodes{recallingOwners: recallingOwners{make(map[string]*ledger.Ledger)}, tables: newFleet(service, nodes, random, []float64{0, .1}[seed%2])}
			ctx, cancel := context.WithCancel(t.Context())
			var nodeLoops, callers sync.WaitGroup
			for number := range nodes {
				cluster.restart(number)
				nodeRandom := rand.New(rand.NewPCG(seed, 100+uint64(number)))
				nodeLoops.Go(func() { cluster.runNode(ctx, number, nodeRandom) })
			}
			var mutex sync.Mutex
			issued := make(map[string]int64)
			ran := 0
			for client := range clients {
				clientRandom := rand.New(rand.NewPCG(seed, uint64(client)))
				callers.Go(func() {
					for turn := range turns {
						program := fmt.Sprintf("p%d", clientRandom.IntN(programs))
						ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
						run, err := cluster.node(clientRandom.IntN(nodes)).Begin(ctx, ledger.TurnRequest{Program: program, Budget: budget, MaxTokens: maxTokens})
						cancel()
						if err != nil {
							time.Sleep(time.Duration(clientRandom.IntN(600)) * time.Millisecond)
							continue
						}
						tokens := int64(maxTokens - clientRandom.IntN(2)*clientRandom.IntN(maxTokens))
						mutex.Lock()
						issued[program] += tokens
						ran++
						mutex.Unlock()
						time.Sleep(time.Duration(clientRandom.IntN(600)) * time.Millisecond)
						var record *ledger.Turn
						if clientRandom.IntN(2) == 0 {
							record = &ledger.Turn{ID: fmt.Sprintf("t%d-%d", client, turn), Input: []byte("x")}
						}
						ctx, cancel = context.WithTimeout(t.Context(), time.Second)
						_ = run.Settle(ctx, tokens, record) // what is not settled stays charged
						cancel()
					}
				})
			}
			callers.Wait()
			cancel()
			nodeLoops.Wait()
			time.Sleep(time.Minute) // virtual: late writes are applied
			for program, tokens := range issued {
				if tokens > budget+maxTokens {
					t.Errorf("seed %d: program %s spent %d of %d and one turn of %d", seed, program, tokens, budget, maxTokens)
				}
			}
			if ran < 50 {
				t.Errorf("seed %d: %d turns ran", seed, ran)
			}
		})
	}
}
