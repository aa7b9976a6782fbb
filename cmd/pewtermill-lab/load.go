package main

import (
	"io"
	"os"
	"runtime"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/scheduler"
	"github.com/pewtermill/pewtermill/internal/simulation"
)

// bothDeployments selects all deployments, one experiment after the other.
const bothDeployments = "both"

// loadCommand compares scheduling policies in virtual time.
type loadCommand struct {
	command.Output
	Deployment  string    `help:"Whose workload." enum:"ibarra,cwmwl,both" default:"both"`
	Load        []float64 `help:"Offered loads, as shares of saturation." default:"0.8,1.0,1.2"`
	Seeds       int       `help:"Number of seeds, counted from 1." default:"3"`
	Policies    []string  `help:"Policies to compare." enum:"program_aware,round_robin,least_loaded,session_affinity" default:"program_aware,round_robin,least_loaded,session_affinity"`
	Programs    int       `help:"Root programs in each run." default:"2000"`
	Nodes       int       `help:"Nodes that share the engines; 0 means one for each zone." default:"0"`
	Observation string    `help:"How nodes learn about engines: by digests in heartbeats, as they do, or all polling all." enum:"digests,polling" default:"digests"`
	CacheTokens int64     `help:"Cache memory of each engine, in tokens; 0 means the deployment's." default:"0"`
	Bundle      string    `help:"Bundle from which to take the scheduling weights; empty means the defaults." type:"existingfile" optional:""`
	HoldCost    float64   `help:"Under program_aware, cost of the memory that a paused program's cache takes; 0 keeps every cache." default:"0"`
	Parallel    int       `help:"Runs at the same time; 0 means one for each processor." default:"0"`
}

// Run implements the verb.
func (l *loadCommand) Run(streams command.Streams) error {
	names := []string{l.Deployment}
	if l.Deployment == bothDeployments {
		names = []string{simulation.IbarraName, simulation.CwmwlName}
	}
	var reports []*simulation.Report
	for _, name := range names {
		experiment, err := l.experiment(name)
		if err != nil {
			return err
		}
		report, err := experiment.Run()
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	return l.Print(streams.Out, reports, func(w io.Writer) error {
		for _, report := range reports {
			if err := report.Write(w); err != nil {
				return err
			}
		}
		return nil
	})
}

// experiment returns the experiment for one deployment.
func (l *loadCommand) experiment(name string) (*simulation.Experiment, error) {
	deployment, err := simulation.DeploymentNamed(name)
	if err != nil {
		return nil, err
	}
	if l.CacheTokens > 0 {
		deployment.Engine.CacheTokens = l.CacheTokens
	}
	weights, err := l.weights()
	if err != nil {
		return nil, err
	}
	experiment := &simulation.Experiment{
		Deployment:  deployment,
		Weights:     weights,
		Observation: simulation.Observation(l.Observation),
		Loads:       l.Load,
		Seeds:       l.Seeds,
		Programs:    l.Programs,
		Nodes:       l.Nodes,
		Parallel:    l.Parallel,
		Retention:   bundle.Retention{HoldCost: l.HoldCost},
	}
	if experiment.Parallel <= 0 {
		experiment.Parallel = runtime.GOMAXPROCS(0)
	}
	for _, policy := range l.Policies {
		experiment.Policies = append(experiment.Policies, scheduler.PolicyName(policy))
	}
	return experiment, nil
}

// weights returns the scheduling weights of the bundle, if one is given. The
// policy named in the bundle is ignored.
func (l *loadCommand) weights() (bundle.Scheduling, error) {
	if l.Bundle == "" {
		return bundle.Scheduling{}, nil
	}
	source, err := os.ReadFile(l.Bundle)
	if err != nil {
		return bundle.Scheduling{}, errors.Wrap(err, "read bundle")
	}
	decoded, err := bundle.Decode(source)
	if err != nil {
		return bundle.Scheduling{}, err
	}
	return decoded.Scheduling, nil
}
