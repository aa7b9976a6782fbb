package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/command"
)

// statusCommand shows the nodes and engines of the fleet.
type statusCommand struct {
	command.Remote
	command.Output
}

// Run implements the verb.
func (s *statusCommand) Run(streams command.Streams) error {
	ctx, cancel := command.RequestContext()
	defer cancel()
	status, err := s.Client().Status(ctx)
	if err != nil {
		return err
	}
	return s.Print(streams.Out, status, func(w io.Writer) error { return printStatus(w, status) })
}

// printStatus prints a heading, a table of nodes and a table of engines.
func printStatus(w io.Writer, status api.FleetStatus) error {
	fmt.Fprintf(w, "As node %s of cell %s sees it; bundle version %d (%.12s)\n\n",
		status.Node, status.Cell, status.BundleVersion, status.BundleDigest)
	if err := printMembers(w, status.Members); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return printEngines(w, status.Engines)
}

func printMembers(w io.Writer, members []api.MemberStatus) error {
	table := command.NewTable(w, "NODE", "ZONE", "ADDRESS", "STATE", "BUNDLE", "PROGRAMS", "LAST HEARD")
	for _, member := range members {
		table.Row(member.Name, member.Zone, member.Address, member.State, member.BundleVersion,
			member.Programs, fmt.Sprintf("%.1f s", member.LastHeardSecs))
	}
	return table.Flush()
}

func printEngines(w io.Writer, engines []api.EngineStatus) error {
	table := command.NewTable(w, "ENGINE", "ZONE", "STATE", "MODELS", "RUNNING", "WAITING", "IN FLIGHT")
	for _, engine := range engines {
		table.Row(engine.Name, engine.Zone, engine.State, strings.Join(engine.Models, ","),
			engine.Running, engine.Waiting, engine.InFlight)
	}
	return table.Flush()
}
