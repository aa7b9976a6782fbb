package wire

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// errOverrun means that the peer exceeded a stream's window.
var errOverrun = errors.New("peer sent more than the stream's window")

// session is the client side of one connection: its streams by correlation
// id. Safe for concurrent use.
type session struct {
	link *link
	down chan struct{} // closed once no more frames are received or sent

	mu              sync.Mutex
	lastCorrelation uint64 // the last correlation id that was assigned
	streams         map[uint64]*stream
	draining        bool // the peer has sent its drain notice: no stream is opened any more
}

func newSession(link *link) *session {
	s := &session{
		link:    link,
		down:    make(chan struct{}),
		streams: make(map[uint64]*stream),
	}
	link.onProgress = s.onProgress
	return s
}

// onProgress reports to all requests that wait on the connection that a chunk of a large frame arrived.
func (s *session) onProgress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, waiting := range s.streams {
		progress.Report(waiting.ctx)
	}
}

// run reads frames until the link ends.
func (s *session) run() {
	s.link.read(s.handle)
	<-s.link.writerDone
	close(s.down)
}

// handle passes parts and replies to their stream. It drops those of an unknown
// correlation id, which are late or duplicate.
func (s *session) handle(frame *wirepb.Frame) error {
	switch body := frame.GetBody().(type) {
	case *wirepb.Frame_Part:
		if stream := s.lookup(frame.GetCorrelation()); stream != nil {
			stream.addPart(body.Part)
		}
	case *wirepb.Frame_Reply:
		if frame.GetCorrelation() == 0 && isDrainReply(body.Reply) {
			s.beginDrain()
			return nil
		}
		if stream := s.remove(frame.GetCorrelation()); stream != nil {
			stream.setReply(body.Reply)
		}
	default:
		return errUnexpectedFrame
	}
	return nil
}

// open starts a stream under a correlation id not used before. It returns nil
// if the peer is draining.
func (s *session) open(ctx context.Context) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil
	}
	s.lastCorrelation++
	opened := newStream(ctx, s.lastCorrelation)
	s.streams[opened.correlation] = opened
	return opened
}

// beginDrain handles the peer's drain notice: it closes the link once there are no open streams.
func (s *session) beginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	s.closeIfDrained()
}

// closeIfDrained closes the link, behind the frames that are queued, if the peer
// is draining and there are no open streams. s.mu is held.
func (s *session) closeIfDrained() {
	if s.draining && len(s.streams) == 0 {
		s.link.queue.force(&outgoing{closeAfter: true})
	}
}

// isDraining reports whether the peer has sent its drain notice.
func (s *session) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *session) lookup(correlation uint64) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[correlation]
}

// remove removes the stream and returns it, so that its later frames are dropped.
func (s *session) remove(correlation uint64) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := s.streams[correlation]
	if removed != nil {
		delete(s.streams, correlation)
		s.closeIfDrained()
	}
	return removed
}

// idle reports whether there are no open streams.
func (s *session) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams) == 0
}

// errNotSentDraining is ErrPeerDraining for a request that was not sent.
var errNotSentDraining = errors.Mark(errors.Mark(ErrPeerDraining, errQueueClosed), ErrNotSent)

// exchange sends a request and waits for its reply. Errors are marked with
// ErrNotSent or ErrLinkBroken.
func (s *session) exchange(
	ctx context.Context, request *wirepb.Request, onPart func(offset int64, text []byte),
) (*wirepb.Reply, error) {
	opened := s.open(ctx)
	if opened == nil {
		return nil, errNotSentDraining
	}
	reply, err := s.exchangeOn(ctx, opened, request, onPart)
	if err == nil && isDrainReply(reply) && s.isDraining() {
		return nil, errors.Mark(errors.Wrap(ErrPeerDraining, "request rejected"), ErrNotSent)
	}
	return reply, err
}

