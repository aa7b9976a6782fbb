// Command garbage has some engines answer a few requests with bytes that are no answer, and counts how often the platform
// ends a process because it is over its memory.
package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
	"github.com/pewtermill/pewtermill/review/stand"
)

// The disruption: garble with share 0.5 and x 0.03 for 5.5 s, several times.
const (
	faultyEngines = 3  // beside as many sound ones
	spoiledOneIn  = 33 // answers of a faulty engine
	spellLength   = 5500 * time.Millisecond
	spellInterval = 11 * time.Second
	spells        = 6
	// An engine that sends no answer sends garbageBytes each garbageInterval, 40 MB a second, until its caller closes the
	// connection: a third of what the link of a machine carries.
	garbageBytes    = 400_000
	garbageInterval = 10 * time.Millisecond
)

// Figures of the traffic, for each process.
const (
	turnInterval = 70 * time.Millisecond
	events       = 8
	eventPause   = 10 * time.Millisecond
	maxTokens    = 72
	budget       = 1000
	route        = "reel"
)

// The rule counts machines on which processes end by themselves three times: a tenth of them, two at least.
const (
	endsThatCount     = 3
	machinesThatCount = 2
)

func main() { stand.Main(run) }

func run(ctx context.Context, options stand.Options) (stand.Outcome, error) {
	store := operators.NewStore()
	defer store.Server.Close()
	bed, err := stand.New(options, store, store.Address())
	if err != nil {
		return stand.Outcome{}, err
	}
	defer bed.Close()
	engines := bed.StartEngines(stand.Service, events, eventPause)
	defer engines.Close()
	var garbling atomic.Bool
	for number := range faultyEngines {
		faulty := engines.Add(fmt.Sprintf("faulty-%d", number+1), stand.Zones[number])
		spoil(bed, faulty, engines, &garbling)
	}
	bed.Configure(1, []operators.Route{{Name: route, Kind: "stream", Service: stand.Service, Timeout: 4 * time.Second, Attempts: 1}}, stand.Service)
	if err := bed.StartProcesses(ctx); err != nil {
		return stand.Outcome{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, spells*spellInterval)
	defer cancel()
	var tasks sync.WaitGroup
	for _, process := range bed.Processes {
		tasks.Go(func() { process.Supervise(ctx) })
		tasks.Go(func() { sendTurns(ctx, bed, process) })
	}
	if options.Trouble {
		tasks.Go(func() { alternate(ctx, bed, &garbling) })
	}
	tasks.Wait()
	return judge(bed), nil
}

// alternate turns the disruption on and off until ctx ends.
func alternate(ctx context.Context, bed *stand.Bed, garbling *atomic.Bool) {
	for ctx.Err() == nil {
		garbling.Store(true)
		bed.Log("garble begins")
		wait(ctx, spellLength)
		garbling.Store(false)
		bed.Log("garble ends")
		wait(ctx, spellInterval-spellLength)
	}
}

func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// spoil makes an engine answer one request in spoiledOneIn with garbage during the disruption.
func spoil(bed *stand.Bed, engine *operators.Engine, engines *stand.Engines, garbling *atomic.Bool) {
	var answers atomic.Int64
	engine.SetHandler(func(writer http.ResponseWriter, request *http.Request) bool {
		if !garbling.Load() || answers.Add(1)%spoiledOneIn != 0 {
			return engines.Handle(engine.ID, writer, request)
		}
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return false
		}
		defer conn.Close()
		garbage, sent := bytes.Repeat([]byte("#"), garbageBytes), 0
		for err == nil {
			var count int
			count, err = conn.Write(garbage)
			sent += count
			time.Sleep(garbageInterval)
		}
		bed.Log("%s answered %s with %d bytes that are no answer", engine.ID, request.Header.Get("X-Request-Id"), sent)
		return true
	})
}

// sendTurns sends first turns of programs to a process until ctx ends.
func sendTurns(ctx context.Context, bed *stand.Bed, process *stand.Process) {
	var open sync.WaitGroup
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s-%d", process.Node, number)
		open.Go(func() {
			bed.Send(context.WithoutCancel(ctx), process, stand.Turn{ID: id, Route: route, Program: id, Session: "s", Input: "which goals?", Budget: budget, MaxTokens: maxTokens})
		})
		wait(ctx, turnInterval)
	}
	open.Wait()
}

// judge counts the machines on which processes ended by themselves as often as the rule says.
func judge(bed *stand.Bed) stand.Outcome {
	machines, text := 0, ""
	for _, process := range bed.Processes {
		ends := process.OwnEnds()
		if ends >= endsThatCount {
			machines++
		}
		text += fmt.Sprintf("%s ended %d times; ", process.Node, ends)
	}
	text += fmt.Sprintf("%d machines count", machines)
	bed.Log("%s", text)
	return stand.Outcome{Broken: machines >= machinesThatCount, Text: text}
}
