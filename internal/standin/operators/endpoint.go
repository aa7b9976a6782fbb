package operators

import (
	"cmp"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
)

// Endpoint is an additional address of a store. Its calls can be rejected while those
// to the other addresses are served.
type Endpoint struct {
	Server *httptest.Server // at its first address

	mutex    sync.Mutex
	moved    *httptest.Server // at its current address; nil if it never moved
	fault    atomic.Int64
	rejected atomic.Int64
}

// NewEndpoint returns an endpoint that serves as the store does. The caller closes its
// Server.
func (s *Store) NewEndpoint() *Endpoint {
	e := &Endpoint{}
	e.Server = httptest.NewServer(e.handler(s))
	return e
}

// handler returns the handler of an endpoint of a store.
func (e *Endpoint) handler(s *Store) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		fault := Fault(e.fault.Load())
		if fault != Healthy {
			e.rejected.Add(1)
			_, _ = io.Copy(io.Discard, request.Body) // otherwise a client disconnect would not be detected
		}
		if !applyFault(fault, writer, request) {
			s.Server.Config.Handler.ServeHTTP(writer, request)
		}
	})
}

// current returns the server at the endpoint's current address.
func (e *Endpoint) current() *httptest.Server {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return cmp.Or(e.moved, e.Server)
}

// Address returns the endpoint's current IP:port.
func (e *Endpoint) Address() string { return strings.TrimPrefix(e.current().URL, "http://") }

// Move gives the endpoint another address. It serves at the former one as well until leave is called.
func (e *Endpoint) Move() (leave func()) {
	former := e.current()
	server := httptest.NewServer(former.Config.Handler)
	e.mutex.Lock()
	e.moved = server
	e.mutex.Unlock()
	return func() { closeServer(former) }
}

// Close ends the endpoint at its current address, without waiting for calls in flight.
func (e *Endpoint) Close() { closeServer(e.current()) }

func closeServer(server *httptest.Server) {
	server.CloseClientConnections()
	_ = server.Listener.Close() // fails only if it is closed already
}

// SetFault sets the fault of all later calls: Unavailable, Throttle, LoseRequest or
// Hang, or Healthy for none.
func (e *Endpoint) SetFault(fault Fault) { e.fault.Store(int64(fault)) }

// RejectedCalls returns how many calls were made while a fault was set.
func (e *Endpoint) RejectedCalls() int { return int(e.rejected.Load()) }