// exchangeOn performs an exchange on an open stream, which it closes.
func (s *session) exchangeOn(
	ctx context.Context, opened *stream, request *wirepb.Request, onPart func(offset int64, text []byte),
) (*wirepb.Reply, error) {
	defer s.remove(opened.correlation)
	sentAt := time.Now()
	frame, err := s.enqueue(ctx, opened.correlation, request)
	if err != nil {
		return nil, err
	}
	for {
		reply, err := s.deliver(opened, onPart)
		if reply != nil || err != nil {
			return reply, err
		}
		select {
		case <-opened.wake:
		case <-ctx.Done():
			reply, err := s.deliver(opened, onPart) // both may have happened since this process last ran
			if reply != nil || err != nil {
				return reply, err
			}
			return nil, s.abandon(ctx, opened, frame, sentAt)
		case <-s.down:
			reply, err := s.deliver(opened, onPart)
			if reply != nil || err != nil {
				return reply, err
			}
			return nil, s.brokenError(frame)
		}
	}
}

// send queues a one-way request. It does not wait for the socket.
func (s *session) send(ctx context.Context, request *wirepb.Request) error {
	if s.isDraining() {
		return errNotSentDraining
	}
	_, err := s.enqueue(ctx, 0, request)
	return err
}

// enqueue puts the request into the link's queue, unless ctx has ended
// already. Errors: ErrNotSent.
func (s *session) enqueue(ctx context.Context, correlation uint64, request *wirepb.Request) (*outgoing, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "queue request"), ErrNotSent)
	}
	message := &wirepb.Frame{Correlation: correlation, Body: &wirepb.Frame_Request{Request: request}}
	encoded, err := encodeFrame(message, s.link.options.MaxFrameBytes)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	frame := &outgoing{encoded: encoded}
	if err := s.link.queue.push(ctx, frame); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "queue request"), ErrNotSent)
	}
	return frame, nil
}

// deliver passes received parts to onPart and returns the reply if it has arrived.
func (s *session) deliver(opened *stream, onPart func(offset int64, text []byte)) (*wirepb.Reply, error) {
	parts, reply, overrun := opened.take()
	for _, part := range parts {
		if onPart != nil {
			onPart(part.GetOffset(), part.GetText())
		}
		cost := partCost(part.GetText())
		opened.consumed(cost)
		if reply == nil {
			s.grant(opened, cost)
		}
	}
	if overrun {
		s.cancel(opened)
		return nil, errors.Mark(errOverrun, ErrLinkBroken)
	}
	return reply, nil
}

// grant extends the peer's window once half a window has been consumed.
func (s *session) grant(opened *stream, bytes int) {
	opened.ungranted += bytes
	if opened.ungranted < windowGrantBytes {
		return
	}
	window := &wirepb.Window{Bytes: uint32(opened.ungranted)}
	s.link.control(&wirepb.Frame{
		Correlation: opened.correlation, Body: &wirepb.Frame_Window{Window: window},
	})
	opened.ungranted = 0
}

// cancel sends the peer a cancellation of the stream.
func (s *session) cancel(opened *stream) {
	s.link.control(&wirepb.Frame{
		Correlation: opened.correlation, Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{}},
	})
}

// abandon ends an exchange whose context ended, and returns the outcome of its request.
func (s *session) abandon(ctx context.Context, opened *stream, frame *outgoing, sentAt time.Time) error {
	if frame.withdraw() {
		return errors.Mark(errors.Wrap(ctx.Err(), "request withdrawn"), ErrNotSent)
	}
	if s.link.liveness.abandoned(sentAt, s.link.options.UnresponsiveTimeout) {
		s.link.liveness.afterGrace(func() { s.link.fail(errUnresponsive) })
	}
	s.cancel(opened)
	return errors.Mark(errors.Wrap(ctx.Err(), "request abandoned"), ErrLinkBroken)
}

// brokenError returns the outcome of a request whose link ended. s.down is closed.
func (s *session) brokenError(frame *outgoing) error {
	if frame.withdraw() {
		return errors.Mark(errors.Wrap(s.link.cause, "link ended before sending"), ErrNotSent)
	}
	return errors.Mark(errors.Wrap(s.link.cause, "link ended"), ErrLinkBroken)
}
