package main

import (
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Size of the cases in which a process is lost while programs are under way.
const (
	programCount  = 60
	tokensPerTurn = 36 // four events of nine tokens
	turnsBefore   = 2  // of each program, before the process is lost
	engineSlots   = 12 // as the engines state
	firstTurns    = 40 // of other programs, meanwhile
)

// outcome is what one turn came to, after all its tries.
type outcome struct {
	last    answer
	tries   int
	atMost  int  // tokens that the tries may have handed to the client, beside those of a whole answer
	reached bool // an engine
}

// isWhole reports whether the turn was answered whole.
func (o outcome) isWhole() bool { return o.last.status == 200 && o.last.whole }

// isRefused reports whether the last try was refused, so that it may be retried.
func (o outcome) isRefused() bool { return o.last.status == 503 || o.last.status == 429 }

// isFinal reports whether the program sends the turn no more.
func (o outcome) isFinal() bool {
	return o.isWhole() || o.last.status == 402 || o.last.status == 404 || o.last.status == 400
}

// tryTurn sends a turn as a program does: each time with one retry after a refusal, and from its start twice more.
func tryTurn(c *client, nodes []*node, first int, what call) outcome {
	var result outcome
	for again := range 3 {
		if again > 0 {
			time.Sleep(250 * time.Millisecond)
		}
		for retry := range 2 {
			if retry > 0 {
				time.Sleep(retryAfter(result.last))
			}
			result.last = c.do(nodes[(first+result.tries)%len(nodes)], what)
			result.tries++
			result.reached = result.reached || len(c.world.runsOf(result.last.id)) > 0
			if result.isFinal() {
				return result
			}
			if !result.isRefused() {
				result.atMost += tokensPerTurn
				break
			}
		}
	}
	return result
}

// fleet starts the engines and three processes, each in a zone of its own.
func fleet(w *world) error {
	zones := map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"}
	for _, e := range [][2]string{{"e-llm-1", "zone-a"}, {"e-llm-2", "zone-b"}, {"e-llm-3", "zone-c"}, {"e-llm-4", "zone-a"}} {
		if _, err := w.addEngine(e[0], "llm", e[1]); err != nil {
			return err
		}
	}
	w.configure(keptRoute("talk", "/talk/", "llm"))
	for _, place := range [][2]string{{"n1", "zone-a"}, {"n2", "zone-b"}, {"n3", "zone-c"}} {
		if _, err := w.addNode(place[0], place[1], zones); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if !n.ready(10 * time.Second) {
			return errors.New(n.name + " does not get ready")
		}
	}
	time.Sleep(5 * time.Second) // until the processes know each other
	return nil
}

// programsResult is what the programs of a case came to.
type programsResult struct {
	requests     int64        // sent
	lostTurns    atomic.Int64 // with a whole previous turn and five tries or more, of which none reached an engine
	denied       atomic.Int64 // turns answered 402 though the budget held them
	failedBefore atomic.Int64 // programs that failed before the disruption
	firstReached atomic.Int64 // first turns of other programs that reached an engine
}

// runPrograms runs programs of a number of turns, all of which their budgets hold. After turnsBefore turns of each it calls disrupt, waits
// until that is longer ago than contact, and goes on through the first two processes.
func runPrograms(w *world, turns int, disrupt func() error) (*programsResult, error) {
	c, result := newClient(w), &programsResult{}
	var group, before sync.WaitGroup
	goOn := make(chan struct{})
	for i := range programCount {
		before.Add(1)
		group.Go(func() {
			one := &program{client: c, result: result, id: newID(), turns: turns, first: i}
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			one.begunAt = time.Now()
			if !one.run(0, turnsBefore, w.nodes) {
				result.failedBefore.Add(1)
				before.Done()
				return
			}
			before.Done()
			<-goOn
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			one.run(turnsBefore, turns, w.nodes[:2])
		})
	}
	before.Wait()
	if err := disrupt(); err != nil {
		return nil, err
	}
	time.Sleep(contact + 2*time.Second)
	close(goOn)
	for i := range firstTurns {
		got := c.do(w.nodes[i%2], turn("/talk/1", newID(), "", "first", tokensPerTurn, turns*tokensPerTurn))
		if len(w.runsOf(got.id)) > 0 {
			result.firstReached.Add(1)
		}
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	result.requests = c.sent.Load()
	w.logf("count   lost turns %d, 402 within the budget %d, programs failed before %d, first turns %d of %d reached an engine, requests %d",
		result.lostTurns.Load(), result.denied.Load(), result.failedBefore.Load(), result.firstReached.Load(), firstTurns, result.requests)
	return result, nil
}

// program is one program under way.
type program struct {
	client   *client
	result   *programsResult
	id       string
	turns    int    // that its budget holds
	first    int    // which process gets its first turn
	previous string // its last turn that was answered whole
	handed   int    // tokens that the client has got, at most
	begunAt  time.Time
}

// programTime is how long after its begin a program should be over.
const programTime = 60 * time.Second

// run sends turns, one after another, and reports whether all were answered whole.
func (p *program) run(from, to int, nodes []*node) bool {
	budget := p.turns * tokensPerTurn
	for number := from; number < to; number++ {
		what := turn("/talk/1", p.id, p.previous, "input", tokensPerTurn, budget)
		what.header["X-Finish-Ms"] = strconv.FormatInt((programTime - time.Since(p.begunAt)).Milliseconds(), 10)
		got := tryTurn(p.client, nodes, p.first+number, what)
		p.handed += got.atMost
		if got.isWhole() {
			p.previous = got.last.id
			p.handed += tokensPerTurn
			continue
		}
		p.client.world.logf("failed  program %s turn %d of %d after %d tries, reached an engine: %t, handed out %d of %d tokens, last status %d %s",
			p.id, number+1, p.turns, got.tries, got.reached, p.handed, budget, got.last.status, got.last.body)
		switch {
		case got.last.status == 402 && p.handed+tokensPerTurn <= budget:
			p.result.denied.Add(1)
		case from >= turnsBefore && got.tries >= 5 && !got.reached && p.previous != "" && time.Since(p.begunAt) < programTime:
			p.result.lostTurns.Add(1)
		}
		return false
	}
	return true
}

// lostMachine loses one of three machines for good. A kept turn is lost if it makes five tries or more and reaches no engine, while the
// engines are under half full and nine tenths of first turns reach one.
func lostMachine(w *world, trouble bool) (int, error) {
	if err := fleet(w); err != nil {
		return notPlayed, err
	}
	result, err := runPrograms(w, 12, func() error {
		if trouble {
			w.nodes[2].kill()
		}
		return nil
	})
	if err != nil {
		return notPlayed, err
	}
	places := int64(len(w.engines)) * engineSlots
	w.logf("count   engines worked on %d requests at once at most, of %d places", w.mostRunning.Load(), places)
	underHalfFull := 2*w.mostRunning.Load() < places
	if result.lostTurns.Load() > 0 && underHalfFull && result.firstReached.Load()*10 >= firstTurns*9 {
		return broken, nil
	}
	return held, nil
}

// restarted kills one of three processes and starts it again. More than 5 + one in 500 of all requests must not be answered 402 while the
// budget holds the turn.
func restarted(w *world, trouble bool) (int, error) {
	if err := fleet(w); err != nil {
		return notPlayed, err
	}
	result, err := runPrograms(w, 24, func() error {
		if !trouble {
			return nil
		}
		w.nodes[2].kill()
		time.Sleep(500 * time.Millisecond)
		return w.nodes[2].start()
	})
	if err != nil {
		return notPlayed, err
	}
	if result.denied.Load() > 5+result.requests/500 {
		return broken, nil
	}
	return held, nil
}
