package planner

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/modelplan"
)

// Limits of requests to engines.
const (
	pollTimeout  = time.Second
	orderTimeout = 2 * time.Second
	parallelism  = 32
	// reportMaxAge is the age from which a report is not used.
	reportMaxAge = 10 * time.Second
)

// engine is one engine of the cell and its last report.
type engine struct {
	url        string
	client     *backend.EngineClient
	report     backend.Load
	reportedAt time.Time // when the report was requested
}

// collectInput polls the engines and the members, and builds the input of a plan.
func (p *Planner) collectInput(ctx context.Context, snapshot *bundle.Snapshot) modelplan.Input {
	configured := p.enginesOfCell(snapshot)
	p.updateEngines(configured)
	p.poll(ctx)
	demand, demandComplete := p.options.Demand(ctx)
	input := modelplan.Input{Now: time.Now(), Demand: demand, DemandComplete: demandComplete}
	for _, model := range snapshot.Bundle.Models {
		input.Models = append(input.Models, planModel(model))
	}
	for _, config := range configured {
		input.Engines = append(input.Engines, p.engines[config.Name].planEngine(config, p.options.Leaving(config.Name), input.Now))
	}
	return input
}

func (p *Planner) enginesOfCell(snapshot *bundle.Snapshot) []bundle.Engine {
	var configured []bundle.Engine
	for _, config := range snapshot.Bundle.Engines {
		if config.Cell == p.options.Cell {
			configured = append(configured, config)
		}
	}
	return configured
}

// updateEngines replaces the set of engines by those of the bundle. An engine
// whose URL is unchanged keeps its client and last report.
func (p *Planner) updateEngines(configured []bundle.Engine) {
	updated := make(map[string]*engine, len(configured))
	for _, config := range configured {
		existing := p.engines[config.Name]
		if existing == nil || existing.url != config.URL {
			existing = &engine{url: config.URL, client: backend.NewEngineClient(config.URL, p.options.Client)}
		}
		updated[config.Name] = existing
	}
	p.engines = updated
}

// poll reads every engine's report. An engine that does not respond keeps its last one.
func (p *Planner) poll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(parallelism)
	for _, polled := range p.engines {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			requestedAt := time.Now()
			if report, err := polled.client.Load(ctx); err == nil {
				polled.report = report
				polled.reportedAt = requestedAt
			}
			return nil
		})
	}
	_ = group.Wait() // its functions return no error
}

func (e *engine) planEngine(config bundle.Engine, leaving bool, now time.Time) modelplan.Engine {
	planned := modelplan.Engine{
		Name:       config.Name,
		Zone:       config.Zone,
		Allowed:    config.Models,
		MaxModels:  config.MaxModels,
		WantedRole: config.Role,
		Report:     e.report,
	}
	fresh := !e.reportedAt.IsZero() && now.Sub(e.reportedAt) < reportMaxAge
	planned.Usable = fresh && !leaving && !e.report.Leaving
	return planned
}

func planModel(model bundle.Model) modelplan.Model {
	planned := modelplan.Model{
		Name:        model.Name,
		Version:     model.Version,
		MinReady:    model.MinReadyEngines,
		WeightBytes: model.WeightBytes,
	}
	for _, adapter := range model.Adapters {
		planned.Adapters = append(planned.Adapters, modelplan.Adapter(adapter))
	}
	return planned
}

// sendOrders sends the orders concurrently, as each goes to another engine. An
// error means that a newer planner has taken over the cell.
func (p *Planner) sendOrders(ctx context.Context, orders []modelplan.Order, version uint64) error {
	var mutex sync.Mutex
	var superseded error
	var group errgroup.Group
	group.SetLimit(parallelism)
	for _, planned := range orders {
		client := p.engines[planned.Engine].client
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			err := client.Order(ctx, planned.Order)
			p.recordOrder(planned, version, err)
			if isFenced(err) {
				mutex.Lock()
				defer mutex.Unlock()
				superseded = err
			}
			return nil
		})
	}
	_ = group.Wait() // its functions return no error
	return superseded
}
