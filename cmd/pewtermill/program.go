package main

import (
	"io"
	"strings"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/command"
)

// programCommand holds the verbs about programs.
type programCommand struct {
	Show programShowCommand `cmd:"" help:"Show one program. Needs a caller address and its tenant's key."`
	List programListCommand `cmd:"" help:"List programs. Needs an operator address and an operator's key."`
}

type programShowCommand struct {
	command.Remote
	command.Output
	ID string `arg:"" help:"Program id, such as c1-0123456789abcdef." name:"id"`
}

// Run implements the verb.
func (p *programShowCommand) Run(streams command.Streams) error {
	ctx, cancel := command.RequestContext()
	defer cancel()
	program, err := p.Client().Program(ctx, p.ID)
	if err != nil {
		return err
	}
	return p.Print(streams.Out, program, func(w io.Writer) error { return printProgram(w, program) })
}

// printProgram prints one program, with one field per line.
func printProgram(w io.Writer, program api.Program) error {
	table := command.NewTable(w, "FIELD", "VALUE")
	table.Row("id", program.ID)
	table.Row("tenant", program.Tenant)
	table.Row("class", program.Class)
	table.Row("parent", command.OrDash(program.Parent))
	table.Row("sub-agents", command.OrDash(strings.Join(program.Children, ", ")))
	table.Row("status", program.Status)
	table.Row("budget", program.Budget)
	table.Row("spent", program.Spent)
	table.Row("reserved", program.Reserved)
	table.Row("calls", program.Calls)
	table.Row("next call", program.NextSequence)
	table.Row("tokens", program.Tokens)
	table.Row("owner", program.Owner)
	table.Row("epoch", program.Epoch)
	table.Row("created", program.CreatedAt.UTC().Format(time.RFC3339))
	return table.Flush()
}

type programListCommand struct {
	command.Remote
	command.Output
	Tenant string `help:"Only this tenant's programs."`
}

// Run implements the verb.
func (p *programListCommand) Run(streams command.Streams) error {
	ctx, cancel := command.RequestContext()
	defer cancel()
	programs, err := p.Client().Programs(ctx, p.Tenant)
	if err != nil {
		return err
	}
	return p.Print(streams.Out, programs, func(w io.Writer) error { return printPrograms(w, programs) })
}

// printPrograms prints one line for each program.
func printPrograms(w io.Writer, programs []api.Program) error {
	table := command.NewTable(w, "ID", "TENANT", "CLASS", "STATUS", "CALLS", "SPENT", "BUDGET", "OWNER", "EPOCH")
	for _, program := range programs {
		table.Row(program.ID, program.Tenant, program.Class, program.Status, program.Calls,
			program.Spent, program.Budget, program.Owner, program.Epoch)
	}
	return table.Flush()
}
