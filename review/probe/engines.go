package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in for an engine.
type engine struct {
	world    *world
	id       string
	service  string
	zone     string
	version  string
	state    string
	listener net.Listener
	server   *http.Server
	sequence atomic.Int64
	stop     chan struct{}
	work     time.Duration // of a plain request
	events   int
	pause    time.Duration // between events
	// handle, if not nil, sees each request first, after it was recorded as run, and returns true if it has answered.
	handle func(writer http.ResponseWriter, request *http.Request, body []byte) bool
	// before, if not nil, sees each request before it runs, and returns true if it has answered.
	before func(writer http.ResponseWriter, request *http.Request, body []byte) bool

	mutex sync.Mutex
}

// addEngine starts an engine, which announces itself in the store.
func (w *world) addEngine(id, service, zone string) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{world: w, id: id, service: service, zone: zone, version: "v1", state: "ready", listener: listener, stop: make(chan struct{}),
		work: 20 * time.Millisecond, events: 4, pause: 20 * time.Millisecond}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	w.engines = append(w.engines, e)
	go func() { _ = e.server.Serve(listener) }()
	e.beat()
	go e.heartbeat()
	return e, nil
}

func (e *engine) address() string { return e.listener.Addr().String() }

// beat writes the engine's entry to the store.
func (e *engine) beat() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.world.store.Put("servers", "", e.id, map[string]any{
		"service": e.service, "address": e.address(), "zone": e.zone, "version": e.version, "slots": 12,
		"state": e.state, "cold_left_ms": 0, "sequence": e.sequence.Add(1),
	})
}

func (e *engine) heartbeat() {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.beat()
		case <-e.stop:
			return
		}
	}
}

func (e *engine) serve(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		writer.Header().Set("X-Instance-Id", e.id)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		writer.Header().Set("X-Instance-Id", e.id)
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.before != nil && e.before(writer, request, body) {
		return
	}
	id := request.Header.Get("X-Request-Id")
	e.world.beginRun()
	defer e.world.running.Add(-1)
	e.world.addRun(run{engine: e.id, service: e.service, id: id, target: request.RequestURI, body: string(body), previous: request.Header.Get("X-Previous-Turn"), at: time.Now()})
	if e.handle != nil && e.handle(writer, request, body) {
		return
	}
	e.answer(writer, request)
}

// answer answers as a sound engine does.
func (e *engine) answer(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get("X-Token-Usage") != "" {
		e.stream(writer, request, e.events, e.pause)
		return
	}
	e.sign(writer, request)
	if sleep(request, e.work) {
		_, _ = io.WriteString(writer, "answer of "+e.id)
	}
}

// sign sets the headers of an answer.
func (e *engine) sign(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	writer.Header().Set("X-Response-Seal", "seal-"+e.id)
}

// stream answers with events, each after a pause, until the caller leaves.
func (e *engine) stream(writer http.ResponseWriter, request *http.Request, events int, pause time.Duration) {
	e.sign(writer, request)
	writer.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := first + 1; number <= events; number++ {
		if !sleep(request, pause) {
			e.world.logf("left    %s by its caller after %d events", request.Header.Get("X-Request-Id"), number-1)
			return
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s-%d\n\n", number, request.Header.Get("X-Request-Id"), number)
		_ = http.NewResponseController(writer).Flush()
	}
}

// sleep waits, and returns false if the caller left meanwhile.
func sleep(request *http.Request, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-request.Context().Done():
		return false
	}
}
