// Command pewtermill is a scheduler for agent programs: the node that serves
// them, a whole deployment in one process to try it, and the operators' verbs.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/pewtermill/pewtermill/internal/command"
)

// commandLine is the verbs of the program; each has a file of its own.
type commandLine struct {
	Node    nodeCommand    `cmd:"" help:"Run one node until SIGTERM or SIGINT; a second signal ends it at once."`
	Dev     devCommand     `cmd:"" help:"Run a whole deployment in this process on loopback: nodes, platform, engines and tools."`
	Program programCommand `cmd:"" help:"Show programs."`
	Explain explainCommand `cmd:"" help:"Show why a call was placed, queued or refused as it was."`
	Watch   watchCommand   `cmd:"" help:"Print decisions as they are made, until interrupted."`
	Status  statusCommand  `cmd:"" help:"Show nodes and engines as one node sees them."`
	Version versionCommand `cmd:"" help:"Print the version of this program."`
}

func main() {
	os.Exit(run(os.Args[1:], command.Streams{Out: os.Stdout, Err: os.Stderr}))
}

// run executes one command line and returns the exit code.
func run(arguments []string, streams command.Streams) int {
	var commandLine commandLine
	parser, err := newParser(&commandLine, streams.Out)
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return command.ExitFailure
	}
	context, err := parser.Parse(arguments)
	if err != nil {
		fmt.Fprintf(streams.Err, "%s: %v (see %s --help)\n", parser.Model.Name, err, parser.Model.Name)
		return command.ExitUsage
	}
	if err := context.Run(streams); err != nil {
		command.PrintError(streams.Err, err)
		return command.ExitCode(err)
	}
	return command.ExitOK
}

// newParser builds the parser; help goes to out.
func newParser(commandLine *commandLine, out io.Writer) (*kong.Kong, error) {
	return kong.New(commandLine,
		kong.Name("pewtermill"),
		kong.Description("A scheduler for agent programs."),
		kong.Writers(out, out),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
}
