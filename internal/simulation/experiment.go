package simulation

import (
	"slices"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// Experiment compares policies: it runs every policy under every load and seed.
type Experiment struct {
	Deployment Deployment
	Policies   []scheduler.PolicyName
	Loads      []float64 // offered load divided by the saturation rate
	Seeds      int       // number of seeds, from 1 to Seeds
	Programs   int       // root programs in one run
	Nodes      int       // 0 means one per zone
	Weights    bundle.Scheduling
	// Observation is Digests if empty.
	Observation Observation
	Parallel    int              // number of concurrent runs
	Retention   bundle.Retention // under program_aware; other policies keep all caches
}

// Report is the result of an Experiment.
type Report struct {
	Deployment string       `json:"deployment"`
	Nodes      int          `json:"nodes"`
	Engines    int          `json:"engines"`
	Programs   int          `json:"programs"`
	Seeds      int          `json:"seeds"`
	Saturation Spread       `json:"saturation_programs_per_second"`
	Cells      []ReportCell `json:"cells"`
	Aims       []Comparison `json:"aims,omitempty"`
}

// ReportCell holds the results of one policy under one load, over all seeds.
type ReportCell struct {
	Load    float64              `json:"load"`
	Policy  scheduler.PolicyName `json:"policy"`
	Results []*Result            `json:"results"` // by seed
}

// Spread is the mean of a metric over the seeds, with its minimum and maximum.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// SpreadOf returns the spread of values. It panics if values is empty.
func SpreadOf(values []float64) Spread {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return Spread{Mean: sum / float64(len(values)), Min: slices.Min(values), Max: slices.Max(values)}
}

// Spread returns the spread of a metric over the cell's seeds.
func (c *ReportCell) Spread(metric func(*Result) float64) Spread {
	values := make([]float64, len(c.Results))
	for i, result := range c.Results {
		values[i] = metric(result)
	}
	return SpreadOf(values)
}

// saturationConcurrency lists the numbers of active root programs per engine slot that are tried to
// find the saturation rate. Programs pause for tools and spawn sub-agents, so the number that keeps
// the engines busy is not known in advance.
var saturationConcurrency = [...]float64{0.5, 1, 2, 4}

// Run runs the cells of the experiment in parallel. Each cell is deterministic, and so is the
// report.
func (x *Experiment) Run() (*Report, error) {
	if err := x.check(); err != nil {
		return nil, err
	}
	nodes := x.Nodes
	if nodes <= 0 {
		nodes = len(x.Deployment.Zones)
	}
	workloads := make([]*Workload, x.Seeds)
	for seed := range workloads {
		workloads[seed] = NewWorkload(&x.Deployment, x.Programs, uint64(seed+1))
	}
	saturation, err := x.saturation(workloads, nodes)
	if err != nil {
		return nil, err
	}
	report := &Report{
		Deployment: x.Deployment.Name,
		Nodes:      nodes,
		Engines:    x.Deployment.Engines,
		Programs:   x.Programs,
		Seeds:      x.Seeds,
		Saturation: SpreadOf(saturation),
	}
	var work errgroup.Group
	work.SetLimit(max(1, x.Parallel))
	for _, load := range x.Loads {
		for _, policy := range x.Policies {
			cell := ReportCell{Load: load, Policy: policy, Results: make([]*Result, x.Seeds)}
			report.Cells = append(report.Cells, cell)
			for seed, workload := range workloads {
				settings := x.settings(policy, workload, nodes)
				settings.Rate = load * saturation[seed]
				work.Go(func() (err error) {
					cell.Results[seed], err = Run(settings)
					return err
				})
			}
		}
	}
	if err := work.Wait(); err != nil {
		return nil, err
	}
	report.Aims = report.compareWithBaselines()
	return report, nil
}

// check returns an error if the experiment cannot run.
func (x *Experiment) check() error {
	if x.Seeds < 1 || x.Programs < 1 || len(x.Loads) == 0 || len(x.Policies) == 0 {
		return errors.New("an experiment needs at least one seed, program, load and policy")
	}
	for _, load := range x.Loads {
		if load <= 0 {
			return errors.Newf("load %g is not positive", load)
		}
	}
	return nil
}

// saturation returns, for each workload, the maximum number of programs per second that the engines
// complete under least_loaded: the highest throughput over all values of saturationConcurrency.
func (x *Experiment) saturation(workloads []*Workload, nodes int) ([]float64, error) {
	throughputs := make([][len(saturationConcurrency)]float64, len(workloads))
	var work errgroup.Group
	work.SetLimit(max(1, x.Parallel))
	for seed, workload := range workloads {
		for i, perSlot := range saturationConcurrency {
			settings := x.settings(scheduler.LeastLoaded, workload, nodes)
			settings.Concurrent = max(1, int(perSlot*float64(x.Deployment.slots())))
			work.Go(func() error {
				result, err := Run(settings)
				if err != nil {
					return err
				}
				throughputs[seed][i] = result.ProgramsPerSecond
				return nil
			})
		}
	}
	if err := work.Wait(); err != nil {
		return nil, err
	}
	saturation := make([]float64, len(workloads))
	for seed := range throughputs {
		saturation[seed] = slices.Max(throughputs[seed][:])
	}
	return saturation, nil
}

func (x *Experiment) settings(policy scheduler.PolicyName, workload *Workload, nodes int) Settings {
	return Settings{
		Deployment:  x.Deployment,
		Policy:      policy,
		Weights:     x.Weights,
		Observation: x.Observation,
		Nodes:       nodes,
		Workload:    workload,
		Retention:   x.retention(policy),
	}
}

func (x *Experiment) retention(policy scheduler.PolicyName) bundle.Retention {
	if policy != scheduler.ProgramAware {
		return bundle.Retention{}
	}
	return x.Retention
}
