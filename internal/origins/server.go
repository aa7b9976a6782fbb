package origins

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Server stores origins for peers and returns them, from a node's memory. Safe for concurrent use.
type Server struct {
	memory *Memory
	// versions returns the software versions of a service that the node lists or listed recently.
	versions func(service string) []string
	knownFor func(service string) time.Duration // see Options.KnownFor
	recorded func(service string) []string      // see SetRecorded; nil for none
	stopping atomic.Bool
}

// NewServer returns a server for a memory.
func NewServer(memory *Memory, versions func(service string) []string, knownFor func(service string) time.Duration) *Server {
	return &Server{memory: memory, versions: versions, knownFor: knownFor}
}

// SetRecorded sets a function that returns at which versions of a service the node lets streams start, by the record of versions that
// it has read. It must be called before the first request.
func (s *Server) SetRecorded(recorded func(service string) []string) { s.recorded = recorded }

// StopAccepting makes Store decline from now on, since the node is stopping. Find responds until the end.
func (s *Server) StopAccepting() { s.stopping.Store(true) }

// Store handles a peer's request to store origins.
func (s *Server) Store(request *wirepb.TellOrigins) *wirepb.Reply {
	if s.stopping.Load() {
		return refusal(api.NotReady, "the node is stopping")
	}
	now := time.Now()
	for _, message := range request.GetOrigins() {
		origin, valid := originOf(message, now)
		if !valid {
			return refusal(api.MalformedRequest, "an origin names no stream, service or version")
		}
		if !s.memory.Put(origin, now) {
			return refusal(api.Overloaded, "the node remembers as many origins as it may")
		}
	}
	return &wirepb.Reply{}
}

// Find handles a peer's query for where a stream started.
func (s *Server) Find(request *wirepb.FindOrigin) *wirepb.Reply {
	known := s.knownFor(request.GetService())
	result := &wirepb.OriginFound{Understood: true, Settled: known >= MinResumeWindow, KnownMillis: known.Milliseconds(),
		Versions: s.versions(request.GetService())}
	if s.recorded != nil {
		result.RecordedVersions = s.recorded(request.GetService())
	}
	now := time.Now()
	if origin, found := s.memory.Get(request.GetStream(), now); found {
		result.Origin = origin.toMessage(now)
	}
	body, err := proto.Marshal(result)
	if err != nil {
		return refusal(api.Internal, err.Error())
	}
	return &wirepb.Reply{Body: body}
}

func refusal(code api.Code, detail string) *wirepb.Reply {
	return &wirepb.Reply{Code: int32(code), Execution: string(api.NotRun), Detail: detail}
}
