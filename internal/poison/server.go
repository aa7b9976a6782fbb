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

// Record handles a peer's request to record ends.
func (s *Server) Record(request *wirepb.ReportEnds) *wirepb.Reply {
	s.memory.merge(request.GetRequests(), time.Now())
	return &wirepb.Reply{}
}

// List handles a peer's query for all recorded ends.
func (s *Server) List(request *wirepb.ListEnds) *wirepb.Reply {
	s.client.addPeer(request.GetAddress(), time.Now())
	body, err := proto.Marshal(&wirepb.EndsRecorded{Understood: true, Requests: s.memory.all(maxListed, time.Now())})
	if err != nil {
		return &wirepb.Reply{Code: int32(api.Internal), Execution: string(api.NotRun), Detail: err.Error()}
	}
	return &wirepb.Reply{Body: body}
}
