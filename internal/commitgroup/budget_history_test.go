package commitgroup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// readableTable is a faulty table whose rows can be read; some of the reads fail.
type readableTable struct{ *faultyTable }

// Range implements tablestore.Table.
func (r readableTable) Range(ctx context.Context, start, end string, _ int) (tablestore.Page, error) {
	time.Sleep(2 * time.Millisecond)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.random.Float64() < r.faultShare/2 {
		return tablestore.Page{}, errors.Mark(errors.New("503"), tablestore.ErrUnavailable)
	}
	var rows []tablestore.Row
	for key, row := range r.rows {
		if start <= key && key < end {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return strings.Compare(a.Key, b.Key) })
	return tablestore.Page{Rows: rows}, ctx.Err()
}

// recallingOwners lets nodes recall each other's allowances. No program has an owner.
type recallingOwners struct{ nodes map[string]*ledger.Ledger }

// Reserve implements ledger.Owners.
func (r recallingOwners) Reserve(context.Context, ledger.TurnRequest) (ledger.Grant, error) {
	return nil, ledger.ErrNoOwner
}

// Recall implements ledger.Owners.
func (r recallingOwners) Recall(ctx context.Context, address, run, program string) (bool, error) {
	return r.nodes[address].ReturnUnused(ctx, program, run)
}

// TestBudgetsHoldOverLostGroups: nodes run turns of a few programs with grouped writes while the table and the links to
// writers lose, delay and reject requests, and allowances are recalled. No program may spend more than its budget and
// one turn, and every turn that was reported durable must be in the table.
func TestBudgetsHoldOverLostGroups(t *testing.T) {
	const maxTokens = 100
	for seed := range uint64(96) {
		virtualtime.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			service := readableTable{newFaultyTable(seed, []float64{0, .1, .3, .5}[seed%4])}
			if seed >= 64 {
				service.lateShare = []float64{.1, .3}[seed/4%2]
			}
			fleet := newFleet(service, 4, random, []float64{.3, 0, .1}[seed%3])
			owners := recallingOwners{make(map[string]*ledger.Ledger)}
			var nodes []*ledger.Ledger
			for i, table := range fleet {
				name := fmt.Sprintf("node-%d", i)
				owners.nodes[name] = ledger.New(ledger.Options{Table: table, RunID: name, Address: func() string { return name }})
				owners.nodes[name].SetOwners(owners)
				nodes = append(nodes, owners.nodes[name])
			}
			var mutex sync.Mutex
			issued := make(map[string]int64)
			durable := make(map[string]bool)
			ran := 0
			var clients sync.WaitGroup
			for client := range 24 {
				clientRandom := rand.New(rand.NewPCG(seed, uint64(client)))
				clients.Go(func() {
					for turn := range 12 {
						program := fmt.Sprintf("p%d", clientRandom.IntN(4))
						ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
						run, err := nodes[clientRandom.IntN(4)].Begin(ctx, ledger.TurnRequest{Program: program, Budget: 2500, MaxTokens: maxTokens, InputBytes: 1})
						cancel()
						if err != nil {
							time.Sleep(time.Duration(clientRandom.IntN(300)) * time.Millisecond)
							continue
						}
						tokens := int64(maxTokens - clientRandom.IntN(2)*clientRandom.IntN(maxTokens))
						mutex.Lock()
						issued[program] += tokens
						ran++
						mutex.Unlock()
						time.Sleep(time.Duration(clientRandom.IntN(200)) * time.Millisecond)
						id := fmt.Sprintf("t%d-%d", client, turn)
						ctx, cancel = context.WithTimeout(t.Context(), time.Second)
						if run.Settle(ctx, tokens, &ledger.Turn{ID: id, Input: []byte("x")}) == nil {
							mutex.Lock()
							durable[id] = true
							mutex.Unlock()
						}
						cancel()
					}
				})
			}
			clients.Wait()
			time.Sleep(time.Minute) // virtual: late writes are applied
			for program, tokens := range issued {
				if tokens > 2500+maxTokens {
					t.Errorf("seed %d: program %s spent %d of 2500 and one turn of %d", seed, program, tokens, maxTokens)
				}
			}
			service.mutex.Lock()
			recorded := 0
			for key := range service.rows {
				if strings.HasPrefix(key, "turn-programs/") {
					if durable[key[strings.LastIndexByte(key, '/')+1:]] {
						recorded++
					}
				}
			}
			if recorded < len(durable) {
				t.Errorf("seed %d: %d of %d durable turns are recorded", seed, recorded, len(durable))
			}
			service.mutex.Unlock()
			if ran < 50 || len(durable) < ran/4 {
				t.Errorf("seed %d: %d turns ran, %d are durable", seed, ran, len(durable))
			}
		})
	}
}
