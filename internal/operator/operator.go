// Package operator serves the operators' HTTP API: the fleet's status, decisions, and
// the configuration bundle. It also serves the endpoints for probes and metrics,
// which need no key.
package operator

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/httpapi"
	"github.com/pewtermill/pewtermill/internal/requestmemory"
)

// Service implements the operators' requests. Its errors are *api.Error; any other error is
// reported as Internal. All methods are safe for concurrent use.
type Service interface {
	// Status describes the fleet as this node sees it.
	Status(ctx context.Context) api.FleetStatus
	// Programs lists programs; an empty tenant means all tenants.
	Programs(ctx context.Context, tenant string) ([]api.Program, error)
	// Explain returns the decisions about a program (empty: all programs) and one of
	// its calls (0: all).
	Explain(ctx context.Context, program string, sequence int64) ([]explain.Decision, error)
	// SubmitBundle activates a bundle if it passes its checks, has its
	// sign-offs and is based on the active version.
	SubmitBundle(ctx context.Context, signed bundle.Signed) (SubmitResult, error)
	// BundleStatus returns which version each member has.
	BundleStatus(ctx context.Context) (BundleStatus, error)
	// Watch returns decisions as they are made, and a function that ends
	// the subscription. The channel may be closed when the node stops.
	Watch() (<-chan explain.Decision, func())
	// Ready reports whether the node takes callers' work.
	Ready() bool
}

// SubmitResult is the response to an accepted bundle.
type SubmitResult struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"` // SHA-256 of the canonical form, hexadecimal
}

// BundleStatus is the response to GET /v1/operator/bundle/status.
type BundleStatus struct {
	Version uint64         `json:"version"` // active on the node that responds
	Digest  string         `json:"digest"`
	Members []MemberBundle `json:"members"`
}

// MemberBundle is the version that is active on one node, according to the last
// heartbeat that the responding node received from it.
type MemberBundle struct {
	Name      string    `json:"name"`
	Version   uint64    `json:"version"`
	LastHeard time.Time `json:"last_heard"`
}

const (
	notReadyDelay     = time.Second
	keepAliveInterval = 15 * time.Second
	maxBundleBytes    = httpapi.DefaultMaxBodyBytes
	maxBundlesBytes   = 4 * maxBundleBytes // that are received at the same time, together
	eventDecision     = "decision"
)

// Option configures the endpoint.
type Option func(*handler)

// WithLogger sets the logger for problems and panics; the default discards them.
func WithLogger(logger *slog.Logger) Option {
	return func(h *handler) { h.logger = logger }
}

// handler is the endpoint's state, safe for concurrent use.
type handler struct {
	service      Service
	activeBundle func() *bundle.Snapshot
	registry     *prometheus.Registry
	logger       *slog.Logger
	memory       *requestmemory.Memory // of the bodies of all requests
}

// New returns the operators' endpoint. activeBundle returns the active
// configuration, or nil before there is one; registry holds the metrics to publish.
func New(service Service, activeBundle func() *bundle.Snapshot, registry *prometheus.Registry, options ...Option) http.Handler {
	h := &handler{
		service:      service,
		activeBundle: activeBundle,
		registry:     registry,
		logger:       slog.New(slog.DiscardHandler),
		memory:       requestmemory.NewMemory(maxBundlesBytes),
	}
	for _, option := range options {
		option(h)
	}
	return h.routes()
}

func (h *handler) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/operator/status", h.handle(h.authenticated(h.status)))
	mux.Handle("GET /v1/operator/programs", h.handle(h.authenticated(h.programs)))
	mux.Handle("GET /v1/operator/explain", h.handle(h.authenticated(h.explain)))
	mux.Handle("GET /v1/operator/watch", h.handle(h.authenticated(h.watch)))
	mux.Handle("GET /v1/operator/bundle", h.handle(h.authenticated(h.bundle)))
	mux.Handle("POST /v1/operator/bundle", h.handle(h.authenticatedOnceConfigured(h.submitBundle)))
	mux.Handle("GET /v1/operator/bundle/status", h.handle(h.authenticated(h.bundleStatus)))
	mux.Handle("GET /livez", h.handle(h.live))
	mux.Handle("GET /readyz", h.handle(h.ready))
	mux.Handle("GET /metrics", promhttp.HandlerFor(h.registry, promhttp.HandlerOpts{}))

	for _, path := range []string{"status", "programs", "explain", "watch", "bundle/status"} {
		mux.Handle("/v1/operator/"+path, h.handle(methodNotAllowed("GET")))
	}
	for _, path := range []string{"/livez", "/readyz", "/metrics"} {
		mux.Handle(path, h.handle(methodNotAllowed("GET")))
	}
	mux.Handle("/v1/operator/bundle", h.handle(methodNotAllowed("GET, POST")))
	mux.Handle("/", h.handle(pathNotFound))
	return mux
}

func methodNotAllowed(allowed string) endpoint {
	return func(writer http.ResponseWriter, _ *http.Request) error {
		writer.Header().Set("Allow", allowed)
		return api.Errorf(api.MethodNotAllowed, "the path takes %s", allowed)
	}
}

func pathNotFound(http.ResponseWriter, *http.Request) error {
	return api.Errorf(api.PathNotFound, "")
}
