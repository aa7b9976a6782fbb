package command

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// readHeaderTimeout is the time limit for reading a request header.
const readHeaderTimeout = 10 * time.Second

// Server serves one HTTP handler on one address.
type Server struct {
	listener net.Listener
	server   *http.Server
	failed   chan error
}

// Serve listens on address (IP:port; port 0 selects a free one) and serves
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

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Failed returns a channel that receives an error if serving ends without Shutdown or Close.
func (s *Server) Failed() <-chan error { return s.failed }

// Shutdown stops listening and waits for requests in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close stops immediately and aborts requests in flight.
func (s *Server) Close() error { return s.server.Close() }
