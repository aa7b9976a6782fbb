package main

import (
	"fmt"
	"io"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/command/devcluster"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/script"
)

// printReport prints a script's answer, its calls and cost, its programs,
// and the timeline of the decisions about them.
func printReport(w io.Writer, cluster *devcluster.Cluster, loaded *script.Script, report script.Report) error {
	fmt.Fprintf(w, "Answer of %s\n  %s\n\n", loaded.Name, report.Answer)
	if err := printCalls(w, report); err != nil {
		return err
	}
	if err := printCosts(w, report); err != nil {
		return err
	}
	ctx, cancel := command.RequestContext()
	defer cancel()
	decisions, err := cluster.Decisions(ctx, report.Programs)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "Decisions")
	explain.Timeline(w, decisions)
	return nil
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
