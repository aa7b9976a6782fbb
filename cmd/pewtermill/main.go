// Command pewtermill is a scheduler for agent programs. It runs a node, or a
// whole deployment in one process for trials, and offers the operators' verbs.
package main

import (
	"os"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/command/bundlecmd"
)

// commandLine holds the verbs of the program; each has its own file.
type commandLine struct {
	Node    nodeCommand       `cmd:"" help:"Run one node until SIGTERM or SIGINT; a second signal ends it at once."`
	Serve   serveCommand      `cmd:"" help:"Serve callers on the operators' platform until SIGTERM or SIGINT."`
	Logs    logsCommand       `cmd:"" help:"Explain requests from the logs of nodes."`
	Dev     devCommand        `cmd:"" help:"Run a whole deployment in this process on loopback: nodes, platform, engines and tools."`
	Bundle  bundlecmd.Command `cmd:"" help:"Check, compare, sign and submit bundles of configuration."`
	Program programCommand    `cmd:"" help:"Show programs."`
	Explain explainCommand    `cmd:"" help:"Show why a call was placed, queued or refused as it was."`
	Watch   watchCommand      `cmd:"" help:"Print decisions as they are made, until interrupted."`
	Status  statusCommand     `cmd:"" help:"Show nodes and engines as one node sees them."`
	Version versionCommand    `cmd:"" help:"Print the version of this program."`
}

func main() {
	os.Exit(run(os.Args[1:], command.Streams{Out: os.Stdout, Err: os.Stderr}))
}

// run executes one command line and returns the exit code.
func run(arguments []string, streams command.Streams) int {
	return command.Run("pewtermill", "A scheduler for agent programs.", new(commandLine), arguments, streams)
}
