package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/ownership"
)

// Bounds of one tool call.
const (
	maxToolAttempts  = 3
	toolRetryPause   = 100 * time.Millisecond
	toolRetryLimit   = time.Second
	lookupTimeout    = 3 * time.Second
	maxLookups       = 3
	unlimitedWorkers = 1 << 20
)

// tools runs tool calls. The set of tools is replaced as a whole when a bundle is activated.
type tools struct {
	options  Options
	services atomic.Pointer[map[string]*toolService]
}

// toolService is one configured tool with its client and its concurrency slots.
type toolService struct {
	config bundle.Tool
	client *backend.ToolClient
	slots  chan struct{}
}

func newTools(options Options) *tools {
	t := &tools{options: options}
	t.services.Store(&map[string]*toolService{})
	return t
}

func (t *tools) apply(snapshot *bundle.Snapshot) {
	old := *t.services.Load()
	next := make(map[string]*toolService, len(snapshot.Bundle.Tools))
	for _, config := range snapshot.Bundle.Tools {
		if unchanged, ok := old[config.Name]; ok && unchanged.config == config {
			next[config.Name] = unchanged
			continue
		}
		slots := config.MaxConcurrent
		if slots <= 0 {
			slots = unlimitedWorkers
		}
		next[config.Name] = &toolService{
			config: config,
			client: backend.NewToolClient(config.URL, t.options.Client),
			slots:  make(chan struct{}, slots),
		}
	}
	t.services.Store(&next)
}

type recordFunc func(work ownership.Work, decision explain.Decision)

// execute runs a tool call. A call that is not repeatable is sent at most once: it is retried only if it
// was certainly not sent.
func (t *tools) execute(ctx context.Context, work ownership.Work, retries *retries, record recordFunc) ownership.Outcome {
	service, ok := (*t.services.Load())[work.Request.Target]
	if !ok {
		return ownership.Outcome{Refusal: api.Errorf(api.UnknownTarget, "no tool %q", work.Request.Target)}
	}
	select {
	case service.slots <- struct{}{}:
		defer func() { <-service.slots }()
	case <-ctx.Done():
		return ownership.Outcome{Refusal: api.Errorf(api.DeadlineExceeded, "%s while it waited for the tool", cancelDetail(ctx)).WithRetryAfter(backendRetryAfter)}
	}
	record(work, explain.Decision{Kind: explain.Placed, Chosen: service.config.Name, Reason: "the only service of this tool"})
	return t.attempt(ctx, service, work, retries, record)
}

func (t *tools) attempt(ctx context.Context, service *toolService, work ownership.Work, retries *retries, record recordFunc) ownership.Outcome {
	request := backend.ToolRequest{
		Tool:           service.config.Name,
		IdempotencyKey: work.Key,
		Epoch:          work.Header.Epoch,
		Input:          work.Request.Input,
	}
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		result, err := service.client.Run(ctx, request)
		if err == nil {
			return toolOutcome(service.config.Name, result)
		}
		mayHaveRun = mayHaveRun || !isRefusal(err)
		stop := mayHaveRun && !work.Repeatable || ctx.Err() != nil || attempt == maxToolAttempts
		if stop || attempt > freeAttempts && !retries.spend() {
			return t.finalOutcome(ctx, service, work, err, mayHaveRun)
		}
		record(work, explain.Decision{Kind: explain.Retried, Chosen: service.config.Name, Reason: err.Error()})
		backoff.Wait(ctx, backoff.FullJitter(toolRetryPause, toolRetryLimit, attempt))
	}
}

// finalOutcome returns the outcome of a call whose attempts failed. If the call may have run, the tool is
// queried for its outcome.
func (t *tools) finalOutcome(ctx context.Context, service *toolService, work ownership.Work, err error, mayHaveRun bool) ownership.Outcome {
	if !mayHaveRun {
		if ctx.Err() != nil {
			return ownership.Outcome{Refusal: api.Errorf(api.DeadlineExceeded, "%s before the tool accepted it", cancelDetail(ctx)).WithRetryAfter(backendRetryAfter)}
		}
		return ownership.Outcome{Refusal: api.Errorf(api.NoReadyBackend, "tool %s: %v", service.config.Name, err).WithRetryAfter(backendRetryAfter)}
	}
	if outcome, ok := t.lookup(context.WithoutCancel(ctx), service.config.Name, work.Key); ok {
		return outcome
	}
	return ownership.Outcome{Code: api.OutcomeUnknown, Detail: err.Error(), Backend: service.config.Name}
}

func toolOutcome(name string, result backend.ToolResult) ownership.Outcome {
	outcome := ownership.Outcome{Code: api.OK, Result: result.Result, Backend: name}
	if result.Failed {
		outcome.Code = api.BackendFailed
		outcome.Detail = "the tool reported failure"
	}
	return outcome
}

// lookup queries a tool that supports it for the outcome under an idempotency key. "No record" does not
// mean that the call will never run, since it may still be in transit; so it counts as unknown.
func (t *tools) lookup(ctx context.Context, name, key string) (ownership.Outcome, bool) {
	service, ok := (*t.services.Load())[name]
	if !ok || !service.config.Lookup {
		return ownership.Outcome{}, false
	}
	for attempt := 1; attempt <= maxLookups; attempt++ {
		lookupContext, cancel := context.WithTimeout(ctx, lookupTimeout)
		result, err := service.client.Lookup(lookupContext, name, key)
		cancel()
		if err == nil {
			return toolOutcome(name, result), true
		}
		if errors.Is(err, backend.ErrNoRecord) {
			return ownership.Outcome{}, false
		}
		backoff.Wait(ctx, toolRetryPause)
	}
	return ownership.Outcome{}, false
}
