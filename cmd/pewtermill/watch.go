package main

import (
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
	ctx, cancel := command.SignalContext()
	defer cancel()
	decisions, err := w.Client().Watch(ctx, w.Program)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(streams.Out)
	for decision := range decisions {
		if err := w.printOne(streams, encoder, decision); err != nil {
			return err
		}
	}
	if ctx.Err() == nil {
		return errors.New("node ended the stream of decisions")
	}
	return nil
}

// printOne prints one decision as a line of text or of JSON.
func (w *watchCommand) printOne(streams command.Streams, encoder *json.Encoder, decision explain.Decision) error {
	if w.Output.Output == command.FormatJSON {
		return errors.Wrap(encoder.Encode(decision), "print decision")
	}
	command.PrintDecision(streams.Out, decision)
	return nil
}
