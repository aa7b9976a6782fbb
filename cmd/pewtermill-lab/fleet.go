package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/fleet"
)

// fleetCommand measures what control costs a node.
type fleetCommand struct {
	command.Output
	Sizes          []int         `help:"Numbers of hollow nodes, separated by commas." default:"4,16,64,128"`
	CellSize       int           `help:"Nodes in a cell." default:"16"`
	EnginesPerNode float64       `help:"Engines of a cell over its nodes." default:"6.43"`
	Measure        time.Duration `help:"Length of each steady measurement." default:"10s"`
}

// fleetReport is what the verb prints as JSON.
type fleetReport struct {
	Steady []fleet.Steady `json:"steady"`
}

// Run implements the verb.
func (f *fleetCommand) Run(streams command.Streams) error {
	ctx := context.Background()
	options := fleet.Options{CellSize: f.CellSize, EnginesPerNode: f.EnginesPerNode, Measure: f.Measure}
	var report fleetReport
	for _, size := range f.Sizes {
		steady, err := fleet.MeasureSteady(ctx, options, size)
		if err != nil {
			return err
		}
		report.Steady = append(report.Steady, steady)
	}
	return f.Print(streams.Out, report, func(w io.Writer) error { return printFleet(w, report) })
}

func printFleet(w io.Writer, report fleetReport) error {
	fmt.Fprintln(w, "Steady state, each figure for one node")
	table := command.NewTable(w, "NODES", "CORE %", "HEAP MB", "STACKS MB", "GOROUTINES", "PEER B/S", "SEGMENTS/S", "ENGINE REQ/S", "TABLE OPS/S", "TABLE KB/S", "ALLOC KB/S")
	for _, row := range report.Steady {
		table.Row(row.Nodes, fmt.Sprintf("%.2f", row.CorePercent), megabytes(row.HeapBytes), megabytes(row.StackBytes),
			fmt.Sprintf("%.0f", row.Goroutines), fmt.Sprintf("%.0f", row.PeerBytes), fmt.Sprintf("%.1f", row.Segments),
			fmt.Sprintf("%.1f", row.EngineRequests), fmt.Sprintf("%.2f", row.TableOperations),
			fmt.Sprintf("%.1f", row.TableBytes/1000), fmt.Sprintf("%.0f", row.AllocatedPerSec/1000))
	}
	return table.Flush()
}

func megabytes(bytes float64) string { return fmt.Sprintf("%.2f", bytes/1e6) }
