package command

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// readHeaderTimeout bounds how long a client may take to send a header.
const readHeaderTimeout = 10 * time.Second

// Server serves one HTTP handler on one address.
type Server struct {
	listener net.Listener
	server   *http.Server
	failed   chan error
}

// Serve listens on address (IP:port; port 0 takes a free one) and serves
// handler in the background until Shutdown or Close.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &Server{
		listener: listener,
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
		failed:   make(chan error, 1),
	}
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.failed <- errors.Wrap(err, "serve")
		}
	}()
	return s, nil
}

// URL returns the base URL under which the server is reached.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Failed yields an error if serving ends by itself.
func (s *Server) Failed() <-chan error { return s.failed }

// Shutdown stops listening and waits for requests under way.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close stops at once and cuts requests under way.
func (s *Server) Close() error { return s.server.Close() }
