package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// fatalPrefix begins the bodies of requests that end every engine that runs them. What follows it is the way.
const fatalPrefix = "fatal "

// fatalWays are the ways in which engines end under a request.
var fatalWays = []string{"refuses", "silent", "leaves"}

// Times and limits of requests that end their engines.
const (
	// maxEndedEngines is how many engines may end under a request, over all tries of its caller.
	maxEndedEngines = 3
	// leavesBefore is how long before its end an engine states that it leaves.
	leavesBefore = 300 * time.Millisecond
	// silentFor is how long an engine that fell silent stays so before its connections are closed.
	silentFor = 2 * time.Second
	// fatalRetryDelay is the longest time between two tries of such a request.
	fatalRetryDelay = 150 * time.Millisecond
	// minFatalTries is how many tries a caller makes at least, however short the fault is.
	minFatalTries = 8
)

// sendFatalRequest sends a request that ends its engines, again and again until the fault's end, at processes drawn anew for each try.
// Other faults go on beside it. For half of the targets, all processes are killed at once after one of the first tries.
func (d *deployment) sendFatalRequest(fault Fault) bool {
	c := &caller{deployment: d, random: rand.New(rand.NewPCG(fault.Target, 0))}
	way := fatalWays[fault.Target%uint64(len(fatalWays))]
	body, program := c.name(fatalPrefix+way+" "), c.name("program")
	end := d.now() + fault.Duration
	for tries := 0; tries < minFatalTries || d.now() < end; tries++ {
		sent := Attempt{ID: c.name("f"), Route: routeSafe, Body: body, Program: program, Repeatable: true}
		c.send(sent, operators.ClientRequest{Method: http.MethodPost, Body: body})
		if killAfter := fault.Target >> 33 % maxEndedEngines; fault.Target>>32&1 == 1 && uint64(tries) == killAfter {
			d.killAll(func() {})
		}
		if !backoff.Wait(d.context, c.randomUpTo(fatalRetryDelay)) {
			break
		}
	}
	return d.checker.EndedUnder(body) > 0
}

// endUnder ends an engine under a request whose body names the way. It returns false if the request ends no engine. Otherwise it does not
// return before the request's connection is closed.
func (d *deployment) endUnder(engine *incarnation, request *http.Request, parsed operators.ParsedRequest) bool {
	way, fatal := strings.CutPrefix(parsed.Body, fatalPrefix)
	if !fatal {
		return false
	}
	d.checker.FatalRequestArrived(d.now(), parsed.ID, parsed.Body, engine.name)
	switch {
	case strings.HasPrefix(way, "silent"):
		d.checker.EngineCrashed(engine.name)
		if err := engine.FallSilent(); err != nil {
			panic(err)
		}
		d.later(silentFor, engine.terminate)
		d.replaceEnded(engine)
		<-request.Context().Done()
		return true
	case strings.HasPrefix(way, "leaves"):
		d.announceLeaving(engine)
		backoff.Wait(d.context, leavesBefore)
	}
	d.checker.EngineCrashed(engine.name)
	engine.terminate()
	d.replaceEnded(engine)
	return true
}

// slotOf returns the slot whose current engine this is, with its mutex held; nil if a fault has replaced it, or is applied to it.
func (d *deployment) slotOf(engine *incarnation) *slot {
	index := slices.IndexFunc(d.slots, func(s *slot) bool { return strings.HasPrefix(engine.ID, s.name+"-") })
	if index < 0 || !d.slots[index].busy.TryLock() {
		return nil
	}
	if s := d.slots[index]; s.current == engine {
		return s
	}
	d.slots[index].busy.Unlock()
	return nil
}

// announceLeaving states in an engine's entry that it leaves.
func (d *deployment) announceLeaving(engine *incarnation) {
	s := d.slotOf(engine)
	if s == nil {
		return
	}
	defer s.busy.Unlock()
	d.putEntry(s, "draining", 0)
	d.checker.EngineLeaving(d.now(), engine.name)
}

// replaceEnded replaces an engine that has ended, unless a fault does so.
func (d *deployment) replaceEnded(engine *incarnation) {
	d.later(entryExpiry, func() { d.store.RemoveEngine(engine.ID) })
	d.later(replacementDelay, func() {
		if s := d.slotOf(engine); s != nil {
			defer s.busy.Unlock()
			d.addEngine(s, 0)
		}
	})
}

// FatalRequestArrived records that a request arrived at an engine, which it ends. It must not, once maxEndedEngines have ended under it.
func (c *Checker) FatalRequestArrived(now time.Duration, id, body, engine string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ended := c.endedUnder[body]
	c.check(len(ended) < maxEndedEngines, EnginesEnded, now, c.attempts[id], engine, "%s reached another engine after it had ended %s", body, strings.Join(ended, ", "))
	if !slices.Contains(ended, engine) {
		c.endedUnder[body] = append(ended, engine)
	}
}

// EndedUnder returns how many engines have ended under the request with a body.
func (c *Checker) EndedUnder(body string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.endedUnder[body])
}
