package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// Times and sizes of callers.
const (
	callersPerProcess = 5
	callerDeadline    = 4 * time.Second
	patience          = 500 * time.Millisecond // of a caller beyond its deadline
	clientTimeout     = callerDeadline + patience
	minRetryDelay     = 100 * time.Millisecond
	maxRetryDelay     = 300 * time.Millisecond
	maxPause          = 40 * time.Millisecond
	attemptsPerTurn   = 3
	eventsPerTurn     = 4
	maxTurns          = 6
	maxTokens         = eventsPerTurn * tokensPerEvent
)

// caller runs programs one after the other.
type caller struct {
	deployment *deployment
	random     *rand.Rand
	keepAlive  *keepAliveClient // the caller's own connection; nil if each request opens a new one
}

// conversation is one branch of a program's turns.
type conversation struct {
	program  string
	session  string
	budget   int64
	previous string
	chain    string // history that an engine must get before the next input
}

// runCallers runs the callers until the context ends.
func (d *deployment) runCallers(ctx context.Context, options Options) {
	var callers sync.WaitGroup
	for number := range callersPerProcess * len(d.processes) {
		c := &caller{deployment: d, random: rand.New(rand.NewPCG(options.Seed, uint64(number)+1))}
		callers.Go(func() {
			for backoff.Wait(ctx, c.randomUpTo(maxPause)) {
				c.program(ctx)
			}
		})
	}
	d.runLimitedTenants(ctx, options.Seed, &callers)
	d.runKeepAliveCallers(ctx, options, &callers)
	callers.Wait()
}

func (c *caller) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

func (c *caller) name(kind string) string {
	return fmt.Sprintf("%s%d", kind, c.deployment.ids.Add(1))
}

// program runs one program: a chain of turns, other requests between them, and sometimes two turns in parallel. Some
// budgets run out before their program ends.
func (c *caller) program(ctx context.Context) {
	turns := 1 + c.random.IntN(maxTurns)
	budget := int64(1+c.random.IntN(3*maxTurns)) * maxTokens
	current := &conversation{program: c.name("program"), session: c.name("session"), budget: budget}
	for range turns {
		if ctx.Err() != nil || !c.turn(ctx, current) {
			return
		}
		c.sendBetweenTurns(ctx, current)
		if c.random.IntN(4) == 0 {
			c.subAgents(ctx, current)
		}
	}
}

// subAgents runs two branches in parallel that continue from the same turn.
func (c *caller) subAgents(ctx context.Context, parent *conversation) {
	var both sync.WaitGroup
	for range 2 {
		branch := *parent
		branch.session = c.name("session")
		sub := &caller{deployment: c.deployment, random: rand.New(rand.NewPCG(c.random.Uint64(), 0))}
		both.Go(func() { sub.turn(ctx, &branch) })
	}
	both.Wait()
}

// turn sends a turn and retries it if it fails; it returns false if the program cannot continue.
func (c *caller) turn(ctx context.Context, conv *conversation) bool {
	for range attemptsPerTurn {
		id, input := c.name("t"), c.name("input ")
		sent := Attempt{ID: id, Route: routeKept, Body: conv.chain + input, PreviousTurn: conv.previous, Program: conv.program, Budget: conv.budget, MaxTokens: maxTokens, Events: eventsPerTurn}
		reply := c.send(sent, operators.ClientRequest{Method: http.MethodPost, Body: input, Session: conv.session, PreviousTurn: conv.previous})
		if reply.Status == http.StatusOK && reply.Complete && len(reply.Events) == eventsPerTurn {
			conv.previous = id
			conv.chain += input + strings.Join(reply.Events, "\n") + "\n"
			return true
		}
		if reply.Status == http.StatusPaymentRequired || !backoff.Wait(ctx, minRetryDelay+c.randomUpTo(maxRetryDelay-minRetryDelay)) {
			return false
		}
	}
	return false
}

// sendBetweenTurns sends the requests that a program makes between turns.
func (c *caller) sendBetweenTurns(ctx context.Context, conv *conversation) {
	if ctx.Err() != nil {
		return
	}
	body := c.name("body ")
	c.send(Attempt{ID: c.name("u"), Route: routeUnsafe, Body: body, Program: conv.program}, operators.ClientRequest{Method: http.MethodPost, Body: body, Session: conv.session})
	c.send(Attempt{ID: c.name("s"), Route: routeSafe, Program: conv.program, Repeatable: true}, operators.ClientRequest{Method: http.MethodGet, Session: conv.session})
	c.send(Attempt{ID: c.name("v"), Route: routeMoved, Program: conv.program, Repeatable: true}, operators.ClientRequest{Method: http.MethodGet, Session: conv.session})
	c.send(Attempt{ID: c.name("r"), Route: routeResumed, Body: body, Program: conv.program, Budget: conv.budget, MaxTokens: maxTokens, Events: eventsPerTurn, Repeatable: true},
		operators.ClientRequest{Method: http.MethodPost, Body: body, Session: conv.session})
	c.stream(ctx, conv)
}

