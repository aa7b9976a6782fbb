// Package dispatch runs calls at back ends: it queues model calls with the scheduler, sends them to the
// chosen engine, repeats only calls that may be repeated, and runs tool calls. It keeps the node's view
// of the engines.
package dispatch

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/ownership"
)

// Options configure a Dispatcher. All up to Logger are required.
type Options struct {
	Node     string
	Zone     string
	Cell     string
	InForce  func() *bundle.Snapshot
	Recorder explain.Recorder
	Logger   *slog.Logger
	Client   *http.Client // for engines and tools; nil takes a pooled one

	// Observes reports whether this node is assigned to observe an engine; nil means that it observes
	// all. The digests of other nodes arrive by Fleet.Receive.
	Observes func(engine string) bool
	// NotifyPeers is called when peers should be notified at once of an engine that is leaving or was
	// observed for the first time; it may be nil and must not block.
	NotifyPeers func()
}

// Dispatcher implements ownership.Executor. Safe for concurrent use.
type Dispatcher struct {
	Options
	fleet     *Fleet
	queue     *queue
	tools     *tools
	demand    *demandMeter
	retention *retention
	retries   *retries
}

// New returns a Dispatcher without engines; Apply sets those of a bundle.
func New(options Options) *Dispatcher {
	if options.Client == nil {
		options.Client = backend.NewHTTPClient()
	}
	d := &Dispatcher{Options: options, demand: newDemandMeter(), retries: newRetries()}
	d.fleet = newFleet(options)
	d.queue = newQueue(options, d.fleet)
	d.tools = newTools(options)
	d.retention = newRetention(options, d.fleet)
	return d
}

// Fleet returns the node's view of the engines.
func (d *Dispatcher) Fleet() *Fleet { return d.fleet }

// Apply activates a new bundle's engines, tools and weights.
func (d *Dispatcher) Apply(snapshot *bundle.Snapshot) {
	d.fleet.apply(snapshot)
	d.tools.apply(snapshot)
	d.queue.apply(snapshot)
	d.retention.apply(snapshot)
	d.retries.apply(snapshot)
}

// Run observes engines and advances the queue until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	go d.retention.run(ctx)
	d.queue.run(ctx)
	d.fleet.close()
}

// Execute implements ownership.Executor.
func (d *Dispatcher) Execute(ctx context.Context, work ownership.Work, onText func(offset int64, text string)) ownership.Outcome {
	if work.Request.Kind == api.KindTool {
		d.retention.toolCalled(ctx, work)
		return d.executeTool(ctx, work)
	}
	return d.executeModel(ctx, work, onText)
}

// executeTool runs a tool call and records a refusal. Refusals of model calls are recorded where they
// are decided, with the engines that were considered.
func (d *Dispatcher) executeTool(ctx context.Context, work ownership.Work) ownership.Outcome {
	d.retries.earn()
	outcome := d.tools.execute(ctx, work, d.retries, d.record)
	if outcome.Refusal != nil {
		d.recordRefusal(work, outcome.Refusal)
	}
	return outcome
}

// refuse records a refusal that did not come from the scheduler, and ends the call with it. mayHaveRun
// reports whether an earlier attempt may have run.
func (d *Dispatcher) refuse(work ownership.Work, refusal *api.Error, mayHaveRun bool) ownership.Outcome {
	d.recordRefusal(work, refusal)
	return refusalOutcome(refusal, mayHaveRun)
}

func (d *Dispatcher) recordRefusal(work ownership.Work, refusal *api.Error) {
	d.record(work, explain.Decision{Kind: explain.Refused, Code: int(refusal.Code), Reason: refusal.Detail})
}

// Lookup implements ownership.Executor.
func (d *Dispatcher) Lookup(ctx context.Context, tool, key string) (ownership.Outcome, bool) {
	return d.tools.lookup(ctx, tool, key)
}

// Engines implements ownership.Executor.
func (d *Dispatcher) Engines() []string {
	return slices.Collect(maps.Keys(*d.fleet.members.Load()))
}

// Release implements ownership.Executor: the program has ended. An engine that the bundle no longer
// names is skipped: what it holds is not used any more.
func (d *Dispatcher) Release(ctx context.Context, engine, program string) error {
	d.retention.programEnded(program)
	member, ok := d.fleet.engine(engine)
	if !ok {
		return nil
	}
	return errors.Wrapf(member.client.Release(ctx, program), "release at %s", engine)
}

// record adds the call's identity to a decision and keeps it.
func (d *Dispatcher) record(work ownership.Work, decision explain.Decision) {
	decision.At = time.Now()
	decision.Program = work.Header.ID
	decision.Tenant = work.Header.Tenant
	decision.Sequence = work.Sequence
	decision.Epoch = work.Header.Epoch
	decision.Target = work.Request.Target
	d.Recorder.Record(decision)
}

// isRefusal reports whether the back end certainly did not run the call.
func isRefusal(err error) bool {
	return errors.Is(err, backend.ErrRefused) || errors.Is(err, backend.ErrLeaving) || errors.Is(err, backend.ErrUnreachable)
}
