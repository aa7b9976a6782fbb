package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// maxHandshakes bounds the connections that have not proven the cluster key yet.
const maxHandshakes = 256

// acceptRetryDelay is the wait after a failed accept, for example when the process
// has no file descriptors left.
const acceptRetryDelay = 50 * time.Millisecond

// ServerHandler serves requests of peers. It is called on one goroutine per
// request, so one-way requests of a peer may be reordered.
type ServerHandler interface {
	// ServePeer serves one request and returns its reply; nil for one-way requests.
	// onPart sends a part of the answer ahead of the reply. It may block
	// for flow control, returns early when ctx has ended, does not keep
	// text, and must not be called concurrently or after ServePeer
	// has returned. ctx ends when the client cancels or its link breaks.
	ServePeer(ctx context.Context, request *wirepb.Request, onPart func(offset int64, text []byte)) *wirepb.Reply
}

// Server serves requests on connections of peers. Safe for concurrent use.
type Server struct {
	traffic
	listener     net.Listener
	options      Options
	handler      ServerHandler
	ctx          context.Context // ends with Close
	stop         context.CancelFunc
	tasks        sync.WaitGroup
	openRequests openCount
	connections  openCount
	draining     atomic.Bool
	handshakes   chan struct{} // one token per handshake in progress
	memory       *frameMemory

	mu    sync.Mutex
	links map[*link]struct{}
}

// Listen starts a server at a TCP address ("host:port"; port 0: any free port).
func Listen(address string, options Options, handler ServerHandler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return Serve(listener, options, handler), nil
}

// Serve starts a server on a listener. The server closes the listener.
func Serve(listener net.Listener, options Options, handler ServerHandler) *Server {
	ctx, stop := context.WithCancel(context.Background())
	server := &Server{
		listener: listener, options: options.withDefaults(), handler: handler, ctx: ctx, stop: stop,
		handshakes: make(chan struct{}, maxHandshakes),
		links:      make(map[*link]struct{}),
		memory:     newFrameMemory(),
	}
	server.tasks.Go(server.accept)
	return server
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// accept accepts connections until the server is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if s.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			s.options.Logger.Error("accept failed", "error", err.Error())
			s.pause(acceptRetryDelay)
			continue
		}
		s.admit(conn)
	}
}

// pause waits for the delay or until the server is closed.
func (s *Server) pause(delay time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(delay):
	}
}

// admit serves the connection unless too many handshakes are in progress.
func (s *Server) admit(conn net.Conn) {
	select {
	case s.handshakes <- struct{}{}:
		s.connections.begin()
		s.tasks.Go(func() {
			defer s.connections.end()
			s.serve(conn)
		})
	default:
		s.options.Logger.Warn("too many handshakes, refusing", "address", conn.RemoteAddr().String())
		_ = conn.Close()
	}
}

// serve runs one connection to its end.
func (s *Server) serve(conn net.Conn) {
	unhook := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer unhook()
	remote, err := s.prepare(conn)
	<-s.handshakes
	if err != nil {
		_ = conn.Close()
		s.options.Logger.Warn("handshake failed", "address", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	accepted := newLink(conn, remote, s.options, &s.traffic, s.memory, nil)
	s.track(accepted)
	defer s.untrack(accepted)
	newResponder(s, accepted).run()
}

func (s *Server) prepare(conn net.Conn) (string, error) {
	if err := tune(conn); err != nil {
		return "", err
	}
	return acceptHandshake(conn, s.options, &s.traffic)
}

func (s *Server) track(accepted *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[accepted] = struct{}{}
	if s.draining.Load() {
		accepted.sendDrainNotice()
	}
}

func (s *Server) untrack(accepted *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, accepted)
}

// Close ends all connections and the contexts of all requests, and waits for
// their handlers to return.
func (s *Server) Close() error {
	s.stop()
	err := s.listener.Close()
	s.tasks.Wait()
	if errors.Is(err, net.ErrClosed) { // closed by Drain
		return nil
	}
	return err
}
