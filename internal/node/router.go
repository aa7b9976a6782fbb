package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/membership"
	"github.com/pewtermill/pewtermill/internal/program"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Bounds of routing. The router retries while a program changes its owner, up to
// routeTimeout; then it replies with the delay after which the caller may retry.
const (
	routeTimeout    = 2 * time.Second
	routeMinPause   = 20 * time.Millisecond
	routeMaxPause   = 300 * time.Millisecond
	routeRetryAfter = time.Second
	maxChildNumber  = 1 << 31
)

// router implements gateway.Service: it finds a program's owner and forwards
// the caller's request to it.
type router struct{ node *Node }

// CreateProgram implements gateway.Service. With an idempotency key the id
// is derived from the key, so that a repeated request finds the same program.
func (r *router) CreateProgram(ctx context.Context, tenant, idempotencyKey string, request api.CreateProgramRequest) (api.Program, error) {
	seed := rand.Uint64()
	if idempotencyKey != "" {
		seed = xxhash.Sum64String(strconv.Quote(tenant) + strconv.Quote(request.Parent) + idempotencyKey)
	}
	id := program.RootID(r.node.settings.Cell, seed)
	if request.Parent != "" {
		id = program.ChildID(request.Parent, 1+int(seed%maxChildNumber))
	}
	body, err := json.Marshal(request)
	if err != nil {
		return api.Program{}, api.Errorf(api.MalformedRequest, "%v", err)
	}
	return routed[api.Program](ctx, r.node, id, &wirepb.Request{
		Body: &wirepb.Request_CreateProgram{CreateProgram: &wirepb.CreateProgram{Tenant: tenant, Program: id, Body: body}},
	}, nil)
}

// GetProgram implements gateway.Service.
func (r *router) GetProgram(ctx context.Context, tenant, id string) (api.Program, error) {
	return routed[api.Program](ctx, r.node, id, &wirepb.Request{
		Body: &wirepb.Request_GetProgram{GetProgram: &wirepb.GetProgram{Tenant: tenant, Program: id}},
	}, nil)
}

// EndProgram implements gateway.Service.
func (r *router) EndProgram(ctx context.Context, tenant, id string) (api.Program, error) {
	return routed[api.Program](ctx, r.node, id, &wirepb.Request{
		Body: &wirepb.Request_EndProgram{EndProgram: &wirepb.EndProgram{Tenant: tenant, Program: id}},
	}, nil)
}

// ExecuteCall implements gateway.Service.
func (r *router) ExecuteCall(ctx context.Context, tenant, id string, sequence int64, body []byte, onPart func(offset int64, text []byte)) (api.CallResult, error) {
	return routed[api.CallResult](ctx, r.node, id, &wirepb.Request{
		Body: &wirepb.Request_ExecuteCall{ExecuteCall: &wirepb.ExecuteCall{
			Tenant:   tenant,
			Program:  id,
			Sequence: sequence,
			Body:     body,
			Stream:   onPart != nil,
		}},
	}, onPart)
}

// GetCall implements gateway.Service.
func (r *router) GetCall(ctx context.Context, tenant, id string, sequence int64) (api.CallResult, error) {
	return routed[api.CallResult](ctx, r.node, id, &wirepb.Request{
		Body: &wirepb.Request_GetCall{GetCall: &wirepb.GetCall{Tenant: tenant, Program: id, Sequence: sequence}},
	}, nil)
}

// routed sends a request to the program's owner and decodes the reply.
func routed[T any](ctx context.Context, n *Node, id string, request *wirepb.Request, onPart func(offset int64, text []byte)) (T, error) {
	return decodeReply[T](n.route(ctx, id, request, onPart))
}

// routeForPeer routes a request from another cell.
func (n *Node) routeForPeer(ctx context.Context, request *wirepb.Request, onPart func(offset int64, text []byte)) *wirepb.Reply {
	id := programOf(request)
	if cell, err := program.CellOf(id); err != nil || cell != n.settings.Cell {
		return replyError(api.Errorf(api.ProgramNotFound, "no such program"))
	}
	return n.route(ctx, id, request, onPart)
}

func programOf(request *wirepb.Request) string {
	switch body := request.GetBody().(type) {
	case *wirepb.Request_CreateProgram:
		return body.CreateProgram.GetProgram()
	case *wirepb.Request_GetProgram:
		return body.GetProgram.GetProgram()
	case *wirepb.Request_EndProgram:
		return body.EndProgram.GetProgram()
	case *wirepb.Request_ExecuteCall:
		return body.ExecuteCall.GetProgram()
	case *wirepb.Request_GetCall:
		return body.GetCall.GetProgram()
	}
	return ""
}

// route finds the owner and returns its reply. While the program changes its
// owner it retries, for routeTimeout at most. It may retry because every request it
// forwards is idempotent by program and sequence number. The execution state of the
// final reply holds over all attempts: not_run only if no attempt may have
// reached an owner that ran the call.
func (n *Node) route(ctx context.Context, id string, request *wirepb.Request, onPart func(offset int64, text []byte)) *wirepb.Reply {
	cell, err := program.CellOf(id)
	if err != nil {
		return replyError(api.Errorf(api.ProgramNotFound, "no such program"))
	}
	transfer := &transfer{node: n, id: id, cell: cell, request: request, onPart: onPart}
	deadline := time.Now().Add(routeTimeout)
	pause := routeMinPause
	for {
		reply := transfer.attempt(ctx)
		if reply != nil && !isMoving(reply) {
			return transfer.correctExecution(reply)
		}
		if time.Now().After(deadline) || !backoff.Wait(ctx, backoff.Jitter(pause)) {
			return transfer.correctExecution(transfer.lastReply(reply))
		}
		pause = min(2*pause, routeMaxPause)
	}
}

