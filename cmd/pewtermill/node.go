package main

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/cmd/pewtermill/earlysignal"
	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/node"
	"github.com/pewtermill/pewtermill/internal/settings"
)

// nodeCommand runs one node. Each flag except --settings overrides the setting
// of the same name.
type nodeCommand struct {
	Settings        string        `help:"Settings file (YAML). Flags replace what it says." type:"existingfile" placeholder:"FILE"`
	Name            string        `help:"Name of this node, unique in the fleet."`
	Cell            string        `help:"Cell of the bundle that this node belongs to."`
	Zone            string        `help:"Zone of the bundle that this node runs in."`
	CallerAddress   string        `help:"IP:port for callers." placeholder:"IP:PORT"`
	OperatorAddress string        `help:"IP:port for operators." placeholder:"IP:PORT"`
	PeerAddress     string        `help:"IP:port for other nodes." placeholder:"IP:PORT"`
	Seeds           []string      `help:"Peer addresses of nodes to join by, separated by commas." name:"seed" placeholder:"IP:PORT"`
	PlatformURL     string        `help:"Base URL of the platform's services." name:"platform-url" placeholder:"URL"`
	ClusterKey      string        `help:"Secret that all nodes share; better given in the file or the environment." env:"PEWTERMILL_CLUSTER_KEY"`
	LogLevel        string        `help:"Least level that is logged: debug, info, warn or error."`
	DrainTimeout    time.Duration `help:"Longest planned stop."`
	MemoryMB        int           `help:"Memory of the machine in MiB, which bounds what callers may hold." name:"memory-mb" placeholder:"MIB"`
}

// Run implements the verb.
func (n *nodeCommand) Run(streams command.Streams) error {
	nodeSettings, err := n.readSettings()
	if err != nil {
		return err
	}
	logger, err := command.NewLogger(streams.Err, nodeSettings.LogLevel)
	if err != nil {
		return err
	}
	if limit := node.MachineOf(nodeSettings).CollectedMemoryBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	started, err := node.New(nodeSettings, node.Dependencies{Logger: logger})
	if err != nil {
		return err
	}
	defer started.Close()
	return serve(started, nodeSettings.DrainTimeout, earlysignal.Stops())
}

// serve starts the node and drains it on a signal. A signal also ends a start that waits for an address.
func serve(started *node.Node, drainTimeout time.Duration, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- started.Start(ctx) }()
	select {
	case err := <-done:
		if err != nil {
			return errors.Wrap(err, "start node")
		}
	case <-signals:
		cancel()
		if err := <-done; err != nil {
			return nil // told to stop before it served
		}
		drainContext, endDrain := context.WithTimeout(context.Background(), drainTimeout)
		defer endDrain()
		return errors.Wrap(started.Drain(drainContext), "drain")
	}
	return command.StopOnSignal(signals, nil, drainTimeout, started.Drain)
}

// readSettings returns the checked settings from file and flags.
func (n *nodeCommand) readSettings() (settings.Settings, error) {
	var fromFile settings.Settings
	if n.Settings != "" {
		var err error
		fromFile, err = settings.Read(n.Settings)
		if err != nil {
			return settings.Settings{}, errors.Mark(err, command.ErrUsage)
		}
	}
	nodeSettings := fromFile.Override(n.flags()).WithDefaults()
	if problems := settings.Check(nodeSettings); problems != nil {
		return settings.Settings{}, errors.Mark(errors.Newf("invalid settings:\n%v", problems), command.ErrUsage)
	}
	return nodeSettings, nil
}

// flags returns the flags as settings; a flag that is not given is zero.
func (n *nodeCommand) flags() settings.Settings {
	return settings.Settings{
		Name:            n.Name,
		Cell:            n.Cell,
		Zone:            n.Zone,
		CallerAddress:   n.CallerAddress,
		OperatorAddress: n.OperatorAddress,
		PeerAddress:     n.PeerAddress,
		Seeds:           n.Seeds,
		PlatformURL:     n.PlatformURL,
		ClusterKey:      n.ClusterKey,
		LogLevel:        n.LogLevel,
		DrainTimeout:    n.DrainTimeout,
		MemoryMB:        n.MemoryMB,
	}
}
