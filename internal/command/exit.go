// Package command holds what the verbs of the command lines share: exit
// codes, output as tables or JSON, logs, signals, and how to reach a node.
package command

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
)

// Exit codes of the command lines.
const (
	ExitOK      = 0
	ExitFailure = 1   // the verb failed
	ExitUsage   = 2   // flags, arguments or settings are not allowed
	ExitStopped = 130 // ended at once by a second signal

)

// ErrUsage marks errors in what the user gave: flags, arguments, settings.
var ErrUsage = errors.New("usage")

// ErrStopped is returned when a second signal ended a process at once.
var ErrStopped = errors.New("ended at once by a second signal")

// ExitCode returns the exit code for a verb's error, which may bring its own.
func ExitCode(err error) int {
	var coder kong.ExitCoder
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, ErrStopped):
		return ExitStopped
	case errors.As(err, &coder):
		return coder.ExitCode()
	}
	return ExitFailure
}

// PrintError writes a verb's error for people: a node's refusal with its
// code, what is known about execution, and when to come back.
func PrintError(w io.Writer, err error) {
	fmt.Fprintf(w, "error: %v\n", err)
	var refusal *api.Error
	if !errors.As(err, &refusal) {
		return
	}
	fmt.Fprintf(w, "  meaning:   %s\n", refusal.Code.Info().Meaning)
	fmt.Fprintf(w, "  execution: %s\n", refusal.Execution)
	if refusal.RetryAfter > 0 {
		fmt.Fprintf(w, "  retry in:  %s\n", refusal.RetryAfter)
	}
}
