// Package historycheck records what callers observe of programs in a concurrent
// run, and checks it: that every history is linearizable as that of a program
// (with porcupine), and that no call that had run was answered with not_run. It
// is for tests only.
package historycheck

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
)

// Input is one PUT of a call by a caller.
type Input struct {
	Program  string
	Sequence int64
}

// Output is the answer that the caller received. Refused means not_run;
// Unanswered means unknown or no answer; otherwise Digest is that of the final
// answer.
type Output struct {
	Digest     string
	Code       api.Code
	Refused    bool
	Unanswered bool
}

// IsFinal reports whether the answer is final, so that it never changes.
func (o Output) IsFinal() bool { return !o.Refused && !o.Unanswered }

// OutputOf classifies a caller's answer. An error that is not an api.Error
// counts as no answer.
func OutputOf(result api.CallResult, err error) Output {
	if err == nil {
		return Output{Digest: result.Digest, Code: result.Code}
	}
	var apiErr *api.Error
	if errors.As(err, &apiErr) && apiErr.Execution == api.NotRun {
		return Output{Refused: true, Code: apiErr.Code}
	}
	return Output{Unanswered: true}
}

// Recorder collects operations of concurrent callers. Safe for concurrent use.
type Recorder struct {
	mutex      sync.Mutex
	operations []porcupine.Operation
}

// Call runs one PUT and records it.
func (r *Recorder) Call(client int, input Input, put func() (api.CallResult, error)) (api.CallResult, Output) {
	calledAt := time.Now().UnixNano()
	result, err := put()
	output := OutputOf(result, err)
	returnedAt := time.Now().UnixNano()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.operations = append(r.operations, porcupine.Operation{ClientId: client, Input: input, Call: calledAt, Output: output, Return: returnedAt})
	return result, output
}

// OperationCounts returns how many operations were recorded, and how many of them were final.
func (r *Recorder) OperationCounts() (all, final int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, operation := range r.operations {
		if operation.Output.(Output).IsFinal() {
			final++
		}
	}
	return len(r.operations), final
}

// Execution is one run of a call at a back end.
type Execution struct {
	Program  string
	Sequence int64
	Started  time.Time
}

// checkTimeout bounds the search for a linearization of one run's operations.
const checkTimeout = time.Minute

// Check returns an error if a history is not linearizable as that of a program,
// or if a caller received not_run for a call that had started before the answer.
func (r *Recorder) Check(executions []Execution) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if result := porcupine.CheckOperationsTimeout(model, r.operations, checkTimeout); result != porcupine.Ok {
		return errors.Newf("histories are not linearizable as those of programs: %s", result)
	}
	if refused := r.falselyRefused(executions); len(refused) > 0 {
		first := refused[0]
		return errors.Newf("%d calls were answered not_run although they had started, such as call %d of program %s", len(refused), first.Sequence, first.Program)
	}
	return nil
}

// FalselyRefused returns the calls for which a caller received not_run although
// they had started before the answer.
func (r *Recorder) FalselyRefused(executions []Execution) []Input {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.falselyRefused(executions)
}

// falselyRefused is FalselyRefused; r.mutex must be held.
func (r *Recorder) falselyRefused(executions []Execution) []Input {
	firstStart := make(map[Input]time.Time)
	for _, execution := range executions {
		input := Input{Program: execution.Program, Sequence: execution.Sequence}
		if first, found := firstStart[input]; !found || execution.Started.Before(first) {
			firstStart[input] = execution.Started
		}
	}
	var refused []Input
	for _, operation := range r.operations {
		input := operation.Input.(Input)
		started, ran := firstStart[input]
		if operation.Output.(Output).Refused && ran && started.UnixNano() < operation.Return {
			refused = append(refused, input)
		}
	}
	return refused
}

// programState is the model's state: the digests of the final answers in
// order, as JSON so that states are comparable. An empty digest stands for a
// call that may have become final without any caller receiving its answer.
type programState struct{ answers string }

// model is the sequential specification of a program: call n becomes final after
// call n-1, once, and every later answer about it is the same.
var model = (&porcupine.NondeterministicModel{
	Partition: partitionByProgram,
	Init:      func() []any { return []any{programState{}} },
	Step: func(state, input, output any) []any {
		return step(state.(programState), input.(Input), output.(Output))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}).ToModel()

func partitionByProgram(history []porcupine.Operation) [][]porcupine.Operation {
	byProgram := make(map[string][]porcupine.Operation)
	for _, operation := range history {
		id := operation.Input.(Input).Program
		byProgram[id] = append(byProgram[id], operation)
	}
	var parts [][]porcupine.Operation
	for _, part := range byProgram {
		parts = append(parts, part)
	}
	return parts
}

func step(state programState, input Input, output Output) []any {
	answers := decode(state)
	position := int(input.Sequence) - 1
	switch {
	case output.Refused:
		return []any{state}
	case output.Unanswered && position == len(answers):
		return []any{state, encode(append(answers, ""))}
	case output.Unanswered:
		return []any{state}
	case position == len(answers):
		return []any{encode(append(answers, output.Digest))}
	case position < len(answers) && answers[position] == "":
		answers[position] = output.Digest
		return []any{encode(answers)}
	case position < len(answers) && answers[position] == output.Digest:
		return []any{state}
	}
	return nil
}

func decode(state programState) []string {
	var answers []string
	if state.answers == "" {
		return nil
	}
	if err := json.Unmarshal([]byte(state.answers), &answers); err != nil {
		panic(err)
	}
	return answers
}

func encode(answers []string) programState {
	encoded, err := json.Marshal(answers)
	if err != nil {
		panic(err)
	}
	return programState{answers: string(encoded)}
}
