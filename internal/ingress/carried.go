package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/upstream"
)

// errCarrierUnresponsive is the reason why a send through a carrier that no longer responds is cancelled.
var errCarrierUnresponsive = errors.New("the peer that carried the request became unresponsive")

// Carrier sends requests through peers, over the connections that they keep open to engines.
// *carry.Client implements it.
type Carrier interface {
	// Choose decides whether a request to an engine in a zone is sent through a peer. The decision
	// depends on the engine, its address and the size of the body.
	Choose(request carry.Request, zone string, hasSendDeadline bool) carry.Decision
	// Send returns the engine's answer, whose body must be closed.
	Send(ctx context.Context, peer string, request carry.Request) (*http.Response, error)
	// Alive reports whether a peer still runs. It may block.
	Alive(ctx context.Context, peer string) bool
}

// transmit sends the request to its engine, through a peer if the carrier decides so, and returns the
// head of the answer. If the peer certainly has not sent the request, this node sends it.
func (t *attempt) transmit(lastEvent string) (*http.Response, error) {
	carrier := t.request.handler.options.Carrier
	if carrier == nil {
		return t.sendDirectly(lastEvent)
	}
	candidate := carry.Request{Engine: t.placed.Engine.ID, Address: t.placed.Engine.Address}
	candidate.Body = t.request.body
	decision := carrier.Choose(candidate, t.placed.Engine.Zone, t.placed.HasSendDeadline())
	t.recordVia(decision)
	if decision.Peer == "" {
		return t.sendDirectly(lastEvent)
	}
	t.reportLastSend()
	if err := t.checkLastSend(); err != nil {
		return nil, err
	}
	t.peer.Store(&decision.Peer)
	t.markSent()
	response, err := carrier.Send(t.ctx, decision.Peer, t.carriedRequest(lastEvent))
	switch {
	case err == nil:
		return t.checkAnswer(response)
	case !errors.Is(err, carry.ErrNotRun):
		return nil, err
	}
	t.peer.Store(nil)
	t.sent = false
	t.recordVia(carry.Decision{Peer: decision.Peer, Reason: carry.Declined})
	return t.sendDirectly(lastEvent)
}

// checkAnswer returns an answer that came through a peer, if it belongs to this request.
func (t *attempt) checkAnswer(response *http.Response) (*http.Response, error) {
	r := t.request
	if r.handler.options.Protocol.IsAnswerTo(response.Header, r.call) {
		return response, nil
	}
	response.Body.Close()
	return nil, errors.Mark(errors.New("the peer returned the answer to another request"), carry.ErrLost)
}

// carriedRequest returns the request as it is sent to a peer.
func (t *attempt) carriedRequest(lastEvent string) carry.Request {
	r := t.request
	return carry.Request{
		Request:   r.outgoing(t.placed.Engine, lastEvent),
		Engine:    t.placed.Engine.ID,
		Address:   t.placed.Engine.Address,
		CallID:    r.call.ID,
		LastEvent: lastEvent,
		Tenant:    r.tenantName(),
		Deadline:  r.deadline,
		LastRun:   t.isLastRun(),
	}
}

// sendDirectly sends the request over a connection of this node.
func (t *attempt) sendDirectly(lastEvent string) (*http.Response, error) {
	options := t.request.handler.options
	if t.ctx.Err() != nil {
		return nil, errors.Mark(context.Cause(t.ctx), upstream.ErrNoConnection)
	}
	conn, err := options.Pool.Open(t.ctx, destinationOf(t.placed.Engine))
	if err != nil {
		return nil, err
	}
	t.reportLastSend()
	if err := t.checkLastSend(); err != nil {
		options.Pool.Release(conn)
		return nil, err
	}
	if !t.placed.MaySend(time.Now()) {
		options.Pool.Release(conn)
		return nil, errSendExpired
	}
	t.markSent()
	answer, err := options.Pool.Send(t.ctx, conn, t.request.outgoing(t.placed.Engine, lastEvent))
	if err != nil {
		return nil, err
	}
	return answer.Response, nil
}

// markSent records that the engine, or a peer that carries the request there, is given the request now.
func (t *attempt) markSent() {
	t.sent = true
	t.sentAfter.Store(int64(time.Since(t.startedAt)))
}

// recordVia records in the report whether the request was sent directly or through a peer.
func (t *attempt) recordVia(decision carry.Decision) {
	t.request.reportMutex.Lock()
	defer t.request.reportMutex.Unlock()
	t.request.report.Attempts[t.index].Via = decision
}

// carrierUnresponsive reports whether the request is sent through a peer that no longer responds.
func (t *attempt) carrierUnresponsive() bool {
	peer := t.peer.Load()
	return peer != nil && !t.request.handler.options.Carrier.Alive(t.ctx, *peer)
}

// carrierLost reports whether the send ended because its carrier was lost.
func (t *attempt) carrierLost(err error) bool {
	return errors.Is(err, carry.ErrLost) || errors.Is(context.Cause(t.ctx), errCarrierUnresponsive)
}
