// Command pewtermill-lab runs stand-ins for the environment of pewtermill: the
// operator's platform, model engines and tool services. They are for tests
// and demonstrations; they do not persist anything.
package main

import (
	"os"

	"github.com/pewtermill/pewtermill/internal/command"
)

// commandLine holds the verbs of the program; each has its own file.
type commandLine struct {
	Platform    platformCommand    `cmd:"" help:"Run a platform: table, object store and machine list."`
	Engine      engineCommand      `cmd:"" help:"Run a model engine."`
	Tool        toolCommand        `cmd:"" help:"Run a tool service."`
	ReviewerKey reviewerKeyCommand `cmd:"" help:"Print the private key of a reviewer of the example bundles."`
	Load        loadCommand        `cmd:"" help:"Compare scheduling policies in virtual time."`
	Soak        soakCommand        `cmd:"" help:"Put faults to real processes, and check what is promised."`
}

func main() {
	os.Exit(run(os.Args[1:], command.Streams{Out: os.Stdout, Err: os.Stderr}))
}

// run executes one command line and returns the exit code.
func run(arguments []string, streams command.Streams) int {
	return command.Run("pewtermill-lab", "Stand-ins for what surrounds pewtermill, and experiments.", new(commandLine), arguments, streams)
}
