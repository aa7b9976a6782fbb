package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/program"
	standin "github.com/pewtermill/pewtermill/internal/standin/platform"
)

// callInput is one PUT of a call as a caller makes it.
type callInput struct {
	program  string
	sequence int64
}

// callOutput is its final answer. Refused: the caller was told not_run.
// Unanswered: told unknown, or nothing.
type callOutput struct {
	digest     string
	code       api.Code
	refused    bool
	unanswered bool
}

// programState is the model: the digests of the final answers, in order. A
// call that nobody answered may or may not have become final.
type programState struct{ answers string }

// programModel says: call n becomes final after n-1, once, and every answer
// about it is the same from then on.
var programModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byProgram := make(map[string][]porcupine.Operation)
		for _, operation := range history {
			id := operation.Input.(callInput).program
			byProgram[id] = append(byProgram[id], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byProgram {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{programState{}} },
	Step: func(state, input, output any) []any {
		return stepProgram(state.(programState), input.(callInput), output.(callOutput))
	},
}).ToModel()

func stepProgram(state programState, input callInput, output callOutput) []any {
	var answers []string
	_ = json.Unmarshal([]byte(state.answers), &answers)
	position := int(input.sequence) - 1
	switch {
	case output.refused:
		return []any{state}
	case output.unanswered && position == len(answers):
		return []any{state, withAnswer(answers, "")}
	case output.unanswered:
		return []any{state}
	case position == len(answers):
		return []any{withAnswer(answers, output.digest)}
	case position < len(answers) && answers[position] == "":
		answers[position] = output.digest
		return []any{withAnswer(answers[:len(answers):len(answers)])}
	case position < len(answers) && answers[position] == output.digest:
		return []any{state}
	}
	return nil
}

func withAnswer(answers []string, more ...string) programState {
	encoded, err := json.Marshal(append(answers, more...))
	if err != nil {
		panic(err)
	}
	return programState{answers: string(encoded)}
}

// caller drives one program through random nodes and records what it sees.
type caller struct {
	cluster *testCluster
	random  *rand.Rand
	names   []string
	record  func(input callInput, call int64, output callOutput, answered int64)
}

const callsPerProgram = 12

func (c *caller) run(ctx context.Context, t *testing.T, id string) {
	for sequence := int64(1); sequence <= callsPerProgram; {
		if ctx.Err() != nil {
			t.Errorf("%s stuck at call %d", id, sequence)
			return
		}
		node := c.cluster.node(c.names[c.random.IntN(len(c.names))])
		input := callInput{program: id, sequence: sequence}
		begun := time.Now().UnixNano()
		result, err := node.Execute(ctx, "dev", id, sequence, bodyOf(id, sequence), nil)
		output := outputOf(result, err)
		c.record(input, begun, output, time.Now().UnixNano())
		if !output.refused && !output.unanswered {
			sequence++
		}
	}
}

func outputOf(result api.CallResult, err error) callOutput {
	if err == nil {
		return callOutput{digest: result.Digest, code: result.Code}
	}
	var refusal *api.Error
	if errors.As(err, &refusal) && refusal.Execution != api.NotRun {
		return callOutput{unanswered: true}
	}
	return callOutput{refused: true}
}

// bodyOf mixes model calls with tool calls, which are not repeatable.
func bodyOf(id string, sequence int64) []byte {
	request := api.CallRequest{Kind: api.KindModel, Target: "small", Messages: []api.Message{{Role: "user", Content: fmt.Sprintf("%s asks %d", id, sequence)}}}
	if sequence%3 == 0 {
		request = api.CallRequest{Kind: api.KindTool, Target: "publish", Input: json.RawMessage(`{"n":1}`)}
	}
	body, err := json.Marshal(request)
	if err != nil {
		panic(err)
	}
	return body
}

