package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/ownership"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// releaseTimeout bounds how long a new owner waits for the former owner's reply.
const releaseTimeout = 2 * time.Second

// peerAccess implements ownership.Peers.
type peerAccess struct{ node *Node }

// Alive implements ownership.Peers.
func (p peerAccess) Alive(node string, incarnation uint64) bool {
	view := p.node.members.View()
	if _, listed := view.Member(node); !listed && time.Since(p.node.startedAt) < unseenMemberGrace {
		return true
	}
	return view.Alive(node, incarnation)
}

// unseenMemberGrace is how long after its start a node considers members from which
// it has not received a heartbeat yet alive.
const unseenMemberGrace = 5 * time.Second

// RequestRelease implements ownership.Peers.
func (p peerAccess) RequestRelease(ctx context.Context, node, program string, epoch uint64) (ownership.Handover, error) {
	member, ok := p.node.members.View().Member(node)
	if !ok {
		return ownership.HandoverRefused, errors.Newf("member %s is not in the view of the cell", node)
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	reply, err := p.node.peers.Do(ctx, member.Address, &wirepb.Request{
		From: p.node.settings.Name,
		Body: &wirepb.Request_ReleaseProgram{ReleaseProgram: &wirepb.ReleaseProgram{Program: program, Epoch: epoch}},
	}, nil)
	if err != nil {
		return ownership.HandoverRefused, err
	}
	return handoverOf(api.Code(reply.GetCode())), nil
}

// handoverOf converts the code of a reply to ReleaseProgram.
func handoverOf(code api.Code) ownership.Handover {
	switch code {
	case api.OK:
		return ownership.HandoverReleased
	case api.ProgramNotFound:
		return ownership.HandoverUnknown
	}
	return ownership.HandoverRefused
}

// ServePeer implements wire.ServerHandler. Peers may connect as soon as the
// listener is open; their requests wait until the node has started.
func (n *Node) ServePeer(ctx context.Context, request *wirepb.Request, onPart func(offset int64, text []byte)) *wirepb.Reply {
	select {
	case <-n.started:
	case <-ctx.Done():
		return nil
	}
	if timeout := request.GetTimeoutMillis(); timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(timeout)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	switch body := request.GetBody().(type) {
	case *wirepb.Request_Heartbeat:
		n.members.receive(n.ctx, body.Heartbeat)
		return nil
	case *wirepb.Request_ReleaseProgram:
		return n.serveRelease(ctx, body.ReleaseProgram)
	case *wirepb.Request_FetchBundle:
		return n.serveBundle(body.FetchBundle)
	case *wirepb.Request_ListPrograms:
		return replyWith(n.programs.List(body.ListPrograms.GetTenant()), nil)
	case *wirepb.Request_Explain:
		return replyWith(n.decisions.Recent(body.Explain.GetProgram(), body.Explain.GetSequence(), maxExplained), nil)
	case *wirepb.Request_AskRequests:
		return n.limits.client.Answer(body.AskRequests)
	case *wirepb.Request_ModelDemand:
		return replyWith(n.dispatcher.Demand(), nil)
	}
	n.peerRequests.Add(1)
	defer n.peerRequests.Add(-1)
	if !request.GetRouted() {
		return n.routeForPeer(ctx, request, onPart)
	}
	return n.serveRouted(ctx, request, onPart)
}

// maxExplained is the maximum number of decisions that one node returns.
const maxExplained = 500

func (n *Node) serveRelease(ctx context.Context, request *wirepb.ReleaseProgram) *wirepb.Reply {
	switch n.programs.Release(ctx, request.GetProgram(), request.GetEpoch()) {
	case ownership.HandoverReleased:
		return &wirepb.Reply{}
	case ownership.HandoverUnknown:
		return &wirepb.Reply{Code: int32(api.ProgramNotFound)}
	}
	return &wirepb.Reply{Code: int32(api.OwnerMoving), Execution: string(api.NotRun), Owner: n.settings.Name}
}

// serveRouted serves a request about a program as its owner.
func (n *Node) serveRouted(ctx context.Context, request *wirepb.Request, onPart func(offset int64, text []byte)) *wirepb.Reply {
	switch body := request.GetBody().(type) {
	case *wirepb.Request_CreateProgram:
		return replyWith(n.createLocally(ctx, body.CreateProgram))
	case *wirepb.Request_GetProgram:
		return replyWith(n.programs.Get(ctx, body.GetProgram.GetTenant(), body.GetProgram.GetProgram()))
	case *wirepb.Request_EndProgram:
		return replyWith(n.programs.End(ctx, body.EndProgram.GetTenant(), body.EndProgram.GetProgram(), api.OK))
	case *wirepb.Request_GetCall:
		return replyWith(n.programs.FinalResult(ctx, body.GetCall.GetTenant(), body.GetCall.GetProgram(), body.GetCall.GetSequence()))
	case *wirepb.Request_ExecuteCall:
		call := body.ExecuteCall
		if !call.GetStream() {
			onPart = nil
		}
		return replyWith(n.programs.Execute(ctx, call.GetTenant(), call.GetProgram(), call.GetSequence(), call.GetBody(), onPart))
	}
	return replyWith[any](nil, api.Errorf(api.MalformedRequest, "unknown request between nodes"))
}

func (n *Node) createLocally(ctx context.Context, create *wirepb.CreateProgram) (api.Program, error) {
	var request api.CreateProgramRequest
	if err := json.Unmarshal(create.GetBody(), &request); err != nil {
		return api.Program{}, api.Errorf(api.MalformedRequest, "%v", err)
	}
	if request.Parent == "" {
		return n.programs.Create(ctx, create.GetTenant(), create.GetProgram(), request)
	}
	return n.programs.CreateChild(ctx, create.GetTenant(), request.Parent, create.GetProgram(), request)
}

// replyWith converts a result or an error to a reply.
func replyWith[T any](answer T, err error) *wirepb.Reply {
	if err != nil {
		return replyError(err)
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return replyError(api.Errorf(api.Internal, "%v", err))
	}
	return &wirepb.Reply{Body: body}
}

func replyError(err error) *wirepb.Reply {
	var moved *ownership.MovedError
	if errors.As(err, &moved) {
		return &wirepb.Reply{Code: int32(api.OwnerMoving), Execution: string(api.NotRunThisAttempt), Detail: moved.Error(), Owner: moved.Owner}
	}
	var apiErr *api.Error
	if !errors.As(err, &apiErr) {
		apiErr = api.Errorf(api.Internal, "%v", err)
	}
	return &wirepb.Reply{
		Code:             int32(apiErr.Code),
		Execution:        string(apiErr.Execution),
		Detail:           apiErr.Detail,
		RetryAfterMillis: apiErr.RetryAfter.Milliseconds(),
	}
}

// errorOf converts an error reply back to an error; nil if the reply has a result.
func errorOf(reply *wirepb.Reply) error {
	if reply.GetCode() == int32(api.OK) {
		return nil
	}
	return &api.Error{
		Code:       api.Code(reply.GetCode()),
		Detail:     reply.GetDetail(),
		Execution:  api.Execution(reply.GetExecution()),
		RetryAfter: time.Duration(reply.GetRetryAfterMillis()) * time.Millisecond,
	}
}

// decodeReply decodes the result in a reply, or returns the reply's error.
func decodeReply[T any](reply *wirepb.Reply) (T, error) {
	var answer T
	if err := errorOf(reply); err != nil {
		return answer, err
	}
	if err := json.Unmarshal(reply.GetBody(), &answer); err != nil {
		return answer, api.Errorf(api.Internal, "reply of a peer cannot be read: %v", err)
	}
	return answer, nil
}
