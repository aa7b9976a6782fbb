package command

import (
	"fmt"

	"github.com/alecthomas/kong"
)

// Run parses and executes one command line of the program with the given name and description.
// commandLine points to a kong struct whose fields are the verbs. It returns the exit code.
func Run(name, description string, commandLine any, arguments []string, streams Streams) int {
	parser, err := kong.New(commandLine,
		kong.Name(name),
		kong.Description(description),
		kong.Writers(streams.Out, streams.Err),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return ExitFailure
	}
	return execute(parser, arguments, streams)
}

// execute parses one command line, runs its verb with the streams, and
// returns the exit code.
func execute(parser *kong.Kong, arguments []string, streams Streams) int {
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
