package carry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Limits on the number of requests that a node carries at once. A request takes memory for its body,
// at most MaxBodyBytes, and for the part of the answer that its sender has not read yet, at most
// wire.StreamWindowBytes.
const (
	maxPerCore = 80 // requests
	minCarried = 16
	maxCarried = 64
)

// Hop is what the carrier adds to a request for the engine.
type Hop struct {
	Engine    string // its name
	LastEvent string
	Tenant    string
	Remaining time.Duration
}

// ServerOptions are the options of a Server.
type ServerOptions struct {
	Pool       *upstream.Pool
	Processors float64 // of this machine, in cores; 0 if unknown
	// ResolveEngine reports whether an incarnation of an engine has an address and takes new work, in
	// the view of this node, and returns the engine's name. A restarted engine is another incarnation:
	// a sender that learns of the restart later or earlier than this node sends directly.
	ResolveEngine func(engine, address string) (name string, reaches bool)
	// SetHeaders sets the headers that the carrier adds or replaces for the engine.
	SetHeaders func(header http.Header, hop Hop)
	// MatchesCall reports whether an answer belongs to a call.
	MatchesCall func(header http.Header, call string) bool
}

// Stats are the counters of a Server.
type Stats struct {
	Carried  uint64 // accepted requests
	Declined uint64 // declined requests
	InFlight int
}

// Server sends requests of peers to engines. Safe for concurrent use.
type Server struct {
	options ServerOptions
	limit   int

	mutex    sync.Mutex
	stats    Stats
	stopping bool
	idle     chan struct{} // closed once the server is stopping and nothing is in flight
}

// NewServer returns a server.
func NewServer(options ServerOptions) *Server {
	limit := min(maxCarried, max(minCarried, int(options.Processors*maxPerCore)))
	if options.Processors <= 0 {
		limit = maxCarried
	}
	return &Server{options: options, limit: limit, idle: make(chan struct{})}
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stats
}

// StopAccepting declines all further requests.
func (s *Server) StopAccepting() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return
	}
	s.stopping = true
	if s.stats.InFlight == 0 {
		close(s.idle)
	}
}

// Drain waits until the accepted requests have ended. StopAccepting must have been called.
// The error is the context's.
func (s *Server) Drain(ctx context.Context) error {
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin accepts a request and returns the name of its engine, or returns a reply that declines it.
func (s *Server) begin(request *wirepb.CarryRequest) (string, *wirepb.Reply) {
	name, usable := s.options.ResolveEngine(request.GetEngine(), request.GetAddress())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var declined *wirepb.Reply
	switch {
	case s.stopping:
		declined = failure(api.Draining, api.NotRun, "the node is stopping")
	case s.stats.InFlight >= s.limit:
		declined = failure(api.Overloaded, api.NotRun, "the node carries as many requests as it may")
	case !usable:
		declined = failure(api.UnknownTarget, api.NotRun, "the engine is not known, or takes no new work")
	default:
		s.stats.InFlight++
		s.stats.Carried++
		return name, nil
	}
	s.stats.Declined++
	return "", declined
}

func (s *Server) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.InFlight--
	if s.stopping && s.stats.InFlight == 0 {
		close(s.idle)
	}
}

func failure(code api.Code, execution api.Execution, detail string) *wirepb.Reply {
	return &wirepb.Reply{Code: int32(code), Execution: string(execution), Detail: detail}
}

// Answer sends a peer's request to its engine, and forwards the answer as it arrives. ctx ends
// when the peer, or its client, has disconnected.
func (s *Server) Answer(ctx context.Context, request *wirepb.Request, onPart func(offset int64, text []byte)) *wirepb.Reply {
	receivedAt := time.Now()
	carried := request.GetCarryRequest()
	name, declined := s.begin(carried)
	if declined != nil {
		return declined
	}
	defer s.end()
	parts := newForwarder(onPart)
	defer parts.end()
	deadline := receivedAt.Add(time.Duration(request.GetTimeoutMillis()) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := s.options.Pool.Open(ctx, upstream.Destination{Incarnation: carried.GetEngine(), Address: carried.GetAddress()})
	if err != nil {
		return failure(api.NoReadyBackend, api.NotRun, err.Error())
	}
	if ctx.Err() != nil {
		s.options.Pool.Release(conn)
		return failure(api.Cancelled, api.NotRun, "the sender left before the request went out")
	}
	answer, err := s.options.Pool.Send(ctx, conn, s.upstreamRequest(carried, name, deadline))
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return failure(api.NoReadyBackend, api.NotRun, err.Error())
	case err != nil:
		return failure(api.OutcomeUnknown, api.Unknown, err.Error())
	}
	defer answer.Close()
	last, err := parts.forward(answer)
	if err != nil {
		return failure(api.OutcomeUnknown, api.Unknown, err.Error())
	}
	return &wirepb.Reply{Body: last}
}

// upstreamRequest returns the request for the engine, with the time that is left now.
func (s *Server) upstreamRequest(carried *wirepb.CarryRequest, engine string, deadline time.Time) upstream.Request {
	header := decodeHeaders(carried.GetHeaders())
	s.options.SetHeaders(header, Hop{
		Engine:    engine,
		LastEvent: string(carried.GetLastEvent()),
		Tenant:    carried.GetTenant(),
		Remaining: time.Until(deadline),
	})
	return upstream.Request{
		Method: carried.GetMethod(),
		Target: string(carried.GetTarget()),
		Host:   carried.GetHost(),
		Header: header,
		Body:   carried.GetBody(),
		Accept: func(answerHeader http.Header) bool {
			return s.options.MatchesCall(answerHeader, string(carried.GetCall()))
		},
	}
}
