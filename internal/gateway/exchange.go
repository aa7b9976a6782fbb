package gateway

import (
	"log/slog"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/httpapi"
	"github.com/pewtermill/pewtermill/internal/quota"
	"github.com/pewtermill/pewtermill/internal/requestmemory"
)

// endpoint serves one request; an error is answered as a problem.
type endpoint func(x *exchange) (answer, error)

// answer is a body with its status and result code.
type answer struct {
	status int
	code   api.Code
	body   any
}

// exchange is one request while it is being served.
type exchange struct {
	writer   http.ResponseWriter
	request  *http.Request
	route    string
	started  time.Time
	snapshot *bundle.Snapshot
	tenant   string
	granted  quota.Decision // the grant of its tenant's limit; Undecided if it does not count
	program  string
	sequence int64
	stream   *answerStream       // nil unless the caller requested events
	held     *requestmemory.Body // memory of the body; nil before it was read
}

// handle wraps an endpoint with panic recovery, writing of the answer, metrics and logging.
func (g *gateway) handle(route string, serve endpoint) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		g.metrics.inFlight.Inc()
		defer g.metrics.inFlight.Dec()
		x := &exchange{writer: writer, request: request, route: route, started: time.Now()}
		defer x.releaseBody()
		result, err := g.serveWithRecovery(x, serve)
		if err != nil {
			problem := httpapi.Classify(err)
			x.respondProblem(problem)
			g.observe(x, problem.Code, err)
			return
		}
		x.respond(result)
		g.observe(x, result.code, nil)
	})
}

// releaseBody releases the memory of the body.
func (x *exchange) releaseBody() {
	if x.held != nil {
		x.held.Release()
	}
}

// serveWithRecovery turns a panic of the endpoint into an Internal error and logs it.
func (g *gateway) serveWithRecovery(x *exchange, serve endpoint) (result answer, err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause == http.ErrAbortHandler {
			panic(cause)
		}
		g.options.Logger.Error("panic while serving a request",
			slog.String("route", x.route),
			slog.Any("panic", cause),
			slog.String("stack", string(debug.Stack())))
		err = api.Errorf(api.Internal, "unexpected fault")
	}()
	return serve(x)
}

// authenticated admits only requests with a tenant's key, and limits how many
// requests of one tenant are served at the same time.
func (g *gateway) authenticated(serve endpoint) endpoint {
	return func(x *exchange) (answer, error) {
		x.snapshot = g.activeBundle()
		if x.snapshot == nil {
			return answer{}, api.Errorf(api.NotReady, "no bundle is in force").WithRetryAfter(notReadyDelay).ForThisAttempt()
		}
		if problem := httpapi.CheckHeaders(x.request, g.options.MaxHeaderBytes); problem != nil {
			return answer{}, problem
		}
		key, _ := httpapi.BearerKey(x.request)
		tenant, found := x.snapshot.TenantByKey(key)
		if key == "" || !found {
			return answer{}, api.Errorf(api.Unauthenticated, "")
		}
		x.tenant = tenant.Name
		if !g.inFlight.acquire(x.tenant) {
			return answer{}, api.Errorf(api.TenantLimit, "too many requests at once").WithRetryAfter(tenantLimitDelay).ForThisAttempt()
		}
		defer g.inFlight.release(x.tenant)
		return serve(x)
	}
}

// respond sends a successful endpoint's answer. Once a stream has started, the
// status has been sent, and the result is the stream's last event.
func (x *exchange) respond(result answer) {
	callResult, isCall := result.body.(api.CallResult)
	if x.stream != nil && isCall && (x.stream.started() || result.code == api.OK) {
		x.stream.finish(callResult)
		return
	}
	httpapi.WriteJSON(x.writer, result.status, result.body)
}

// respondProblem answers with a problem. For a call, a problem that confirms
// "not run" for this attempt only becomes not_run if the caller states that it
// is the first attempt. Any other request runs no call, so it becomes not_run.
func (x *exchange) respondProblem(problem *api.Error) {
	isCall := x.route == routeExecuteCall || x.route == routeGetCall
	problem = problem.ForCaller(!isCall || x.request.Header.Get(api.FirstAttemptHeader) == "true")
	if x.stream != nil && x.stream.started() {
		x.stream.fail(problem)
		return
	}
	httpapi.WriteProblem(x.writer, problem)
}

// observe records the metrics of an answered request and logs it.
func (g *gateway) observe(x *exchange, code api.Code, err error) {
	elapsed := time.Since(x.started)
	g.metrics.observe(x.route, code, elapsed)
	attributes := []slog.Attr{
		slog.String("route", x.route),
		slog.String("program", x.program),
		slog.Int64("sequence", x.sequence),
		slog.String("tenant", x.tenant),
		slog.Int("code", int(code)),
		slog.String("code_name", code.String()),
		slog.Duration("duration", elapsed),
	}
	level := slog.LevelDebug
	if err != nil {
		level = slog.LevelInfo
		attributes = append(attributes, slog.String("error", err.Error()))
	}
	if code == api.Internal {
		level = slog.LevelError
	}
	g.options.Logger.LogAttrs(x.request.Context(), level, "request", attributes...)
}
