package main

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/standin/engine"
)

// engineCommand runs one model engine. The fault flags set the faults at
// start; POST /faults changes them later.
type engineCommand struct {
	listenFlags
	machineFlags
	Models        []string      `name:"model" help:"Models that it serves, separated by commas." required:""`
	MaxModels     int           `help:"Models that fit beside each other; 0 is no limit." default:"0"`
	Role          string        `help:"What it does." enum:"prefill,decode,both" default:"both"`
	MaxRunning    int           `help:"Sequences in the batch." default:"8"`
	MaxWaiting    int           `help:"Requests that may wait; more are refused." default:"1024"`
	CacheTokens   int64         `help:"Cache memory, in tokens." default:"65536"`
	PrefillRate   float64       `help:"Prefill speed, in tokens per second; 0 takes no time." default:"8000"`
	DecodeRate    float64       `help:"Decode speed of one stream, in tokens per second; 0 takes no time." default:"200"`
	BatchSlowdown float64       `help:"Share by which each further stream slows decoding." default:"0.05"`
	HoldTimeout   time.Duration `help:"How long cache is held for a program that is not heard of." default:"10m"`
	AnswerTokens  int64         `help:"Usual length of an answer, in tokens." default:"32"`
	LoadLag       time.Duration `help:"How old a load report may be." default:"200ms"`
	EventDelay    time.Duration `help:"By how much cache events are late." default:"100ms"`
	LoadTime      time.Duration `help:"Time to load a model or adapter." default:"1s"`
	SlowFactor    float64       `help:"Fault: factor by which all work is slower." default:"1"`
	Refuse        bool          `help:"Fault: refuse every request."`
	DropEvents    float64       `help:"Fault: share of cache events, 0 to 1, that are never published." default:"0"`
	Seed          uint64        `help:"Seed of the random faults." default:"1"`
}

// Run implements the verb.
func (e *engineCommand) Run(streams command.Streams) error {
	started := engine.New(e.options())
	defer started.Close()
	started.SetFaults(engine.Faults{
		SlowFactor:      e.SlowFactor,
		Refuse:          e.Refuse,
		DropEventsShare: e.DropEvents,
		Seed:            e.Seed,
	})
	return e.serve(streams, standIn{role: "engine", handler: started.Handler(), machine: e.machineFlags})
}

func (e *engineCommand) options() engine.Options {
	return engine.Options{
		Name:          e.Name,
		Zone:          e.Zone,
		Models:        e.Models,
		MaxModels:     e.MaxModels,
		Role:          e.Role,
		MaxRunning:    e.MaxRunning,
		MaxWaiting:    e.MaxWaiting,
		CacheTokens:   e.CacheTokens,
		PrefillRate:   e.PrefillRate,
		DecodeRate:    e.DecodeRate,
		BatchSlowdown: e.BatchSlowdown,
		HoldTTL:       e.HoldTimeout,
		AnswerTokens:  e.AnswerTokens,
		LoadLag:       e.LoadLag,
		EventDelay:    e.EventDelay,
		LoadTime:      e.LoadTime,
	}
}
