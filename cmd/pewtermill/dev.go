package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/examples"
	"github.com/pewtermill/pewtermill/internal/client"
	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/command/devcluster"
	"github.com/pewtermill/pewtermill/internal/script"
)

// Time limits of the dev verb.
const (
	devStartTimeout = 30 * time.Second
	devStopTimeout  = 30 * time.Second
)

// devCommand runs a whole deployment in one process.
type devCommand struct {
	Script   string `name:"run" help:"Run this script of an agent program, print its answer, cost and decisions, and exit." type:"existingfile" placeholder:"FILE"`
	Nodes    int    `help:"Number of nodes." default:"3"`
	LogLevel string `help:"Least level of the nodes' log: debug, info, warn or error." default:"warn"`
}

// Run implements the verb.
func (d *devCommand) Run(streams command.Streams) error {
	if d.Nodes < 1 {
		return errors.Mark(errors.Newf("--nodes: %d is not allowed; allowed: 1 or more", d.Nodes), command.ErrUsage)
	}
	loaded, err := d.loadScript()
	if err != nil {
		return errors.Mark(err, command.ErrUsage)
	}
	signals, stopSignals := command.Signals()
	defer stopSignals()
	cluster, err := d.start(streams)
	if err != nil {
		return err
	}
	defer cluster.Close()
	if loaded == nil {
		if err := printCluster(streams.Out, cluster); err != nil {
			return err
		}
		return command.StopOnSignal(signals, nil, devStopTimeout, cluster.Drain)
	}
	return runScript(streams.Out, cluster, loaded, signals)
}

// loadScript returns the script to run, or nil if the flag names none.
func (d *devCommand) loadScript() (*script.Script, error) {
	if d.Script == "" {
		return nil, nil
	}
	source, err := os.ReadFile(d.Script)
	if err != nil {
		return nil, errors.Wrap(err, "read script")
	}
	loaded, err := script.Decode(source)
	return loaded, errors.Wrapf(err, "script %s", d.Script)
}

func (d *devCommand) start(streams command.Streams) (*devcluster.Cluster, error) {
	logger, err := command.NewLogger(streams.Err, d.LogLevel)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), devStartTimeout)
	defer cancel()
	return devcluster.Start(ctx, devcluster.Options{
		Bundle: examples.DevBundle,
		Nodes:  d.Nodes,
		Logger: logger,
	})
}

// printCluster prints the addresses and keys of the cluster.
func printCluster(w io.Writer, cluster *devcluster.Cluster) error {
	table := command.NewTable(w, "NODE", "ZONE", "CALLERS", "OPERATORS")
	for _, started := range cluster.Nodes {
		table.Row(started.Name, started.Zone, started.CallerURL, started.OperatorURL)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\nTenant key:   %s\nOperator key: %s\nPlatform:     %s\n\n"+
		"In another shell:\n  export PEWTERMILL_NODE=%s PEWTERMILL_KEY=%s\n  pewtermill status\n  pewtermill watch\n\n"+
		"Interrupt to stop.\n",
		devcluster.TenantKey, devcluster.OperatorKey, cluster.PlatformURL,
		cluster.Nodes[0].OperatorURL, devcluster.OperatorKey)
	return errors.Wrap(err, "print addresses")
}

// runScript runs the script against the first node until it ends or a signal
// arrives, prints the report, and drains the cluster.
func runScript(w io.Writer, cluster *devcluster.Cluster, loaded *script.Script, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	caller := client.New(cluster.Nodes[0].CallerURL, loaded.Key)
	report, err := script.Run(ctx, caller, loaded, script.Options{RunID: loaded.Name, Stream: true})
	if printErr := printReport(w, cluster, loaded, report); printErr != nil {
		return errors.CombineErrors(err, printErr)
	}
	if err != nil {
		return err
	}
	drainContext, cancelDrain := context.WithTimeout(ctx, devStopTimeout)
	defer cancelDrain()
	return cluster.Drain(drainContext)
}