// TestHistoriesUnderTakeoverAndLostReplies runs programs over three owners
// while owners are replaced (the former ones go on, as thawed processes do)
// and the table loses replies and applies writes late. It then checks every
// history against the model of a program, the number of executions of calls
// that are not repeatable, the budgets, and the prompts that were sent.
func TestHistoriesUnderTakeoverAndLostReplies(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkHistories(t, seed) })
	}
}

func checkHistories(t *testing.T, seed uint64) {
	const programs = 8
	names := []string{"a", "b", "c"}
	c := newTestCluster(t, seed, names...)
	ids := createPrograms(t, c, programs)
	c.table.SetFaults(standin.Faults{LoseReplyShare: 0.05, LateApplyMillis: 2, Seed: seed})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	var mutex sync.Mutex
	var operations []porcupine.Operation
	var calls sync.WaitGroup
	finished := make(chan struct{})
	for index, id := range ids {
		driver := &caller{cluster: c, names: names, random: rand.New(rand.NewPCG(seed, uint64(index)))}
		driver.record = func(input callInput, call int64, output callOutput, answered int64) {
			mutex.Lock()
			defer mutex.Unlock()
			operations = append(operations, porcupine.Operation{ClientId: index, Input: input, Call: call, Output: output, Return: answered})
		}
		calls.Go(func() { driver.run(ctx, t, id) })
	}
	go func() {
		calls.Wait()
		close(finished)
	}()
	replaceUntil(finished, c, names, seed)
	c.table.SetFaults(standin.Faults{})

	if result := porcupine.CheckOperationsTimeout(programModel, operations, time.Minute); result != porcupine.Ok {
		t.Errorf("histories are not those of programs: %v", result)
	}
	for _, id := range ids {
		checkProgram(t, c, id)
	}
}

// replaceUntil replaces a random owner each time some calls have run.
func replaceUntil(finished chan struct{}, c *testCluster, names []string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 99))
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-finished:
			return
		case <-ticker.C:
			c.replace(names[random.IntN(len(names))])
		}
	}
}

func createPrograms(t *testing.T, c *testCluster, count int) []string {
	t.Helper()
	var ids []string
	for index := range count {
		id := program.RootID("dev", uint64(index+1))
		if _, err := c.node("a").Create(context.Background(), "dev", id, api.CreateProgramRequest{Class: "batch", Budget: 1_000_000}); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, id)
	}
	return ids
}

// checkProgram checks what the table holds in the end.
func checkProgram(t *testing.T, c *testCluster, id string) {
	t.Helper()
	row, err := c.table.Get(context.Background(), program.HeaderKey(id))
	if err != nil {
		t.Fatal(err)
	}
	header, err := program.DecodeHeader(row.Value)
	if err != nil {
		t.Fatal(err)
	}
	if header.Spent+header.Reserved > header.Budget {
		t.Errorf("%s spent %d and reserved %d of %d", id, header.Spent, header.Reserved, header.Budget)
	}
	history, err := c.node("a").readHistory(context.Background(), id, "dev", header.NextSequence)
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	checkPrompts(t, c, id, history.messages)
	for sequence := int64(3); sequence <= callsPerProgram; sequence += 3 {
		if ran := c.executor.ran(program.IdempotencyKey(id, sequence)); ran > 1 {
			t.Errorf("%s call %d is not repeatable and ran %d times", id, sequence, ran)
		}
	}
}

// checkPrompts checks that each model call was sent the history up to it.
func checkPrompts(t *testing.T, c *testCluster, id string, history []api.Message) {
	t.Helper()
	position := 0
	for sequence := int64(1); sequence <= callsPerProgram; sequence++ {
		if sequence%3 == 0 {
			continue
		}
		sent := c.executor.prompts[program.IdempotencyKey(id, sequence)]
		if len(sent) != position+1 {
			t.Fatalf("%s call %d was sent %d messages, want %d", id, sequence, len(sent), position+1)
		}
		for index, content := range sent {
			if content != history[index].Content {
				t.Fatalf("%s call %d message %d is %q, want %q", id, sequence, index, content, history[index].Content)
			}
		}
		position += 2
	}
}
