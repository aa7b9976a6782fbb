// Package gateway serves the HTTP API for callers: programs and their calls. It
// checks keys, limits and the form of requests, and leaves every decision to the
// Service behind it.
package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/httpapi"
	"github.com/pewtermill/pewtermill/internal/quota"
	"github.com/pewtermill/pewtermill/internal/requestmemory"
)

// Service runs programs. Its errors are *api.Error; any other error is
// answered as Internal. All methods are safe for concurrent use and end early
// when ctx ends.
type Service interface {
	// CreateProgram starts a program; a repeated idempotency key (not
	// empty) of the same tenant returns the program created first.
	CreateProgram(ctx context.Context, tenant, idempotencyKey string, request api.CreateProgramRequest) (api.Program, error)
	// GetProgram returns ProgramNotFound for another tenant's program.
	GetProgram(ctx context.Context, tenant, program string) (api.Program, error)
	// EndProgram closes the program; ending it again changes nothing.
	EndProgram(ctx context.Context, tenant, program string) (api.Program, error)
	// ExecuteCall runs the call, or joins or replays it, and returns its
	// final result. onPart, if not nil, receives the output as it is
	// produced: text at a byte offset. An offset lower than the end of the
	// output so far replaces the output from there on. onPart never blocks
	// and must not be called after the return.
	ExecuteCall(ctx context.Context, tenant, program string, sequence int64, body []byte, onPart func(offset int64, text []byte)) (api.CallResult, error)
	// GetCall returns a final result, or CallPending, or CallNotFound.
	GetCall(ctx context.Context, tenant, program string, sequence int64) (api.CallResult, error)
}

// Limiter enforces the rate limits of tenants, counted over all nodes.
type Limiter interface {
	// Admit decides on one call of a tenant, whose limit is that of the given bundle version;
	// firstCall reports that it is its program's first. The token of a granted call that
	// certainly does not run must be returned.
	Admit(ctx context.Context, tenant *bundle.Tenant, version uint64, firstCall bool) quota.Decision
	// ReturnToken returns the token of a granted call that did not run.
	ReturnToken(tenant string, granted quota.Decision)
}

// Options configure a gateway; zero values mean the defaults.
type Options struct {
	Logger               *slog.Logger          // default: discards
	Registerer           prometheus.Registerer // default: metrics are not published
	MaxInFlightPerTenant int                   // requests at the same time; default 4096
	MaxHeaderBytes       int                   // default 16 KiB
	BodyTimeout          time.Duration         // to receive a body; default 30 s
	Limiter              Limiter               // default: tenants' rate limits are not enforced
	Memory               *requestmemory.Memory // bounds what all bodies hold together; default: requestmemory.DefaultLimit
}

// Routes whose problems are about a call.
const (
	routeExecuteCall = "execute_call"
	routeGetCall     = "get_call"
)

const (
	defaultMaxInFlightPerTenant = 4096
	tenantLimitDelay            = time.Second
	minLimitDelay               = 50 * time.Millisecond // minimum retry delay beyond a rate limit; tokens become available a few at a time
	notReadyDelay               = time.Second
)

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.MaxInFlightPerTenant == 0 {
		o.MaxInFlightPerTenant = defaultMaxInFlightPerTenant
	}
	if o.Memory == nil {
		o.Memory = requestmemory.NewMemory(requestmemory.DefaultLimit)
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = httpapi.DefaultMaxHeaderBytes
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = httpapi.DefaultBodyTimeout
	}
	return o
}

// gateway is the handler's state, safe for concurrent use.
type gateway struct {
	service      Service
	activeBundle func() *bundle.Snapshot
	options      Options
	metrics      *metrics
	inFlight     inFlightLimit
}

// New returns the handler of the callers' API. activeBundle returns the active
// configuration, or nil before there is one.
func New(service Service, activeBundle func() *bundle.Snapshot, options Options) http.Handler {
	options = options.withDefaults()
	g := &gateway{
		service:      service,
		activeBundle: activeBundle,
		options:      options,
		metrics:      newMetrics(options.Registerer),
		inFlight:     inFlightLimit{limit: int64(options.MaxInFlightPerTenant)},
	}
	return g.routes()
}

func (g *gateway) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/programs", g.handle("create_program", g.authenticated(g.createProgram)))
	mux.Handle("GET /v1/programs/{program}", g.handle("get_program", g.authenticated(g.getProgram)))
	mux.Handle("DELETE /v1/programs/{program}", g.handle("end_program", g.authenticated(g.endProgram)))
	mux.Handle("PUT /v1/programs/{program}/calls/{sequence}", g.handle(routeExecuteCall, g.authenticated(g.executeCall)))
	mux.Handle("GET /v1/programs/{program}/calls/{sequence}", g.handle(routeGetCall, g.authenticated(g.getCall)))

	mux.Handle("/v1/programs", g.handle("other", methodNotAllowed("POST")))
	mux.Handle("/v1/programs/{program}", g.handle("other", methodNotAllowed("GET, DELETE")))
	mux.Handle("/v1/programs/{program}/calls/{sequence}", g.handle("other", methodNotAllowed("GET, PUT")))
	mux.Handle("/", g.handle("other", pathNotFound))
	return mux
}

func methodNotAllowed(allowed string) endpoint {
	return func(x *exchange) (answer, error) {
		x.writer.Header().Set("Allow", allowed)
		return answer{}, api.Errorf(api.MethodNotAllowed, "the path takes %s", allowed)
	}
}

func pathNotFound(*exchange) (answer, error) {
	return answer{}, api.Errorf(api.PathNotFound, "")
}
