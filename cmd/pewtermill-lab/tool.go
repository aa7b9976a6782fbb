package main

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/standin/tool"
)

// toolCommand runs one tool service. The fault flags set the faults at start;
// POST /faults changes them later.
type toolCommand struct {
	listenFlags
	machineFlags
	Tools  []string      `name:"tool" help:"Tools that it serves, separated by commas; any if left out."`
	Delay  time.Duration `help:"Time of each execution." default:"50ms"`
	Hang   bool          `help:"Fault: executions never end."`
	Fail   bool          `help:"Fault: executions report failure."`
	Refuse bool          `help:"Fault: refuse every request."`
}

// Run implements the verb.
func (t *toolCommand) Run(streams command.Streams) error {
	started := tool.New(tool.Options{Name: t.Name, Tools: t.Tools, Delay: t.Delay})
	started.SetFaults(tool.Faults{Hang: t.Hang, Fail: t.Fail, Refuse: t.Refuse})
	return t.serve(streams, standIn{role: "tool", handler: started.Handler(), machine: t.machineFlags})
}
