// Package command holds code shared by the verbs of the command lines: exit
// codes, output as tables or JSON, logs, signals, and access to a node.
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
	ExitUsage   = 2   // invalid flags, arguments or settings
	ExitStopped = 130 // stopped immediately by a second signal

)

// ErrUsage marks errors in the user's input: flags, arguments, settings.
var ErrUsage = errors.New("usage")

// ErrStopped is returned if a second signal stopped a process before its drain ended.
var ErrStopped = errors.New("stopped immediately by a second signal")

// ExitCode returns the exit code for a verb's error; the error may supply its own as a kong.ExitCoder.
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

// PrintError writes a verb's error for people. For a node's refusal it adds
// the meaning of the code, whether the call was executed, and when to retry.
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
