package main

import (
	"fmt"
	"io"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/explain"
)

// explainCommand shows every decision about one call or program.
type explainCommand struct {
	command.Remote
	command.Output
	Program  string `arg:"" help:"Program id."`
	Sequence int64  `arg:"" help:"Number of the call; 0 for all of them." default:"0"`
}

// Run implements the verb.
func (e *explainCommand) Run(streams command.Streams) error {
	ctx, cancel := command.RequestContext()
	defer cancel()
	decisions, err := e.Client().Explain(ctx, e.Program, e.Sequence)
	if err != nil {
		return err
	}
	return e.Print(streams.Out, decisions, func(w io.Writer) error { return printCards(w, decisions) })
}

// printCards prints all fields of each decision.
func printCards(w io.Writer, decisions []explain.Decision) error {
	if len(decisions) == 0 {
		_, err := fmt.Fprintln(w, "No node remembers a decision about it.")
		return err
	}
	for i, decision := range decisions {
		if i > 0 {
			fmt.Fprintln(w)
		}
		explain.WriteDecision(w, decision)
	}
	return nil
}
