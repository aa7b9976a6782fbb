package operators

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/standin/loopback"
)

// Request is a request as an engine received it.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   string
}

// healthPath is the path of the health check.
const healthPath = "/health"

// Engine is the stand-in for one engine. It streams StreamEvents events if the
// request states a token usage, and otherwise answers with a single body.
type Engine struct {
	ID           string
	Server       *httptest.Server
	StreamEvents int // events of a complete stream

	connections  atomic.Int64
	healthChecks atomic.Int64
	unhealthy    atomic.Bool
	listener     *endableListener
	silent       chan struct{} // closed by FallSilent
	silentOnce   sync.Once

	mutex          sync.Mutex
	version        string                                        // of its software
	startUnixMilli int64                                         // reported start time; 0 for none
	restarts       int                                           // since New
	requests       []Request                                     // since the last start
	handler        func(http.ResponseWriter, *http.Request) bool // true: it has answered
	earlyHandler   func(http.ResponseWriter, *http.Request) bool // true: it has answered
}

// NewEngine returns a running engine that reports no start time. The caller closes its Server.
func NewEngine(id string, events int) *Engine {
	e := newUnstartedEngine(id, events, 0)
	e.start()
	return e
}

// NewEngineAt returns a running engine that reports the current time as its start time and listens on a reserved address.
// The caller closes its Server. It returns an error if it cannot listen there.
func NewEngineAt(id string, events int, address *loopback.Address) (*Engine, error) {
	listener, err := address.Listen()
	if err != nil {
		return nil, errors.Wrapf(err, "engine %s", id)
	}
	e := newUnstartedEngine(id, events, time.Now().UnixMilli())
	_ = e.Server.Listener.Close() // its address was not given to anyone yet
	e.Server.Listener = listener
	e.start()
	return e, nil
}

func newUnstartedEngine(id string, events int, startUnixMilli int64) *Engine {
	e := &Engine{ID: id, StreamEvents: events, version: "v1", startUnixMilli: startUnixMilli, silent: make(chan struct{})}
	e.Server = httptest.NewUnstartedServer(http.HandlerFunc(e.serve))
	e.Server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			e.connections.Add(1)
		}
	}
	e.Server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, restartsAtAccept{}, e.restartCount())
	}
	return e
}

// start has the engine accept connections.
func (e *Engine) start() {
	e.listener = newEndableListener(e.Server.Listener)
	e.Server.Listener = e.listener
	e.Server.Start()
}

// restartsAtAccept is the context key of the restart count at which a connection was accepted.
type restartsAtAccept struct{}

// restartCount returns how many times the engine was restarted.
func (e *Engine) restartCount() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.restarts
}

// Restart simulates a restart of the engine under the same id and address with a new start time. All
// recorded requests are lost and existing connections are closed.
func (e *Engine) Restart(startUnixMilli int64) {
	e.RestartKeepingConnections(startUnixMilli)
	e.Server.CloseClientConnections()
}

// RestartKeepingConnections is like Restart, but existing connections stay open and get no further responses.
func (e *Engine) RestartKeepingConnections(startUnixMilli int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.restarts++
	e.startUnixMilli = startUnixMilli
	e.requests = nil
	e.unhealthy.Store(false)
}

// StartUnixMilli returns the start time that the engine reports, in Unix ms; 0 for none.
func (e *Engine) StartUnixMilli() int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.startUnixMilli
}

// SetVersion sets the software version that the engine reports; v1 by default.
func (e *Engine) SetVersion(version string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.version = version
}

// Version returns the software version that the engine reports.
func (e *Engine) Version() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.version
}

// Address returns the engine's IP:port.
func (e *Engine) Address() string { return strings.TrimPrefix(e.Server.URL, "http://") }

// StoreEntry returns the entry that the engine writes to the store.
func (e *Engine) StoreEntry(service, state string) map[string]any {
	record := map[string]any{
		"service": service, "address": e.Address(), "zone": "zone-a", "version": e.Version(),
		"slots": 12, "state": state, "cold_left_ms": 0, "sequence": 1,
	}
	if startUnixMilli := e.StartUnixMilli(); startUnixMilli != 0 {
		record["born"] = startUnixMilli
	}
	return record
}

// SetHandler sets a function that sees each request first and returns true if
// it has answered it; nil removes it.
func (e *Engine) SetHandler(handler func(http.ResponseWriter, *http.Request) bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.handler = handler
}

