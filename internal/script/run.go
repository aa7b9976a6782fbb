package script

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/client"
)

// Caller sends a tenant's requests; *client.Client implements it. Run retries
// failed requests with client.Retry.
type Caller interface {
	CreateProgram(ctx context.Context, idempotencyKey string, request api.CreateProgramRequest) (api.Program, error)
	EndProgram(ctx context.Context, program string) (api.Program, error)
	// Call passes the parts of the answer's text to onPart as they arrive, unless that is nil.
	Call(ctx context.Context, program string, sequence int64, request api.CallRequest, onPart func(api.StreamPart)) (api.CallResult, error)
}

// Options sets up a run and its callbacks.
type Options struct {
	// RunID makes the run's idempotency keys unique.
	RunID string
	// Stream requests streamed answers.
	Stream bool
	// OnProgram is called after each program is created; may be nil.
	OnProgram func(api.Program)
	// OnResult is called with each step's name and result; may be nil.
	OnResult func(step string, result api.CallResult)
}

// Report is the result of a run.
type Report struct {
	Answer   string        // of the root's last step
	Programs []api.Program // the root first, then sub-agents in the order of creation; as of their end if they ended
	Results  []api.CallResult
}

// Cost returns the total cost of all calls of the run.
func (r Report) Cost() api.Credits {
	var total api.Credits
	for _, result := range r.Results {
		total += result.Cost
	}
	return total
}

// run is the state of one run.
type run struct {
	caller  Caller
	options Options
	report  Report
}

// Run runs the script and ends its programs, also after an error; the report
// then holds the results so far.
func Run(ctx context.Context, caller Caller, script *Script, options Options) (Report, error) {
	r := &run{caller: caller, options: options}
	answer, err := r.agent(ctx, &script.Agent, "", nil)
	r.report.Answer = answer
	return r.report, err
}

// agent creates one program, runs its steps and ends it.
func (r *run) agent(ctx context.Context, agent *Agent, parent string, parentAnswers []string) (answer string, err error) {
	index := len(r.report.Programs)
	idempotencyKey := fmt.Sprintf("%s-%d", r.options.RunID, index)
	created, err := retry(ctx, func(ctx context.Context) (api.Program, error) {
		return r.caller.CreateProgram(ctx, idempotencyKey, api.CreateProgramRequest{
			Class:  agent.Class,
			Budget: agent.Budget,
			Parent: parent,
		})
	})
	if err != nil {
		return "", errors.Wrap(err, "create program")
	}
	r.report.Programs = append(r.report.Programs, created)
	if r.options.OnProgram != nil {
		r.options.OnProgram(created)
	}
	answer, err = r.steps(ctx, agent, created.ID, parentAnswers)
	ended, endErr := retry(context.WithoutCancel(ctx), func(ctx context.Context) (api.Program, error) {
		return r.caller.EndProgram(ctx, created.ID)
	})
	if endErr != nil {
		return answer, errors.CombineErrors(err, errors.Wrapf(endErr, "end program %s", created.ID))
	}
	r.report.Programs[index] = ended
	return answer, err
}

// steps runs an agent's steps in order and returns the last one's answer.
func (r *run) steps(ctx context.Context, agent *Agent, program string, parentAnswers []string) (string, error) {
	previous := answers{parent: parentAnswers}
	sequence := int64(0)
	for _, step := range agent.Steps {
		if step.SubAgent != nil {
			answer, err := r.agent(ctx, step.SubAgent, program, previous.own)
			if err != nil {
				return "", errors.Wrapf(err, "sub-agent %q", step.Name)
			}
			previous.own = append(previous.own, answer)
			continue
		}
		sequence++
		answer, err := r.call(ctx, step, program, sequence, previous)
		if err != nil {
			return "", errors.Wrapf(err, "step %q, call %d of %s", step.Name, sequence, program)
		}
		previous.own = append(previous.own, answer)
	}
	return previous.own[len(previous.own)-1], nil
}

// call makes one model or tool call and returns its answer as text.
func (r *run) call(ctx context.Context, step Step, program string, sequence int64, previous answers) (string, error) {
	var onPart func(api.StreamPart)
	var streamed []byte
	if r.options.Stream {
		onPart = func(part api.StreamPart) {
			streamed = append(streamed[:min(int64(len(streamed)), part.Offset)], part.Text...)
		}
	}
	body := request(step, previous)
	result, err := retry(ctx, func(ctx context.Context) (api.CallResult, error) {
		return r.caller.Call(ctx, program, sequence, body, onPart)
	})
	if err != nil {
		return "", err
	}
	r.report.Results = append(r.report.Results, result)
	if r.options.OnResult != nil {
		r.options.OnResult(step.Name, result)
	}
	if result.Code != api.OK {
		return "", errors.Newf("result %s (%d): %s", result.Code, int(result.Code), result.Detail)
	}
	if step.Tool != nil {
		return string(result.Result), nil
	}
	if r.options.Stream && string(streamed) != result.Output {
		return "", errors.Newf("streamed text (%d bytes) differs from the final output (%d bytes)", len(streamed), len(result.Output))
	}
	return result.Output, nil
}

// request returns the call's body, with the step's references replaced by answers.
func request(step Step, previous answers) api.CallRequest {
	if step.Tool != nil {
		repeatable := step.Tool.Repeatable
		return api.CallRequest{
			Kind:       api.KindTool,
			Target:     step.Tool.Target,
			Input:      []byte(previous.substitute(string(step.Tool.Input), insideJSONString)),
			Repeatable: &repeatable,
		}
	}
	messages := make([]api.Message, len(step.Model.Messages))
	for i, message := range step.Model.Messages {
		messages[i] = api.Message{Role: message.Role, Content: previous.substitute(message.Content, verbatim)}
	}
	return api.CallRequest{
		Kind:      api.KindModel,
		Target:    step.Model.Target,
		Messages:  messages,
		MaxTokens: step.Model.MaxTokens,
	}
}

// retry sends a request, which must be idempotent, with retries, and returns its answer.
func retry[T any](ctx context.Context, request func(context.Context) (T, error)) (T, error) {
	var answer T
	err := client.Retry(ctx, client.RetryPolicy{Idempotent: true}, func(ctx context.Context) error {
		var err error
		answer, err = request(ctx)
		return err
	})
	return answer, err
}
