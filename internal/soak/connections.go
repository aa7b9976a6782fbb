package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// KeepAliveCallersPerProcess is the number of keep-alive callers of each process.
const KeepAliveCallersPerProcess = 16

// Times of keep-alive callers. Each one keeps a connection to one process and sends its requests on it one after the
// other, until the process ends.
const (
	maxIdle        = 4 * time.Second
	maxHeaderPause = 2 * time.Second // shorter than operators.HeaderTimeout
)

// keepAliveClient holds a caller's connection to one process.
type keepAliveClient struct {
	context    context.Context // the caller's context
	process    *process
	connection *operators.Connection // nil if none is open
}

// runKeepAliveCallers runs the keep-alive callers until the context ends.
func (d *deployment) runKeepAliveCallers(ctx context.Context, options Options, callers *sync.WaitGroup) {
	for number := range options.KeepAliveCallers * len(d.processes) {
		k := &keepAliveClient{context: ctx, process: d.processes[number%len(d.processes)]}
		c := &caller{deployment: d, random: rand.New(rand.NewPCG(options.Seed, 1<<35+uint64(number))), keepAlive: k}
		callers.Go(func() {
			defer k.drop()
			for backoff.Wait(ctx, c.randomUpTo(maxPause)) {
				c.program(ctx)
			}
		})
	}
}

func (k *keepAliveClient) drop() {
	if k.connection != nil {
		k.connection.Close()
		k.connection = nil
	}
}

// waitIdle leaves the caller's connection idle: in half of the cases for up to maxPause, otherwise for up to maxIdle.
func (c *caller) waitIdle() {
	limit := maxPause
	if c.random.IntN(2) == 0 {
		limit = maxIdle
	}
	backoff.Wait(c.keepAlive.context, c.randomUpTo(limit))
}

// headerPause returns the pause within a request's headers: none in half of the cases, a short one in a quarter.
func (c *caller) headerPause() time.Duration {
	switch c.random.IntN(4) {
	case 0:
		return c.randomUpTo(maxHeaderPause)
	case 1:
		return c.randomUpTo(maxPause)
	}
	return 0
}

// sendKeepAlive sends a request on the caller's connection, or on a new one if that one may not be reused.
func (c *caller) sendKeepAlive(ctx context.Context, request operators.ClientRequest) operators.ConnectionReply {
	d, k := c.deployment, c.keepAlive
	if k.connection != nil && !k.connection.Reusable(maxReusableIdle(&d.idleTimeout, d.now())) {
		k.drop()
	}
	if k.connection != nil && !k.connection.IsOpen() {
		d.outcomes.add("kept_found_closed")
		k.drop()
	}
	if k.connection == nil {
		opened, err := operators.Dial(ctx, k.process.settings.ClientAddress)
		if err != nil {
			return operators.ConnectionReply{Reply: operators.Reply{Err: err}}
		}
		k.connection = opened
	} else {
		d.outcomes.add("kept_used_again")
	}
	sent := k.connection.Send(ctx, host, request, c.headerPause())
	if !sent.Complete {
		k.drop()
	}
	return sent
}

// maxReusableIdle returns how long a connection may have been idle to be reused now: four fifths of the smallest idle
// timeout that may have been active while it was idle.
func maxReusableIdle(idle *setting, now time.Duration) time.Duration {
	return idle.shortest(now, maxIdle) * 4 / 5
}

// unreadMargin is how long before its exit a process may stop reading what callers send. A request whose sending would
// have ended later than that is within the margin, too.
const unreadMargin = 250 * time.Millisecond

// unanswered is a request whose connection was closed without an answer by a process that was ordered to stop.
type unanswered struct {
	attempt *attempt
	outcome Outcome
	closed  time.Duration
}

// connections holds the state of the check on open connections.
type connections struct {
	exitedAt map[string]time.Duration // when processes last exited after a planned stop
	pending  map[string][]unanswered  // until the exit time of their process is known
}

func newConnections() connections {
	return connections{exitedAt: make(map[string]time.Duration), pending: make(map[string][]unanswered)}
}

// checkConnection checks that a request on an open connection is answered. A process may close a connection without an
// answer if the request's headers take longer than HeaderTimeout, as they do from a caller that gets no processor time
// within its pause. The caller holds the mutex.
func (c *Checker) checkConnection(now time.Duration, a *attempt, outcome Outcome) {
	if !outcome.FirstBytesSent || outcome.GaveUp || !c.bounds.unplanned[a.Process].undisturbedSince(a.sent) {
		return
	}
	if outcome.Status != 0 {
		c.check(true, OpenConnection, now, a, "", "")
		return
	}
	if outcome.SendingTook > operators.HeaderTimeout {
		c.excused[OpenConnection]++
		return
	}
	closed := unanswered{attempt: a, outcome: outcome, closed: now}
	if exitedAt, exited := c.connections.exitedAt[a.Process]; exited && a.sent <= exitedAt {
		c.checkClosed(closed, exitedAt)
		return
	}
	if _, stopping := c.bounds.stops[a.Process]; stopping {
		c.connections.pending[a.Process] = append(c.connections.pending[a.Process], closed)
		return
	}
	c.check(false, OpenConnection, now, a, "", "closed without an answer, though the process was not told to stop (%s)", describeProgress(a, outcome))
}

// Stopped records that a process that was ordered to stop has exited.
func (c *Checker) Stopped(now time.Duration, process string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.connections.exitedAt[process] = now
	for _, closed := range c.connections.pending[process] {
		c.checkClosed(closed, now)
	}
	delete(c.connections.pending, process)
}

// checkClosed checks a connection that was closed by a process that has exited. The caller holds the mutex.
func (c *Checker) checkClosed(closed unanswered, exitedAt time.Duration) {
	remaining := exitedAt - closed.outcome.LastBytesAt
	c.check(remaining < unreadMargin, OpenConnection, closed.closed, closed.attempt, "", "closed without an answer %.2f s after the process was told to stop, %.2f s before it was gone (%s)",
		(closed.closed - c.bounds.stops[closed.attempt.Process]).Seconds(), remaining.Seconds(), describeProgress(closed.attempt, closed.outcome))
}

// describeProgress describes how far a request got.
func describeProgress(a *attempt, outcome Outcome) string {
	switch {
	case len(a.ranAt) > 0:
		return fmt.Sprintf("it was passed to %s", a.ranAt[len(a.ranAt)-1])
	case outcome.AllBytesSent:
		return "sent whole"
	}
	return "sent in part"
}
