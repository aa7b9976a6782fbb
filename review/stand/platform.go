package stand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// Names and figures of the configuration.
const (
	Host           = "review.example"
	TokensPerEvent = 9
	engineCount    = 3
	Retention      = 60 * time.Second // retain_s
	clientDeadline = 4 * time.Second
)

// Service returns the name of one of the services.
const Service = "models"

// Run is a request that an engine ran.
type Run struct {
	Engine, ID, Body string
	After            int // Last-Event-Id; 0 if the run began at the start
}

// Engines are the engines of one service.
type Engines struct {
	bed     *Bed
	service string
	events  int           // of a stream
	pause   time.Duration // between two events

	mutex   sync.Mutex
	engines []*operators.Engine
	runs    map[string]Run // the last one of each request
}

// StartEngines starts engines of a service, one a zone, and enters them into the store. Each answers a stream of events,
// with a pause after each event.
func (b *Bed) StartEngines(service string, events int, pause time.Duration) *Engines {
	e := &Engines{bed: b, service: service, events: events, pause: pause, runs: make(map[string]Run)}
	for number := range engineCount {
		e.Add(fmt.Sprintf("%s-%d", service, number+1), Zones[number])
	}
	return e
}

// Add starts one more engine and enters it into the store.
func (e *Engines) Add(id, zone string) *operators.Engine {
	engine := operators.NewEngine(id, e.events)
	engine.SetHandler(func(writer http.ResponseWriter, request *http.Request) bool {
		return e.Handle(id, writer, request)
	})
	e.engines = append(e.engines, engine)
	e.bed.Store.PutEngine(engine, e.service, zone, "ready", 0)
	return engine
}

// EventData returns the data of an event of a request's stream. It is the same at each engine, as on a route whose
// streams may be taken up elsewhere.
func EventData(stream string, number int) string {
	return fmt.Sprintf("reply %d to %s", number, stream)
}

// Handle runs a request as an engine does.
func (e *Engines) Handle(engine string, writer http.ResponseWriter, request *http.Request) bool {
	parsed, ofClient := operators.ParseRequest(request)
	if !ofClient {
		writer.WriteHeader(http.StatusNotFound)
		return true
	}
	e.mutex.Lock()
	e.runs[parsed.ID] = Run{Engine: engine, ID: parsed.ID, Body: parsed.Body, After: parsed.LastEventID}
	e.mutex.Unlock()
	e.bed.Log("%s runs %s after event %d: %d bytes", engine, parsed.ID, parsed.LastEventID, len(parsed.Body))
	operators.WriteAnswerHeader(writer, parsed.ID, "seal-"+engine, http.StatusOK, parsed.MaxTokens > 0)
	if parsed.MaxTokens == 0 {
		_, _ = io.WriteString(writer, "answer of "+engine) // a client that has left needs no answer
		return true
	}
	for number := parsed.LastEventID + 1; number <= e.events; number++ {
		operators.WriteEvent(writer, number, EventData(streamOf(parsed.Body), number))
		select {
		case <-request.Context().Done():
			return true
		case <-time.After(e.pause):
		}
	}
	return true
}

// streamOf names a stream by the last line of its prompt, which is the same when the stream is taken up.
func streamOf(body string) string {
	name, _, _ := strings.Cut(body[strings.LastIndexByte(body, '\n')+1:], " ")
	return name
}

// RunOf returns the last run of a request.
func (e *Engines) RunOf(id string) (Run, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	run, found := e.runs[id]
	return run, found
}

// Close ends the engines.
func (e *Engines) Close() {
	for _, engine := range e.engines {
		engine.Server.CloseClientConnections()
		_ = engine.Server.Listener.Close()
	}
}

// Configure writes a configuration without tenants; the store has acknowledged it when Configure returns.
func (b *Bed) Configure(version int, routes []operators.Route, services ...string) {
	described := make([]operators.Service, len(services))
	for i, service := range services {
		described[i] = operators.Service{Name: service, TokensPerEvent: TokensPerEvent}
	}
	document := operators.Configuration(version, Host, described, routes, nil, 10*time.Second)
	delete(document, "tenants")
	b.Store.PutConfiguration(document)
	b.Log("configuration %d acknowledged", version)
}

// Turn is one turn of a program, as a client sends it; a request outside of programs if MaxTokens is 0.
type Turn struct {
	ID, Route, Program, Session, Previous, Input string
	Budget, MaxTokens                            int64
	After                                        int // Last-Event-Id; 0 for none
}

// Send sends a turn to a process on a new connection, and records the answer.
func (b *Bed) Send(ctx context.Context, p *Process, turn Turn) operators.Reply {
	request, err := turn.request(ctx, p.Address())
	if err != nil {
		return operators.Reply{Err: err}
	}
	b.Log("%s sent to %s: previous turn %q, after event %d, %d bytes", turn.ID, p.Node, turn.Previous, turn.After, len(turn.Input))
	reply := exchange(request)
	b.Log("%s answered by %s: status %d, %d events, complete %t, error %v", turn.ID, p.Node, reply.Status, len(reply.Events), reply.Complete, reply.Err)
	return reply
}
