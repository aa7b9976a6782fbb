package main

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/explain"
)

// watchCommand prints decisions as they are made.
type watchCommand struct {
	command.Remote
	command.Output
	Program string `help:"Only decisions about this program and its sub-agents." placeholder:"ID"`
}

// Run implements the verb.
func (w *watchCommand) Run(streams command.Streams) error {
	ctx, cancel := command.Interruptible()
	defer cancel()
	encoder := json.NewEncoder(streams.Out)
	err := w.Client().Watch(ctx, func(decision explain.Decision) {
		if !w.wants(decision) {
			return
		}
		if w.Output.Output == command.FormatJSON {
			_ = encoder.Encode(decision) // a closed pipe ends the process by signal
			return
		}
		command.DecisionLine(streams.Out, decision)
	})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// wants reports whether the decision is about what the user watches.
func (w *watchCommand) wants(decision explain.Decision) bool {
	return w.Program == "" || command.InProgram(decision.Program, w.Program)
}
