package gateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/httpapi"
	"github.com/pewtermill/pewtermill/internal/quota"
)

// maxIdempotencyKeyBytes bounds the Idempotency-Key header.
const maxIdempotencyKeyBytes = 255

func (g *gateway) createProgram(x *exchange) (answer, error) {
	idempotencyKey, problem := idempotencyKey(x.request)
	if problem != nil {
		return answer{}, problem
	}
	body, problem := g.readBody(x)
	if problem != nil {
		return answer{}, problem
	}
	request, problem := api.DecodeCreateProgramRequest(body)
	if problem != nil {
		return answer{}, problem
	}
	program, err := g.service.CreateProgram(x.request.Context(), x.tenant, idempotencyKey, request)
	if err != nil {
		return answer{}, err
	}
	x.program = program.ID
	x.writer.Header().Set("Location", "/v1/programs/"+program.ID)
	return answer{status: http.StatusCreated, body: program}, nil
}

func (g *gateway) getProgram(x *exchange) (answer, error) {
	return g.serveProgram(x, g.service.GetProgram)
}

func (g *gateway) endProgram(x *exchange) (answer, error) {
	return g.serveProgram(x, g.service.EndProgram)
}

type programMethod func(ctx context.Context, tenant, program string) (api.Program, error)

func (g *gateway) serveProgram(x *exchange, method programMethod) (answer, error) {
	if problem := x.readProgram(); problem != nil {
		return answer{}, problem
	}
	program, err := method(x.request.Context(), x.tenant, x.program)
	if err != nil {
		return answer{}, err
	}
	return answer{status: http.StatusOK, body: program}, nil
}

func (g *gateway) getCall(x *exchange) (answer, error) {
	if problem := x.readCall(); problem != nil {
		return answer{}, problem
	}
	result, err := g.service.GetCall(x.request.Context(), x.tenant, x.program, x.sequence)
	if err != nil {
		return answer{}, err
	}
	return callAnswer(result), nil
}

func (g *gateway) executeCall(x *exchange) (answer, error) {
	if problem := x.readCall(); problem != nil {
		return answer{}, problem
	}
	body, problem := g.readBody(x)
	if problem != nil {
		return answer{}, problem
	}
	if _, problem := api.DecodeCallRequest(body); problem != nil {
		return answer{}, problem
	}
	if problem := g.admit(x); problem != nil {
		return answer{}, problem
	}
	ctx, cancel := context.WithCancel(x.request.Context())
	defer cancel()
	var onPart func(offset int64, text []byte)
	if httpapi.WantsEvents(x.request) {
		x.stream = startAnswerStream(x.writer, cancel)
		defer x.stream.stop()
		onPart = x.stream.addPart
	}
	result, err := g.service.ExecuteCall(ctx, x.tenant, x.program, x.sequence, body, onPart)
	if err != nil {
		g.returnToken(x, err)
		return answer{}, err
	}
	return callAnswer(result), nil
}

// admit counts a call towards its tenant's rate limit, and rejects it beyond the limit.
func (g *gateway) admit(x *exchange) *api.Error {
	tenant, found := x.snapshot.Tenant(x.tenant)
	if g.options.Limiter == nil || !found || tenant.RequestsPerSecond == 0 {
		return nil
	}
	decision := g.options.Limiter.Admit(x.request.Context(), tenant, x.snapshot.Version(), x.sequence == 1)
	if decision.Outcome == quota.Granted {
		x.granted = decision
		return nil
	}
	problem := api.Errorf(api.TenantLimit, "tenant %s is at its limit of %v requests a second and a burst of %v",
		tenant.Name, tenant.RequestsPerSecond, tenant.Burst)
	return problem.WithRetryAfter(max(minLimitDelay, decision.RetryAfter)).ForThisAttempt()
}

// returnToken returns the token of a call that certainly did not run, so that it does not count.
func (g *gateway) returnToken(x *exchange, err error) {
	if x.granted.Outcome == quota.Granted && httpapi.Classify(err).Execution == api.NotRun {
		g.options.Limiter.ReturnToken(x.tenant, x.granted)
	}
}

// callAnswer returns the answer for a call's result; a failed result has the HTTP status of its code.
func callAnswer(result api.CallResult) answer {
	return answer{status: result.Code.Info().HTTPStatus, code: result.Code, body: result}
}

func (g *gateway) readBody(x *exchange) ([]byte, *api.Error) {
	limit := x.snapshot.Bundle.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = httpapi.DefaultMaxBodyBytes
	}
	held, body, problem := httpapi.ReadBody(x.writer, x.request, httpapi.BodyLimits{Bytes: limit, Timeout: g.options.BodyTimeout, Memory: g.options.Memory})
	x.held = held
	return body, problem
}

// readProgram reads the program's id from the path. An id that is not valid is
// answered as the id of a program that does not exist.
func (x *exchange) readProgram() *api.Error {
	id := x.request.PathValue("program")
	if !api.ValidProgramID(id) {
		return api.Errorf(api.ProgramNotFound, "")
	}
	x.program = id
	return nil
}

func (x *exchange) readCall() *api.Error {
	if problem := x.readProgram(); problem != nil {
		return problem
	}
	text := x.request.PathValue("sequence")
	sequence, err := strconv.ParseInt(text, 10, 64)
	if err != nil || sequence < 1 || strconv.FormatInt(sequence, 10) != text {
		return api.Errorf(api.MalformedRequest, "the sequence must be a decimal number from 1 on")
	}
	x.sequence = sequence
	return nil
}

func idempotencyKey(request *http.Request) (string, *api.Error) {
	values := request.Header.Values("Idempotency-Key")
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes {
		return "", api.Errorf(api.MalformedRequest, "Idempotency-Key must be one value of 1 to %d bytes", maxIdempotencyKeyBytes)
	}
	return key, nil
}
