package tablestore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	standin "github.com/pewtermill/pewtermill/internal/standin/platform"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// registerInput is a read or a compare-and-set. Values are unique, and empty
// only before the first write.
type registerInput struct {
	key            string
	write          bool
	from, to       string
	outcomeUnknown bool // the write may have happened
}

// registerOutput is the value read, or whether the write happened.
type registerOutput struct {
	value   string
	swapped bool
}

// registerModel is one register per key; each key is checked on its own.
var registerModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		return registerStep(state.(string), input.(registerInput), output.(registerOutput))
	},
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, operation := range history {
		key := operation.Input.(registerInput).key
		byKey[key] = append(byKey[key], operation)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

func registerStep(state string, input registerInput, output registerOutput) (bool, string) {
	matches := state == input.from
	switch {
	case !input.write:
		return state == output.value, state
	case input.outcomeUnknown && matches, output.swapped && matches:
		return true, input.to
	case input.outcomeUnknown:
		return true, state // as if the write came after everything else
	default:
		return output.swapped == matches, state
	}
}

// historyRecorder collects operations; its clock only orders them.
type historyRecorder struct {
	clock atomic.Int64

	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *historyRecorder) record(client int, called int64, input registerInput, output registerOutput) {
	returned := h.clock.Add(1)
	if input.outcomeUnknown {
		returned = 1 << 62
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: called, Output: output, Return: returned,
	})
}

// registerClient reads registers and swaps them conditional on the value read.
func registerClient(store tablestore.Store, number int, random *rand.Rand, history *historyRecorder) {
	for op := range 25 {
		key := fmt.Sprintf("register/%d", random.IntN(3))
		called := history.clock.Add(1)
		row, err := store.Get(context.Background(), key)
		if err != nil {
			continue
		}
		read := string(row.Value)
		history.record(number, called, registerInput{key: key}, registerOutput{value: read})
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond) // virtual
		input := registerInput{key: key, write: true, from: read, to: fmt.Sprintf("%d-%d", number, op)}
		called = history.clock.Add(1)
		output, recorded := swap(store, &input, row.Revision, random)
		if recorded {
			history.record(number, called, input, output)
		}
	}
}

// swap commits the write. recorded is false if the write was rejected, so that
// it certainly did not happen.
func swap(store tablestore.Store, input *registerInput, revision uint64, random *rand.Rand) (output registerOutput, recorded bool) {
	timeout := time.Duration(20+random.IntN(1000)) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := store.Commit(ctx, tablestore.Transaction{
		Conditions: []tablestore.Condition{{Key: input.key, Revision: revision}},
		Writes:     []tablestore.Write{{Key: input.key, Value: []byte(input.to)}},
	})
	var conflict *tablestore.ConflictError
	input.outcomeUnknown = errors.Is(err, tablestore.ErrUnknownOutcome)
	return registerOutput{swapped: err == nil}, err == nil || input.outcomeUnknown || errors.As(err, &conflict)
}

// TestRegistersAreLinearizable: concurrent clients of two stores see each key
// as one atomic register, although replies are lost and writes apply late.
func TestRegistersAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		history := &historyRecorder{}
		virtualtime.Test(t, func(*testing.T) {
			table := standin.New(standin.Options{})
			table.SetFaults(standin.Faults{LoseReplyShare: 0.4, LateApplyMillis: 200, SlowMillis: 2, Seed: seed})
			var clients sync.WaitGroup
			stores := make([]*tablestore.GroupStore, 2)
			for i := range stores {
				stores[i] = tablestore.NewStore(table, table, tablestore.StoreOptions{})
			}
			for number := range 8 {
				random := rand.New(rand.NewPCG(seed, uint64(number)))
				clients.Go(func() { registerClient(stores[number%2], number, random, history) })
			}
			clients.Wait()
			for _, store := range stores {
				store.Close()
			}
		})
		if !porcupine.CheckOperations(registerModel, history.operations) {
			t.Fatalf("seed %d: history of %d operations is not linearizable", seed, len(history.operations))
		}
	}
}
