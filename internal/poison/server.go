package poison

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// maxListed is how many requests one reply lists at most, so that it fits into a frame.
const maxListed = 1000

// Server records ends for peers and returns those that are recorded. Safe for concurrent use.
type Server struct {
	memory *Memory
	client *Client
}

// NewServer returns a server for a memory. From then on, the client reports to peers that ask.
func NewServer(memory *Memory, client *Client) *Server {
	return &Server{memory: memory, client: client}
}

// Record handles a peer's request to record ends. The reply tells of further ends under the same requests, so that a peer that is about
// to send one of them to the last engine that it may end learns of ends whose report has not reached it yet.
func (s *Server) Record(request *wirepb.ReportEnds) *wirepb.Reply {
	further := s.memory.sharedBeside(request.GetRequests(), time.Now())
	s.memory.merge(request.GetRequests(), time.Now())
	if len(further) == 0 {
		return &wirepb.Reply{}
	}
	return recordedReply(further)
}

// List handles a peer's query for all recorded ends.
func (s *Server) List(request *wirepb.ListEnds) *wirepb.Reply {
	s.client.addPeer(request.GetAddress(), time.Now())
	return recordedReply(s.memory.all(maxListed, time.Now()))
}

// recordedReply returns a reply that tells of ends.
func recordedReply(requests []*wirepb.RequestEnds) *wirepb.Reply {
	body, err := proto.Marshal(&wirepb.EndsRecorded{Understood: true, Requests: requests})
	if err != nil {
		return &wirepb.Reply{Code: int32(api.Internal), Execution: string(api.NotRun), Detail: err.Error()}
	}
	return &wirepb.Reply{Body: body}
}