// stream starts a stream and resumes it after each interruption, at any process. Each attempt names the first one. Attempts that reach no
// process do not count until the stream's deadline: all processes may be starting.
func (c *caller) stream(ctx context.Context, conv *conversation) {
	body, firstID, received := c.name("body "), c.name("o"), 0
	deadline := c.deployment.now() + callerDeadline
	for attempts := 0; attempts < attemptsPerTurn; {
		sent := Attempt{ID: firstID, Route: routeOnce, Body: body, Program: conv.program, Budget: conv.budget, MaxTokens: maxTokens, Events: eventsPerTurn, Repeatable: true}
		request := operators.ClientRequest{Method: http.MethodPost, Body: body, Session: conv.session}
		if received > 0 {
			sent.ID, sent.ResumesID, sent.EventsReceived = c.name("o"), firstID, received
			request.ResumesID, request.LastEventID = firstID, received
		}
		reply := c.send(sent, request)
		received += len(reply.Events)
		if reply.Complete && reply.Status == http.StatusOK || received == 0 || received >= eventsPerTurn || !backoff.Wait(ctx, c.randomUpTo(maxRetryDelay)) {
			return
		}
		if !connectFailed(reply.Err) || c.deployment.now() > deadline {
			attempts++
		}
	}
}

// disconnectReportDelay is how long after the end of a truncated answer its engine has reported the disconnected
// client.
const disconnectReportDelay = 50 * time.Millisecond

// send makes one attempt at one of the processes and reports it to the checker.
func (c *caller) send(sent Attempt, request operators.ClientRequest) operators.Reply {
	d := c.deployment
	p := c.chooseProcess()
	sent.Process, sent.Build, sent.Path = p.settings.Node, p.build(), "/"+sent.Route+"/x"
	sent.Deadline = min(callerDeadline, d.timeout.shortest(d.now(), 0))
	request.ID, request.Path, request.Deadline, request.Program = sent.ID, sent.Path, callerDeadline, sent.Program
	request.Budget, request.MaxTokens = sent.Budget, sent.MaxTokens
	if sent.Tenant == "" {
		sent.Tenant = tenantFree
	}
	request.Key = keyOf(sent.Tenant)
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout) // the end of the soak waits for the attempt
	defer cancel()
	d.checker.AttemptSent(d.now(), sent)
	reply := c.exchange(ctx, p, request)
	ended := d.now()
	if !reply.Complete && ctx.Err() == nil {
		backoff.Wait(ctx, disconnectReportDelay)
	}
	d.checker.AttemptEnded(ended, sent.ID, Outcome{
		ConnectFailed: connectFailed(reply.Err), GaveUp: ctx.Err() != nil, Status: reply.Status, ID: reply.ID, Seal: reply.Seal,
		Events: reply.Events, Body: reply.Body, Complete: reply.Complete, Progress: d.describeExchange(reply.Progress),
		FirstBytesSent: reply.FirstBytesSent, AllBytesSent: reply.AllBytesSent, LastBytesAt: reply.LastBytesAt.Sub(d.startTime), SendingTook: reply.SendingTook,
	})
	d.outcomes.add(outcomeName(outcomeGroup(sent), reply.Reply, ctx.Err() != nil))
	return reply.Reply
}

// describeExchange tells in a finding how far an exchange had got, in seconds since the start of the soak.
func (d *deployment) describeExchange(progress operators.Progress) string {
	var parts []string
	for _, part := range []struct {
		name string
		at   time.Time
	}{{"connected", progress.Connected}, {"sent", progress.Sent}, {"answer began", progress.Begun}} {
		if !part.at.IsZero() {
			parts = append(parts, fmt.Sprintf("%s at %.2f s", part.name, part.at.Sub(d.startTime).Seconds()))
		}
	}
	return strings.Join(append(parts, fmt.Sprintf("%d bytes unread", progress.Unread)), ", ")
}

// chooseProcess returns the process for the next request. A keep-alive caller first leaves its connection idle.
func (c *caller) chooseProcess() *process {
	if c.keepAlive == nil {
		return c.deployment.processes[c.random.IntN(len(c.deployment.processes))]
	}
	c.waitIdle()
	return c.keepAlive.process
}

// exchange sends a request on the caller's connection, or on a new one.
func (c *caller) exchange(ctx context.Context, p *process, request operators.ClientRequest) operators.ConnectionReply {
	if c.keepAlive == nil {
		return operators.ConnectionReply{Reply: operators.Send(ctx, p.settings.ClientAddress, host, request)}
	}
	return c.sendKeepAlive(ctx, request)
}

// connectFailed reports whether no byte of a request was sent.
func connectFailed(err error) bool {
	return isDialError(err) || errors.Is(err, operators.ErrPeerClosed)
}

// isDialError reports whether the connection could not be opened.
func isDialError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// outcomeName returns the name under which an outcome is counted.
func outcomeName(group string, reply operators.Reply, gaveUp bool) string {
	switch {
	case gaveUp:
		return group + "_gave_up"
	case isDialError(reply.Err):
		return group + "_unreached"
	case reply.Status == 0:
		return group + "_closed"
	case !reply.Complete:
		return fmt.Sprintf("%s_%d_cut", group, reply.Status)
	}
	return fmt.Sprintf("%s_%d", group, reply.Status)
}
