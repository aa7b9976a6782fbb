package command

import (
	"fmt"

	"github.com/alecthomas/kong"
)

// Execute parses one command line, runs its verb, which gets the streams, and
// returns the exit code.
func Execute(parser *kong.Kong, arguments []string, streams Streams) int {
	parsed, err := parser.Parse(arguments)
	if err != nil {
		fmt.Fprintf(streams.Err, "error: %v\nSee %s --help.\n", err, parser.Model.Name)
		return ExitUsage
	}
	if err := parsed.Run(streams); err != nil {
		PrintError(streams.Err, err)
		return ExitCode(err)
	}
	return ExitOK
}
