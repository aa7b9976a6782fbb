package simulation

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/scheduler"
	"github.com/pewtermill/pewtermill/internal/standin/engine"
)

// Settings configures one Run.
type Settings struct {
	Deployment Deployment
	Policy     scheduler.PolicyName
	Weights    bundle.Scheduling
	Nodes      int
	// Observation is Digests if empty.
	Observation Observation
	Workload    *Workload // shared between runs; a Run does not change it
	Retention   bundle.Retention

	// Rate is the mean arrival rate of root programs per second of virtual time. If it is zero,
	// Concurrent programs are active at the same time instead: the end of one starts the next.
	Rate       float64
	Concurrent int
}

// run is one simulation in progress.
type run struct {
	settings    Settings
	deployment  *Deployment
	models      []string
	clock       clock
	index       *backend.Index
	engines     map[string]*simulatedEngine
	engineList  []*simulatedEngine
	nodes       []*node
	measure     *measure
	nextProgram int // index of the next program to start, with Concurrent
	unfinished  int // root programs that have not ended
	failure     error
}

// maxRunTime limits a run in virtual time. Every program ends long before it, because clients time
// out.
const maxRunTime = 30 * 24 * time.Hour

// Run simulates until every program has completed or was rejected.
func Run(settings Settings) (*Result, error) {
	if settings.Nodes <= 0 || len(settings.Workload.Programs) == 0 {
		return nil, errors.New("a run needs at least one node and one program")
	}
	if settings.Rate <= 0 && settings.Concurrent <= 0 {
		return nil, errors.New("a run needs an arrival rate or a number of concurrent programs")
	}
	r := newRun(settings)
	r.startEngines()
	r.startNodes()
	if settings.Rate > 0 {
		r.scheduleArrivals()
	} else {
		r.startConcurrent()
	}
	for r.unfinished > 0 && r.failure == nil {
		r.clock.step()
		if r.clock.now.Sub(epoch) > maxRunTime {
			return nil, errors.Newf("%d programs have not ended after %s", r.unfinished, maxRunTime)
		}
	}
	if r.failure != nil {
		return nil, r.failure
	}
	return r.measure.result(r), nil
}

func newRun(settings Settings) *run {
	r := &run{
		settings:   settings,
		deployment: &settings.Deployment,
		models:     []string{settings.Deployment.Model},
		clock:      clock{now: epoch},
		index:      backend.NewIndex(0),
		engines:    make(map[string]*simulatedEngine),
		unfinished: len(settings.Workload.Programs),
	}
	r.measure = newMeasure(r.deployment)
	zones := r.deployment.Zones
	for i := range r.deployment.Engines {
		e := &simulatedEngine{
			run:    r,
			number: i,
			name:   fmt.Sprintf("engine-%02d", i+1),
			zone:   zones[i%len(zones)],
			model:  engine.NewModel(r.deployment.Engine, epoch),
			calls:  make(map[string]*call),
		}
		r.engines[e.name] = e
		r.engineList = append(r.engineList, e)
	}
	return r
}

// newNode returns a node whose core is configured as the dispatcher configures it.
func (r *run) newNode(name, zone string, view *fleetView) *node {
	core := scheduler.New(r.settings.Policy, r.settings.Weights, name)
	core.SetIndex(view)
	core.SetDistances(func(a, b string) float64 {
		if a == b {
			return 0
		}
		return r.deployment.DistanceMillis
	})
	core.SetClassWorth(func(class string) float64 { return r.deployment.class(class).Worth })
	core.SetTenantWeight(func(name string) float64 {
		for _, tenant := range r.deployment.Tenants {
			if tenant.Name == name {
				return tenant.Weight
			}
		}
		return 1
	})
	retainer := scheduler.NewRetainer()
	retainer.SetRetention(r.settings.Retention)
	return &node{run: r, name: name, zone: zone, core: core, view: view, calls: make(map[string]*call), retainer: retainer}
}

// every runs act after first and then at the interval until the run ends.
func (r *run) every(interval, first time.Duration, act func()) {
	r.clock.after(first, func() {
		act()
		r.every(interval, interval, act)
	})
}

// warmUp is the time at which the first programs arrive: after the first reports and the heartbeats
// that distribute them.
const warmUp = 3 * time.Second

// scheduleArrivals schedules the start of each program at its arrival time.
func (r *run) scheduleArrivals() {
	for number, shape := range r.settings.Workload.Programs {
		at := warmUp + time.Duration(shape.Arrival/r.settings.Rate*float64(time.Second))
		r.measure.lastArrival = epoch.Add(at)
		r.clock.at(epoch.Add(at), func() { r.startRoot(number, shape) })
	}
}

// startConcurrent starts the first Concurrent programs.
func (r *run) startConcurrent() {
	r.clock.after(warmUp, func() {
		for range min(r.settings.Concurrent, len(r.settings.Workload.Programs)) {
			r.startNext()
		}
	})
}

func (r *run) startNext() {
	number := r.nextProgram
	r.nextProgram++
	r.startRoot(number, r.settings.Workload.Programs[number])
}

// programEnded counts the end of a root program and starts the next one if Rate is zero.
func (r *run) programEnded(p *program) {
	r.measure.recordEnd(p)
	r.unfinished--
	if r.settings.Rate <= 0 && r.nextProgram < len(r.settings.Workload.Programs) {
		r.startNext()
	}
}

// delay returns the one-way network latency between two zones.
func (r *run) delay(a, b string) time.Duration {
	if a == b {
		return 0
	}
	return time.Duration(r.deployment.DistanceMillis * float64(time.Millisecond))
}

// fail ends the run with an error. The first error is kept.
func (r *run) fail(err error) {
	if r.failure == nil {
		r.failure = err
	}
}