// SetEarlyHandler is like SetHandler for a function that sees each request before its body is read.
func (e *Engine) SetEarlyHandler(handler func(http.ResponseWriter, *http.Request) bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.earlyHandler = handler
}

// Connections returns how many connections were made to the engine.
func (e *Engine) Connections() int64 { return e.connections.Load() }

// SetUnhealthy sets whether health checks fail.
func (e *Engine) SetUnhealthy(unhealthy bool) { e.unhealthy.Store(unhealthy) }

// HealthChecks returns how many health checks the engine received.
func (e *Engine) HealthChecks() int64 { return e.healthChecks.Load() }

// Requests returns the requests that the engine ran since its last start, oldest first.
func (e *Engine) Requests() []Request {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]Request(nil), e.requests...)
}

func (e *Engine) serve(writer http.ResponseWriter, request *http.Request) {
	connectionRestarts, _ := request.Context().Value(restartsAtAccept{}).(int)
	if connectionRestarts != e.restartCount() {
		<-request.Context().Done() // connection of an earlier incarnation: no response
		panic(http.ErrAbortHandler)
	}
	e.stopIfSilent(request)
	if request.URL.Path == healthPath {
		e.answerHealthCheck(writer)
		return
	}
	e.mutex.Lock()
	earlyHandler := e.earlyHandler
	e.mutex.Unlock()
	if earlyHandler != nil && earlyHandler(writer, request) {
		return
	}
	body, _ := io.ReadAll(request.Body)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != e.ID {
		e.writeIdentity(writer, http.StatusMisdirectedRequest)
		return
	}
	e.mutex.Lock()
	handler := e.handler
	e.mutex.Unlock()
	request.Body = io.NopCloser(bytes.NewReader(body)) // for handler to read
	if handler != nil && handler(writer, request) {
		return
	}
	e.mutex.Lock()
	if connectionRestarts != e.restarts {
		e.mutex.Unlock()
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	e.requests = append(e.requests, Request{
		Method: request.Method, Target: request.RequestURI, Host: request.Host,
		Header: request.Header.Clone(), Body: string(body),
	})
	e.mutex.Unlock()
	e.Answer(writer, request, e.StreamEvents)
}

// answerHealthCheck answers a health check; it is not recorded in Requests.
func (e *Engine) answerHealthCheck(writer http.ResponseWriter) {
	e.healthChecks.Add(1)
	status := http.StatusOK
	if e.unhealthy.Load() {
		status = http.StatusServiceUnavailable
	}
	e.writeIdentity(writer, status)
}

// writeIdentity responds with the engine's id and start time.
func (e *Engine) writeIdentity(writer http.ResponseWriter, status int) {
	writer.Header().Set("X-Instance-Id", e.ID)
	writer.WriteHeader(status)
	if startUnixMilli := e.StartUnixMilli(); startUnixMilli != 0 {
		fmt.Fprintf(writer, `{"born":%d}`, startUnixMilli)
	}
}

// Answer answers as a healthy engine does, but cuts a stream off after the given
// number of events if that is less than StreamEvents.
func (e *Engine) Answer(writer http.ResponseWriter, request *http.Request, events int) {
	e.stopIfSilent(request)
	header := writer.Header()
	header.Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	header.Set("X-Response-Seal", "seal-of-"+e.ID)
	if request.Header.Get("X-Token-Usage") == "" {
		_, _ = io.WriteString(writer, "answer of "+e.ID)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := first + 1; number <= events; number++ {
		e.stopIfSilent(request)
		fmt.Fprintf(writer, "id: %d\ndata: event %d\n\n", number, number)
		_ = http.NewResponseController(writer).Flush()
	}
	if events < e.StreamEvents {
		panic(http.ErrAbortHandler)
	}
}

// Shed rejects a request because of load.
func Shed(writer http.ResponseWriter, _ *http.Request) bool {
	writer.Header().Set("X-Not-Executed", "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// HangUp closes the connection without a response.
func HangUp(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }

// DelayHandler returns a handler that waits before the engine answers normally.
func DelayHandler(delay time.Duration) func(http.ResponseWriter, *http.Request) bool {
	return func(_ http.ResponseWriter, request *http.Request) bool {
		select {
		case <-time.After(delay):
		case <-request.Context().Done():
		}
		return false
	}
}
