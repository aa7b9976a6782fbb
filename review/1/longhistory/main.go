// Command longhistory has programs whose recorded turns take more than one answer of the store, stops the process that
// serves them as planned, and continues the programs at all processes.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
	"github.com/pewtermill/pewtermill/review/stand"
)

// Figures of a program: the largest ones that the sheet of the site names for its recorded turns. 47 turns of 26,000 bytes
// are 1.2 MB.
const (
	mainTurns     = 8      // of the program's own line; the last of them comes after the stop
	inputBytes    = 26_000 // of a turn
	fanWidth      = 10     // sub-agents that run side by side
	subAgentTurns = 2
	events        = 8
	maxTokens     = 288
	budget        = 1_000_000
	route         = "kept"
	programs      = 3
	seed          = 58 // of the requests' ids
)

// fansOut are the turns of the program's own line after which it starts sub-agents.
var fansOut = map[int]bool{2: true, 4: true}

func main() { stand.Main(run) }

func run(ctx context.Context, options stand.Options) (stand.Outcome, error) {
	store := operators.NewStore()
	defer store.Server.Close()
	paged := stand.PagedStore(store)
	defer paged.Close()
	bed, err := stand.New(options, store, stand.AddressOf(paged))
	if err != nil {
		return stand.Outcome{}, err
	}
	defer bed.Close()
	engines := bed.StartEngines(stand.Service, events, 0)
	defer engines.Close()
	bed.Configure(1, []operators.Route{{Name: route, Kind: "stream", Service: stand.Service, Timeout: 4 * time.Second, Attempts: 1, Retention: stand.Retention}}, stand.Service)
	if err := bed.StartProcesses(ctx); err != nil {
		return stand.Outcome{}, err
	}
	random := rand.New(rand.NewPCG(seed, 0))
	var running []*program
	for number := range programs {
		p := newProgram(fmt.Sprintf("p%d", number+1), bed, engines, random)
		if err := p.beforeStop(ctx, bed.Processes[0]); err != nil {
			return stand.Outcome{}, err
		}
		running = append(running, p)
	}
	if options.Trouble {
		if err := restart(ctx, bed.Processes[0]); err != nil {
			return stand.Outcome{}, err
		}
	}
	return afterStop(ctx, bed, running), nil
}

// restart stops a process as planned and starts it again.
func restart(ctx context.Context, p *stand.Process) error {
	p.Stop()
	if err := p.Start(); err != nil {
		return err
	}
	return p.WaitReady(ctx)
}

// afterStop sends the last turn of each program. The rule is broken if the answer is that the previous turn does not
// exist; the program then ends, as its client sends nothing more.
func afterStop(ctx context.Context, bed *stand.Bed, running []*program) stand.Outcome {
	missing := 0
	for number, p := range running {
		process := bed.Processes[0] // without the disruption, clients stay at their process
		if bed.Options.Trouble {
			process = bed.Processes[(number+1)%len(bed.Processes)]
		}
		last := p.answered[p.last]
		reply := p.turn(ctx, process, "main", p.last)
		age := time.Since(last.at)
		switch {
		case (reply.Status == 404 || reply.Status == 410) && age < stand.Retention:
			missing++
			bed.Log("LOST: %s answers %d to %s for turn %s, answered whole %.1f s ago: %s", process.Node, reply.Status, p.name, last.id, age.Seconds(), reply.Body)
		case reply.Status == 200 && !p.ranWhole(p.last):
			bed.Log("UNASKED: an engine ran %s without the whole conversation", p.last)
		}
	}
	text := fmt.Sprintf("%d of %d programs were told that their last turn does not exist", missing, len(running))
	bed.Log("%s", text)
	return stand.Outcome{Broken: missing > 0, Text: text}
}

// answeredTurn is a turn that was answered whole.
type answeredTurn struct {
	id, history string // history: the inputs and outputs of the chain up to this turn
	at          time.Time
}

// program is one program of the client.
type program struct {
	name    string
	bed     *stand.Bed
	engines *stand.Engines

	mutex    sync.Mutex
	random   *rand.Rand
	answered map[string]answeredTurn
	last     string // turn of the program's own line
}

func newProgram(name string, bed *stand.Bed, engines *stand.Engines, random *rand.Rand) *program {
	return &program{name: name, bed: bed, engines: engines, random: random, answered: make(map[string]answeredTurn)}
}

// newID returns an id as the pages show them.
func (p *program) newID() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return fmt.Sprintf("%016x", p.random.Uint64())
}

// beforeStop sends all turns of the program but the last of its own line.
func (p *program) beforeStop(ctx context.Context, process *stand.Process) error {
	for number := range mainTurns - 1 {
		previous := p.last
		p.turn(ctx, process, "main", previous)
		if p.last == previous {
			return errors.Newf("turn %d of %s was not answered whole before the disruption", number, p.name)
		}
		if fansOut[number] {
			p.fanOut(ctx, process, p.last)
		}
	}
	if want := mainTurns - 1 + len(fansOut)*fanWidth*subAgentTurns; len(p.answered) != want {
		return errors.Newf("%d turns of %s were answered whole before the disruption, want %d", len(p.answered), p.name, want)
	}
	return nil
}

// fanOut runs sub-agents side by side, which continue from a turn.
func (p *program) fanOut(ctx context.Context, process *stand.Process, parent string) {
	var all sync.WaitGroup
	for number := range fanWidth {
		all.Go(func() {
			previous := parent
			for range subAgentTurns {
				id := p.newID()
				p.send(ctx, process, id, fmt.Sprintf("%s-sub-%d", parent, number), previous)
				previous = id
			}
		})
	}
	all.Wait()
}

// turn sends the next turn of the program's own line.
func (p *program) turn(ctx context.Context, process *stand.Process, session, previous string) operators.Reply {
	id := p.newID()
	reply := p.send(ctx, process, id, session, previous)
	if _, whole := p.answered[id]; whole {
		p.last = id
	}
	return reply
}

// send sends one turn, and keeps it if its answer was whole and its engine had got the whole conversation.
func (p *program) send(ctx context.Context, process *stand.Process, id, session, previous string) operators.Reply {
	input := id + " " + strings.Repeat("factura ", inputBytes/8)[:inputBytes-len(id)-1]
	reply := p.bed.Send(ctx, process, stand.Turn{ID: id, Route: route, Program: p.name, Session: session, Previous: previous, Input: input, Budget: budget, MaxTokens: maxTokens})
	p.mutex.Lock()
	defer p.mutex.Unlock()
	prompt := p.answered[previous].history + input
	ran, found := p.engines.RunOf(id)
	if reply.Status == 200 && reply.Complete && len(reply.Events) == events && found && ran.Body == prompt {
		p.answered[id] = answeredTurn{id: id, history: prompt + strings.Join(reply.Events, "\n") + "\n", at: time.Now()}
	}
	return reply
}

// ranWhole reports whether an engine ran a turn with the whole conversation before it.
func (p *program) ranWhole(id string) bool {
	_, whole := p.answered[id]
	return whole
}
