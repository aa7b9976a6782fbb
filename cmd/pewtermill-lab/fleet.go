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
	Measure        time.Duration `help:"Length of each steady measurement." default:"6s"`
	ChurnSizes     []int         `help:"Numbers of hollow nodes that are measured under churn." default:"3,10,50"`
}

// fleetReport is what the verb prints as JSON.
type fleetReport struct {
	Steady []fleet.Steady `json:"steady"`
	Churn  []fleet.Churn  `json:"churn"`
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
	for _, size := range f.ChurnSizes {
		churn, err := fleet.MeasureChurn(ctx, options, size)
		if err != nil {
			return err
		}
		report.Churn = append(report.Churn, churn)
	}
	return f.Print(streams.Out, report, func(w io.Writer) error { return printFleet(w, report) })
}

func printFleet(w io.Writer, report fleetReport) error {
	if err := printSteady(w, report.Steady); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return printChurn(w, report.Churn)
}

func printChurn(w io.Writer, rows []fleet.Churn) error {
	fmt.Fprintln(w, "One change of the bundle, for one node; then churn: bundles change, nodes restart, one is killed")
	table := command.NewTable(w, "NODES", "CHANGE CPU MS", "CHANGE PEER B", "CORE % QUIET", "CORE % CHURN", "PEER B/S QUIET",
		"PEER B/S CHURN", "CHANGES/S", "IN FORCE P50", "IN FORCE MAX", "REJOIN P50", "REJOIN MAX", "DEATH SEEN")
	for _, row := range rows {
		table.Row(row.Nodes, fmt.Sprintf("%.1f", row.Change.ProcessorMillis), fmt.Sprintf("%.0f", row.Change.PeerBytes),
			fmt.Sprintf("%.2f", row.Quiet.CorePercent), fmt.Sprintf("%.2f", row.Busy.CorePercent),
			fmt.Sprintf("%.0f", row.Quiet.PeerBytes), fmt.Sprintf("%.0f", row.Busy.PeerBytes),
			fmt.Sprintf("%.2f", row.Changes),
			seconds(row.InForce.Median), seconds(row.InForce.Max),
			seconds(row.Rejoin.Median), seconds(row.Rejoin.Max), seconds(row.Detect.Max))
	}
	return table.Flush()
}

func seconds(value float64) string { return fmt.Sprintf("%.2f s", value) }

func printSteady(w io.Writer, rows []fleet.Steady) error {
	fmt.Fprintln(w, "Steady state, each figure for one node")
	table := command.NewTable(w, "NODES", "CORE %", "HEAP MB", "STACKS MB", "GOROUTINES", "PEER B/S", "SEGMENTS/S", "ENGINE REQ/S", "TABLE OPS/S", "TABLE KB/S", "ALLOC KB/S")
	for _, row := range rows {
		table.Row(row.Nodes, fmt.Sprintf("%.2f", row.CorePercent), megabytes(row.HeapBytes), megabytes(row.StackBytes),
			fmt.Sprintf("%.0f", row.Goroutines), fmt.Sprintf("%.0f", row.PeerBytes), fmt.Sprintf("%.1f", row.Segments),
			fmt.Sprintf("%.1f", row.EngineRequests), fmt.Sprintf("%.2f", row.TableOperations),
			fmt.Sprintf("%.1f", row.TableBytes/1000), fmt.Sprintf("%.0f", row.AllocatedPerSec/1000))
	}
	return table.Flush()
}

func megabytes(bytes float64) string { return fmt.Sprintf("%.2f", bytes/1e6) }
