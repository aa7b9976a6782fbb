package wire

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// peerCloseTimeout bounds the wait for peers to close their connections in a
// drain, once all their requests are answered. The notice and the close take one
// round trip, a few ms between regions; the rest covers a peer that
// stands still: what it has sent until it reads the notice would have an unknown outcome.
// Peers that are lost do not close their connections at all.
const peerCloseTimeout = time.Second

// ErrPeersConnected means that peers did not close their connections in a drain.
var ErrPeersConnected = errors.New("peers keep their connections")

// openCount counts open requests or open connections of a server. Safe for
// concurrent use.
type openCount struct {
	mu    sync.Mutex
	count int
	none  chan struct{} // closed when count falls to 0; nil while it is 0
}

func (o *openCount) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count == 0 {
		o.none = make(chan struct{})
	}
	o.count++
}

func (o *openCount) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	if o.count == 0 {
		close(o.none)
		o.none = nil
	}
}

// wait returns nil once the count is 0, or the context's error.
func (o *openCount) wait(ctx context.Context) error {
	o.mu.Lock()
	none := o.none
	o.mu.Unlock()
	if none == nil {
		return nil
	}
	select {
	case <-none:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Drain prepares a planned stop. It closes the listener, notifies peers that the
// server is draining, rejects requests that arrive from then on, and waits until
// earlier requests are answered. A peer closes its connection once it has no open
// streams, so no request has an unknown outcome. One-way requests, which cannot
// be rejected, are still served. The caller calls Close afterwards. The error is
// the context's, or ErrPeersConnected.
func (s *Server) Drain(ctx context.Context) error {
	_ = s.listener.Close()
	links := s.beginDrain()
	for _, accepted := range links {
		accepted.sendDrainNotice()
	}
	if err := s.openRequests.wait(ctx); err != nil {
		return err
	}
	for _, accepted := range links {
		if err := accepted.flush(ctx); err != nil {
			return err
		}
	}
	closeCtx, cancel := context.WithTimeout(ctx, peerCloseTimeout)
	defer cancel()
	if err := s.connections.wait(closeCtx); err != nil {
		return errors.Mark(errors.Wrapf(err, "wait for draining peers to disconnect"), ErrPeersConnected)
	}
	return nil
}

// beginDrain makes the server reject requests from now on, and returns the links
// that need a drain notice. track sends the notice on links that it adds later.
func (s *Server) beginDrain() []*link {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	links := make([]*link, 0, len(s.links))
	for accepted := range s.links {
		links = append(links, accepted)
	}
	return links
}

// drainReply rejects a request that arrived after the drain began. Under
// correlation 0, which no request has, it is the drain notice to the peer.
// Peers of earlier versions ignore the notice.
func drainReply() *wirepb.Reply {
	return &wirepb.Reply{Code: int32(api.Draining), Execution: string(api.NotRun), Detail: "the node is stopping"}
}

// isDrainReply reports whether the reply is a drainReply.
func isDrainReply(reply *wirepb.Reply) bool {
	return api.Code(reply.GetCode()) == api.Draining && api.Execution(reply.GetExecution()) == api.NotRun
}

// sendDrainNotice notifies the other side, once, that this server is draining.
func (l *link) sendDrainNotice() {
	l.drainNoticeOnce.Do(func() {
		l.control(&wirepb.Frame{Body: &wirepb.Frame_Reply{Reply: drainReply()}})
	})
}

// flush waits until the frames queued so far were written to the socket or
// the link has ended. The error is the context's.
func (l *link) flush(ctx context.Context) error {
	marker := &outgoing{flushed: make(chan struct{})}
	l.queue.force(marker)
	select {
	case <-marker.flushed:
	case <-l.writerDone:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
