package poison

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// Times of a play of requests beside a fatal one. Every message and examination takes a random time up to its limit. A report and
// its confirmation together take less than reportTimeout.
const (
	playedMessage     = reportTimeout / 2
	playedExamination = 80 * time.Millisecond
	playedRun         = 150 * time.Millisecond
	playedConnect     = 20 * time.Millisecond
	playedReportWait  = 250 * time.Millisecond
)

// play is a set of requests, one of which ends each engine that runs it, at several nodes that send them as the ingress does.
type play struct {
	*fleet
	t     *testing.T
	fatal Key

	mutex   sync.Mutex
	random  *rand.Rand
	engines map[string]chan struct{} // closed when the engine ends
	ran     map[Key]int              // engines that ended under a request
	stopped []Key                    // requests that were refused
}

// TestNoRequestBesideAFatalOneIsStopped explores orders of sends, ends, examinations and reports: requests run beside a fatal one
// at the same engines, twice, and are divided among engines then. None is refused as if it were at fault, as there are more engines
// than requests, and no more than MaxEngines end, whatever order messages arrive in.
func TestNoRequestBesideAFatalOneIsStopped(t *testing.T) {
	const plays, nodes, engines, requests = 100, 3, 14, 9
	for seed := range uint64(plays) {
		virtualtime.Test(t, func(t *testing.T) {
			p := newPlay(t, seed, nodes, engines)
			var clients sync.WaitGroup
			for number := range requests {
				key := KeyOf([]byte(fmt.Sprint(number)))
				if number == 0 {
					p.fatal = key
				}
				begin := p.upTo(playedRun)
				clients.Go(func() {
					time.Sleep(begin)
					p.request(key, number)
				})
			}
			clients.Wait()
			time.Sleep(2 * reportTimeout) // the last reports
			if slices.ContainsFunc(p.stopped, func(key Key) bool { return key != p.fatal }) {
				t.Errorf("seed %d: requests were refused as if they were at fault: %v, fatal is %s", seed, p.stopped, p.fatal)
			}
			if ended := p.ran[p.fatal]; ended != MaxEngines {
				t.Errorf("seed %d: %d engines ended under the fatal request, want %d", seed, ended, MaxEngines)
			}
		})
	}
}

// newPlay returns a play of a number of nodes and engines.
func newPlay(t *testing.T, seed uint64, nodes, engines int) *play {
	t.Helper()
	p := &play{fleet: newFleet(t, nodes), t: t, random: rand.New(rand.NewPCG(seed, 55)), engines: make(map[string]chan struct{}), ran: make(map[Key]int)}
	for number := range engines {
		p.engines[fmt.Sprintf("e%02d", number)] = make(chan struct{})
	}
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	p.latency = func() time.Duration { return p.upTo(playedMessage) }
	return p
}

// upTo returns a random duration.
func (p *play) upTo(limit time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return time.Duration(p.random.Int64N(int64(limit)))
}

// request tries a client's request at one node after another until it is answered or refused.
func (p *play) request(key Key, number int) {
	const maxTries, attempts = 6, 2
	for try := range maxTries {
		sending := &playedTry{play: p, node: p.nodes[address((number+try)%len(p.nodes))], key: key, id: fmt.Sprint(number, "-", try)}
		if sending.run(attempts) {
			return
		}
	}
	p.t.Errorf("request %d was neither answered nor refused", number)
}

// playedTry is one try of a client at a node.
type playedTry struct {
	*play
	node    *node
	key     Key
	id      string
	tried   []string
	reports []chan struct{} // closed once an examination is reported
	failed  bool            // guarded by the play's mutex
}

// run sends the request to engines. It reports whether that was the last try: it was answered or refused.
func (y *playedTry) run(attempts int) bool {
	for range attempts {
		for sent := false; !sent; {
			if y.isStopped() {
				return true
			}
			engine := y.place()
			startedAt := time.Now()
			last := y.presume(engine)
			if !slices.Contains(y.live(), engine) || last != nil && !y.mayEnd(engine, startedAt) {
				y.withdraw(last)
				continue
			}
			sent = true
			if y.runAt(engine, last) {
				return true
			}
		}
	}
	y.awaitReports()
	return false
}

