package relay

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// serveTimeout bounds a call that is made for a peer.
const serveTimeout = time.Second

// Server makes calls for peers, by the direct way only. It implements
// wire.ServerHandler. Safe for concurrent use.
type Server struct {
	direct tablestore.Table
}

// NewServer returns a server over the direct way to the table service.
func NewServer(direct tablestore.Table) *Server { return &Server{direct: direct} }

// ServePeer implements wire.ServerHandler.
func (s *Server) ServePeer(ctx context.Context, request *wirepb.Request, _ func(int64, []byte)) *wirepb.Reply {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	outcome := s.outcome(ctx, request)
	body, err := json.Marshal(outcome)
	if err != nil {
		body = []byte(`{"failure":"unknown"}`)
	}
	return &wirepb.Reply{Body: body}
}

// outcome makes the call.
func (s *Server) outcome(ctx context.Context, request *wirepb.Request) Outcome {
	var outcome Outcome
	var err error
	switch body := request.GetBody().(type) {
	case *wirepb.Request_CommitTable:
		var transaction tablestore.Transaction
		if err := json.Unmarshal(body.CommitTable.GetTransaction(), &transaction); err != nil {
			return Outcome{Failure: Rejected, Detail: err.Error()}
		}
		outcome.Receipt, err = s.direct.Commit(ctx, transaction)
	case *wirepb.Request_RangeTable:
		ask := body.RangeTable
		outcome.Rows, err = s.direct.Range(ctx, ask.GetStart(), ask.GetEnd(), int(ask.GetLimit()))
	default:
		return Outcome{Failure: Rejected, Detail: "not a call to the table"}
	}
	if errors.As(err, &outcome.Conflict) {
		return outcome
	}
	outcome.Failure = failureOf(err)
	if err != nil {
		outcome.Detail = err.Error()
	}
	return outcome
}