// isMoving reports whether another attempt may find the owner.
func isMoving(reply *wirepb.Reply) bool {
	code := api.Code(reply.GetCode())
	return code == api.OwnerMoving || code == api.Draining
}

// transfer is the routing of one request to its program's owner, over all attempts.
type transfer struct {
	node           *Node
	id             string
	cell           string
	request        *wirepb.Request
	onPart         func(offset int64, text []byte)
	reportedOwner  string // owner named by the last reply
	mayHaveStarted bool   // an attempt may have started the call
}

// attempt makes one attempt. It returns nil if no node replied.
func (t *transfer) attempt(ctx context.Context) *wirepb.Reply {
	if t.cell != t.node.settings.Cell {
		return t.forwardToCell(ctx)
	}
	name, address, ok := t.target()
	if !ok {
		return nil
	}
	t.request.Routed = true
	t.request.From = t.node.settings.Name
	var reply *wirepb.Reply
	if name == t.node.settings.Name {
		reply = t.node.serveRouted(ctx, t.request, t.onPart)
	} else {
		reply = t.forward(ctx, name, address)
	}
	t.recordReply(reply)
	return reply
}

// recordReply records the owner and the execution state that a reply reports.
func (t *transfer) recordReply(reply *wirepb.Reply) {
	t.reportedOwner = ""
	if reply == nil || !isMoving(reply) {
		return
	}
	t.reportedOwner = reply.GetOwner()
	if api.Execution(reply.GetExecution()) == api.Unknown {
		t.mayHaveStarted = true
	}
}

// target returns the member named by the last reply, else the desired owner.
func (t *transfer) target() (name, address string, ok bool) {
	view := t.node.members.View()
	if t.reportedOwner != "" {
		if member, found := view.Member(t.reportedOwner); found {
			return member.Name, member.Address, true
		}
	}
	member, ok := view.Owner(program.PartitionOf(t.id))
	return member.Name, member.Address, ok
}

// forwardToCell forwards to a seed of another cell, which routes the request there.
func (t *transfer) forwardToCell(ctx context.Context) *wirepb.Reply {
	snapshot := t.node.keeper.InForce()
	if snapshot == nil {
		return replyError(api.Errorf(api.NotReady, "no configuration is in force yet").WithRetryAfter(routeRetryAfter).ForThisAttempt())
	}
	cell, ok := snapshot.Cell(t.cell)
	if !ok || len(cell.Seeds) == 0 {
		return replyError(api.Errorf(api.ProgramNotFound, "no such program"))
	}
	t.request.Routed = false
	t.request.From = t.node.settings.Name
	return t.forwardThroughSeed(ctx, t.node.seeds.choose(cell.Seeds, time.Now()))
}

// forwardThroughSeed forwards to a seed of another cell, which is pinged while the request runs.
func (t *transfer) forwardThroughSeed(ctx context.Context, seed string) *wirepb.Reply {
	if t.node.seeds.beginWait(seed) {
		t.node.run(func(ctx context.Context) { t.node.watchSeed(ctx, seed) })
	}
	defer t.node.seeds.endWait(seed)
	reply := t.forward(ctx, seed, seed)
	switch {
	case reply != nil:
		t.node.seeds.recordSuccess(seed)
	case ctx.Err() == nil:
		t.node.seeds.recordFailure(seed, time.Now())
	}
	return reply
}

// forward sends the request to another node and waits for its reply, at most
// until that node is considered dead.
func (t *transfer) forward(ctx context.Context, member, address string) *wirepb.Reply {
	ctx, done := t.node.forwards.begin(ctx, member)
	defer done()
	if state, ok := t.node.members.View().Member(member); ok && state.State == membership.Dead {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		t.request.TimeoutMillis = max(1, time.Until(deadline).Milliseconds())
	}
	reply, err := t.node.peers.Do(ctx, address, t.request, t.onPart)
	if err == nil {
		return reply
	}
	if !errors.Is(err, wire.ErrNotSent) {
		t.mayHaveStarted = true
	}
	return nil
}

// lastReply returns the reply to the caller when the timeout has passed.
func (t *transfer) lastReply(reply *wirepb.Reply) *wirepb.Reply {
	if reply != nil {
		return reply
	}
	return replyError(api.Errorf(api.OwnerMoving, "the program's owner does not answer").WithRetryAfter(routeRetryAfter).ForThisAttempt())
}

// correctExecution corrects a refusal that applies to its own attempt only, if
// an earlier attempt may have started the call at another owner. It keeps a final
// result, which is recorded, and a refusal by a confirmed owner, whose
// state machine knows about earlier attempts.
func (t *transfer) correctExecution(reply *wirepb.Reply) *wirepb.Reply {
	if t.mayHaveStarted && api.Execution(reply.GetExecution()) == api.NotRunThisAttempt {
		reply.Execution = string(api.Unknown)
	}
	return reply
}