// isStopped reports whether no engine gets the request any more, which it waits for as the ingress does.
func (y *playedTry) isStopped() bool {
	standing := y.node.memory.AwaitStanding(y.t.Context(), y.key, MaxEngines-1)
	if standing.Ended == MaxEngines-1 {
		y.awaitReports()
		backoff.Wait(y.t.Context(), time.Until(standing.LastEnd.Add(GatherPeriod)))
	}
	if y.node.memory.AwaitStanding(y.t.Context(), y.key, MaxEngines).Ended < MaxEngines {
		return false
	}
	y.mutex.Lock()
	defer y.mutex.Unlock()
	y.stopped = append(y.stopped, y.key)
	return true
}

// live returns the engines that have not ended, sorted.
func (p *play) live() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var live []string
	for id, ended := range p.engines {
		select {
		case <-ended:
		default:
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// place chooses an engine, mostly the first, so that many requests run at the same one, and connects to it.
func (y *playedTry) place() string {
	excluded := append(y.node.memory.Isolate(y.key, y.live(), time.Now()), y.tried...)
	usable := slices.DeleteFunc(y.live(), func(engine string) bool { return slices.Contains(excluded, engine) })
	if len(usable) == 0 {
		y.t.Fatalf("no engine is left for request %s", y.key)
	}
	index := 0
	if y.upTo(time.Second) < 300*time.Millisecond {
		index = int(y.upTo(time.Duration(len(usable))))
	}
	y.tried = append(y.tried, usable[index])
	time.Sleep(y.upTo(playedConnect))
	return usable[index]
}

// presume presumes and reports that the engine ends if it is the last one that may.
func (y *playedTry) presume(engine string) *Check {
	if y.node.memory.StandingOf(y.key, time.Now()).Ended != MaxEngines-1 {
		return nil
	}
	check := y.node.memory.BeginCheck(y.key, engine, time.Now())
	check.Presume(End{Engine: engine, Try: y.id, SentAt: time.Now(), EndedAt: time.Now()})
	y.report(playedReportWait)
	return check
}

// mayEnd reports whether the request may be sent to the last engine that it may end, by what the peers that confirmed that have told.
func (y *playedTry) mayEnd(engine string, startedAt time.Time) bool {
	memory := y.node.memory
	return !slices.Contains(memory.Isolate(y.key, y.live(), time.Now()), engine) && memory.SettledBefore(y.key, startedAt) < MaxEngines
}

// report reports the ends under the request, for some time at most.
func (y *playedTry) report(wait time.Duration) {
	if y.node.memory.Share(y.key) {
		ctx, cancel := context.WithTimeout(y.t.Context(), wait)
		defer cancel()
		y.node.Report(ctx)
	}
}

// runAt runs the request at an engine. It reports whether the engine answered.
func (y *playedTry) runAt(engine string, last *Check) bool {
	sentAt, ended := time.Now(), y.engines[engine]
	select {
	case <-ended:
	case <-time.After(playedRun):
		if y.key != y.fatal {
			y.answered(last)
			return true
		}
		y.mutex.Lock()
		select {
		case <-ended:
		default:
			close(ended)
		}
		y.mutex.Unlock()
	}
	y.mutex.Lock()
	y.ran[y.key]++
	y.mutex.Unlock()
	if last == nil {
		last = y.node.memory.BeginCheck(y.key, engine, time.Now())
	}
	reported := make(chan struct{})
	y.reports = append(y.reports, reported)
	go func() {
		defer close(reported)
		time.Sleep(y.upTo(playedExamination))
		last.Finish(End{Engine: engine, Try: y.id, SentAt: sentAt, EndedAt: time.Now()})
		y.mutex.Lock()
		failed := y.failed
		y.mutex.Unlock()
		if failed || y.node.memory.StandingOf(y.key, time.Now()).Ended > 1 {
			y.report(time.Minute)
		}
	}()
	return false
}

// withdraw withdraws the presumed end of an engine that was not sent the request.
func (y *playedTry) withdraw(last *Check) {
	if last != nil && last.Withdraw() {
		y.node.ReportWithdrawal(y.t.Context())
	}
}

// answered records an answer, and reports it.
func (y *playedTry) answered(last *Check) {
	cleared := y.node.memory.Answered(y.key, time.Now())
	if last != nil && last.Withdraw() || cleared {
		y.node.ReportWithdrawal(y.t.Context())
	}
}

// awaitReports waits until the ends under the failed try are reported, for some time at most.
func (y *playedTry) awaitReports() {
	y.mutex.Lock()
	y.failed = true
	y.mutex.Unlock()
	timeout := time.After(playedReportWait)
	for _, reported := range y.reports {
		select {
		case <-reported:
		case <-timeout:
			return
		}
	}
	y.report(playedReportWait)
}
