package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// Numbers and sizes of clients that stop in the middle of a large body.
const (
	largeBodyClients  = 400
	minLargeBodyBytes = 100_000
	maxLargeBodyBytes = 1_000_000 // also what the configuration allows
	largeBodySent     = 0.99      // share of a body that is sent
	// maxLargeBodyPause is the longest time between two requests of such a client, and before its first one. It is near what refusals
	// ask for: faster ones would take the processors of the stand-ins.
	maxLargeBodyPause = time.Second
)

// sendLargeBodies has many clients of one process send most of a large body each, and then nothing, until the fault ends. Clients
// that are refused try again. It returns false if none could send its part.
func (d *deployment) sendLargeBodies(fault Fault) bool {
	p := d.processes[fault.Target%uint64(len(d.processes))]
	ctx, cancel := context.WithTimeout(d.context, fault.Duration)
	defer cancel()
	var clients sync.WaitGroup
	var sentPart atomic.Bool
	for number := range largeBodyClients {
		c := &caller{deployment: d, random: rand.New(rand.NewPCG(fault.Target, uint64(number)))}
		clients.Go(func() {
			for backoff.Wait(ctx, c.randomUpTo(maxLargeBodyPause)) {
				if c.sendLargeBody(ctx, p) {
					sentPart.Store(true)
				}
			}
		})
	}
	clients.Wait()
	return sentPart.Load()
}

// sendLargeBody sends most of a large body and waits for a response until ctx ends. It returns false if the process did not take
// as much.
func (c *caller) sendLargeBody(ctx context.Context, p *process) bool {
	d := c.deployment
	size := minLargeBodyBytes + c.random.IntN(maxLargeBodyBytes-minLargeBodyBytes+1)
	sent := Attempt{ID: c.name("l"), Process: p.settings.Node, Build: p.build(), Route: routeUnsafe, Path: "/" + routeUnsafe + "/x", Tenant: tenantFree, Deadline: callerDeadline, Incomplete: true}
	request := operators.ClientRequest{Method: http.MethodPost, ID: sent.ID, Path: sent.Path, Deadline: callerDeadline, Key: keyOf(tenantFree)}
	d.checker.AttemptSent(d.now(), sent)
	reply, sentPart := operators.SendPart(ctx, p.settings.ClientAddress, host, request, size, int(float64(size)*largeBodySent))
	d.checker.AttemptEnded(d.now(), sent.ID, Outcome{ConnectFailed: connectFailed(reply.Err), GaveUp: ctx.Err() != nil, Status: reply.Status, ID: reply.ID, Seal: reply.Seal, Complete: reply.Complete})
	d.outcomes.add(outcomeName(string(LargeBodies), reply, ctx.Err() != nil))
	return sentPart
}
