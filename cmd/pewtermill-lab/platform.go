package main

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/standin/platform"
)

// platformCommand runs the platform. The fault flags set the faults at start;
// POST /faults changes them later.
type platformCommand struct {
	listenFlags
	MachineLag            time.Duration `help:"How late the machine list is." default:"500ms"`
	HistoryLimit          int           `help:"How many committed transactions GET /history shows." default:"0"`
	Down                  bool          `help:"Fault: refuse everything."`
	Slow                  time.Duration `help:"Fault: delay every answer."`
	TransactionsPerSecond float64       `help:"Fault: refuse commits over this rate; 0 is no limit." default:"0"`
	LoseReplyShare        float64       `help:"Fault: share of commits, 0 to 1, that take effect without a reply." default:"0"`
	LateApply             time.Duration `help:"Fault: half of the commits without reply take effect up to this late."`
	Seed                  uint64        `help:"Seed of the random faults." default:"1"`
}

// Run implements the verb.
func (p *platformCommand) Run(streams command.Streams) error {
	started := platform.New(platform.Options{MachineLag: p.MachineLag, HistoryLimit: p.HistoryLimit})
	started.SetFaults(platform.Faults{
		Down:                  p.Down,
		SlowMillis:            p.Slow.Milliseconds(),
		TransactionsPerSecond: p.TransactionsPerSecond,
		LoseReplyShare:        p.LoseReplyShare,
		LateApplyMillis:       p.LateApply.Milliseconds(),
		Seed:                  p.Seed,
	})
	return p.serve(streams, standIn{role: "platform", handler: started.Handler()})
}
