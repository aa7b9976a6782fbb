package main

import (
	"fmt"
	"io"

	"github.com/pewtermill/pewtermill/internal/client"
	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/command/devcluster"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/script"
)

// printReport prints a script's answer, its calls and their cost, its programs,
// and the timeline of the decisions about each program.
func printReport(w io.Writer, cluster *devcluster.Cluster, loaded *script.Script, report script.Report) error {
	fmt.Fprintf(w, "Answer of %s\n  %s\n\n", loaded.Name, report.Answer)
	if err := printCalls(w, report); err != nil {
		return err
	}
	if err := printCosts(w, report); err != nil {
		return err
	}
	return printTimelines(w, cluster, report)
}

// printCalls prints one line for each call.
func printCalls(w io.Writer, report script.Report) error {
	table := command.NewTable(w, "PROGRAM", "CALL", "BACK END", "PROMPT", "CACHED", "COMPLETION", "COST", "RESULT")
	for _, result := range report.Results {
		table.Row(result.Program, result.Sequence, result.Backend, result.Usage.PromptTokens,
			result.Usage.CachedTokens, result.Usage.CompletionTokens, result.Cost, result.Code)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\nTotal cost %d, in millionths of the currency unit.\n\n", report.Cost())
	return err
}

// printCosts prints one line for each program.
func printCosts(w io.Writer, report script.Report) error {
	table := command.NewTable(w, "PROGRAM", "PARENT", "STATUS", "CALLS", "SPENT", "BUDGET", "OWNER")
	for _, program := range report.Programs {
		table.Row(program.ID, command.OrDash(program.Parent), program.Status, program.Calls,
			program.Spent, program.Budget, program.Owner)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}

// printTimelines prints the decisions about each program. The first node
// collects them from all nodes.
func printTimelines(w io.Writer, cluster *devcluster.Cluster, report script.Report) error {
	ctx, cancel := command.RequestContext()
	defer cancel()
	operator := client.New(cluster.Nodes[0].OperatorURL, devcluster.OperatorKey)
	for _, program := range report.Programs {
		decisions, err := operator.Explain(ctx, program.ID, 0)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "Decisions about %s\n", program.ID)
		explain.WriteTimeline(w, decisions)
		fmt.Fprintln(w)
	}
	return nil
}
