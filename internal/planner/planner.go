// Package planner runs the planner of a cell: one member at a time reads what
// the engines hold, plans with package modelplan, and sends the orders.
// Membership determines which member that is; a row in the table gives each
// planner its own epoch, which fences its orders. If two members both consider
// themselves the planner, or one was paused, plans are delayed, but no copy that
// is needed is removed.
package planner

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/modelplan"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// DefaultPeriod is the time between two plans.
const DefaultPeriod = 3 * time.Second

// retakeDelay is how long a superseded planner leaves the cell to the newer
// one even if membership elects it, since views of the membership may differ
// temporarily.
const retakeDelay = 20 * time.Second

// Options configure a Planner. All but Client and Period are required.
type Options struct {
	Node        string
	Incarnation uint64 // of this process of the node
	Cell        string
	Table       tablestore.Table
	// Elected reports whether membership elects this node as the planner.
	Elected func() bool
	// InForce returns the active bundle, or nil if there is none yet.
	InForce func() *bundle.Snapshot
	// Demand returns the demand on the whole cell, and whether every member
	// that may be serving has reported its demand.
	Demand func(ctx context.Context) ([]modelplan.Demand, bool)
	// Leaving reports whether an engine is leaving according to another source
	// than its own reports.
	Leaving  func(engine string) bool
	Recorder explain.Recorder
	Logger   *slog.Logger
	Client   *http.Client  // for engines; nil means a new pooled client
	Period   time.Duration // zero means DefaultPeriod
}

// Planner plans while this node is elected. It is not safe for concurrent use.
type Planner struct {
	options Options
	engines map[string]*engine // by name

	plan     *modelplan.Planner // nil while this node has no epoch
	epoch    uint64
	retakeAt time.Time // earliest time to take an epoch
}

// New returns a planner without an epoch.
func New(options Options) *Planner {
	if options.Client == nil {
		options.Client = backend.NewHTTPClient()
	}
	if options.Period <= 0 {
		options.Period = DefaultPeriod
	}
	return &Planner{options: options, engines: map[string]*engine{}}
}

// Run makes a plan every period, with jitter, until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	for {
		p.Tick(ctx)
		pause := p.options.Period*3/4 + rand.N(p.options.Period/2)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// Tick makes one plan and sends its orders, if this node is the planner.
func (p *Planner) Tick(ctx context.Context) {
	snapshot := p.options.InForce()
	if snapshot == nil || snapshot.Bundle.ModelPlan.Disabled || !p.options.Elected() {
		p.plan = nil
		return
	}
	if p.plan == nil && !p.takeOver(ctx) {
		return
	}
	input := p.collectInput(ctx, snapshot)
	orders, err := p.plan.Plan(input, modelplan.Resolve(snapshot.Bundle.ModelPlan))
	if err != nil {
		p.stepDown(err)
		return
	}
	if err := p.sendOrders(ctx, orders, snapshot.Version()); err != nil {
		p.stepDown(err)
	}
}

// takeOver takes an epoch for this node. It returns false if the node must wait, or if the
// epoch cannot be taken.
func (p *Planner) takeOver(ctx context.Context) bool {
	now := time.Now()
	if now.Before(p.retakeAt) {
		return false
	}
	epoch, err := p.takeEpoch(ctx)
	if err != nil {
		p.options.Logger.Info("plan of the cell not taken over", "cell", p.options.Cell, "error", err.Error())
		return false
	}
	p.epoch = epoch
	p.plan = modelplan.New(epoch, now)
	p.options.Logger.Info("plan of the cell taken over", "cell", p.options.Cell, "epoch", epoch)
	return true
}

// stepDown resigns from the epoch in favour of a newer planner.
func (p *Planner) stepDown(err error) {
	p.options.Logger.Info("a newer planner has the cell", "cell", p.options.Cell, "epoch", p.epoch, "error", err.Error())
	p.plan = nil
	p.retakeAt = time.Now().Add(retakeDelay)
}

// recordOrder records the decision about an order, with the error of sending it.
func (p *Planner) recordOrder(planned modelplan.Order, version uint64, err error) {
	order := planned.Order
	if order.Action == backend.ActionRaiseFence {
		return
	}
	reason := order.Action + ": " + planned.Reason
	if err != nil {
		reason += " (" + err.Error() + ")"
	}
	p.options.Recorder.Record(explain.Decision{
		At:            time.Now(),
		Kind:          explain.OrderSent,
		Epoch:         p.epoch,
		Target:        order.Model + order.Adapter + order.Role,
		Chosen:        planned.Engine,
		Reason:        reason,
		BundleVersion: version,
	})
}

// isFenced reports whether an engine has accepted a newer planner's orders.
// After any other error it is unknown whether the engine accepted the order;
// its reports will show it.
func isFenced(err error) bool { return errors.Is(err, backend.ErrFenced) }
