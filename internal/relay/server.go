package relay

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Bounds of calls that a node makes for peers.
const (
	// serveTimeout bounds how long a call for a peer may go unanswered, beyond the wait of the call
	// itself, and the time between two parts of the answer.
	serveTimeout = time.Second
	// maxCalls and maxWatches are how many calls may be in flight for peers. If a third
	// of 300 nodes is rejected and spread over the others, each needs two of both; the rest is a reserve for
	// fleets of which only few nodes are served, and for two nodes that search all parts of the table at once.
	maxCalls   = 64
	maxWatches = 64
	// maxWatchWait bounds how long a watch for a peer waits.
	maxWatchWait = 10 * time.Second
)

// Server makes calls for peers, over this node's direct path only. It implements
// wire.ServerHandler. Safe for concurrent use.
type Server struct {
	table    *Table
	calls    chan struct{} // semaphore
	watches  chan struct{} // semaphore
	stopping atomic.Bool
	served   atomic.Uint64
	declined atomic.Uint64
}

// NewServer returns a server that uses a node's direct path to the table service.
func NewServer(table *Table) *Server {
	return &Server{table: table, calls: make(chan struct{}, maxCalls), watches: make(chan struct{}, maxWatches)}
}

// StopAccepting declines calls of peers from now on, since the node is stopping, so that they use other peers
// before it ends. Calls in flight are completed.
func (s *Server) StopAccepting() { s.stopping.Store(true) }

// Served returns how many calls were made for peers.
func (s *Server) Served() uint64 { return s.served.Load() }

// Declined returns how many calls of peers were declined, because the direct path was
// lost, the limit of calls in flight was reached, or the node was stopping.
func (s *Server) Declined() uint64 { return s.declined.Load() }

// ServePeer implements wire.ServerHandler. It makes the call if this node may, and sends keep-alives until the outcome is
// encoded, which takes a slow machine a while for a page of 1 MB.
func (s *Server) ServePeer(ctx context.Context, request *wirepb.Request, onPart func(int64, []byte)) *wirepb.Reply {
	wait := waitOf(request)
	release, declined := s.begin(request)
	if declined != nil {
		s.declined.Add(1)
		return replyOf(*declined)
	}
	defer release()
	s.served.Add(1)
	ctx, cancel := progress.WithLimits(ctx, serveLimits(wait))
	defer cancel()
	// Once the answer begins to arrive, the call ends by its own limits, and what has arrived is decoded.
	isServed := func() bool { return progress.Begun(ctx) || s.table.recentlyServed() }
	sender := startKeepAlive(wait, isServed, onPart)
	defer sender.end()
	return replyOf(s.outcome(ctx, request, wait))
}

// serveLimits returns the limits of a call for a peer. wait is how long the call itself may take.
func serveLimits(wait time.Duration) progress.Limits {
	return progress.Limits{First: wait + serveTimeout, Idle: serveTimeout, Total: wait + replyTimeout, Standstill: maxStandstill}
}

// replyOf encodes an outcome.
func replyOf(outcome Outcome) *wirepb.Reply {
	body, err := json.Marshal(outcome)
	if err != nil {
		body = []byte(`{"failure":"unknown"}`)
	}
	return &wirepb.Reply{Body: body}
}

// waitOf returns how long a call waits by itself; 0 unless it is a watch.
func waitOf(request *wirepb.Request) time.Duration {
	return min(maxWatchWait, time.Duration(request.GetWatchTable().GetWaitMillis())*time.Millisecond)
}

// begin takes a slot for a call, which release returns, or declines the call.
func (s *Server) begin(request *wirepb.Request) (release func(), declined *Outcome) {
	slots := s.calls
	if request.GetWatchTable() != nil {
		slots = s.watches
	}
	if s.stopping.Load() {
		return nil, &Outcome{Failure: Busy, Detail: "the peer is stopping"}
	}
	if s.table.DirectPathLost() {
		return nil, &Outcome{Failure: Unreachable, Detail: "the peer has lost its own way"}
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, nil
	default:
		return nil, &Outcome{Failure: Busy, Detail: "the peer makes as many calls for others as it may"}
	}
}

// outcome makes the call and returns its outcome.
func (s *Server) outcome(ctx context.Context, request *wirepb.Request, wait time.Duration) Outcome {
	outcome, err := observe(s.table, wait > 0, func() (Outcome, error) { return s.call(ctx, request, wait) })
	if errors.As(err, &outcome.Conflict) {
		return outcome
	}
	outcome.Failure = failureOf(err)
	if err != nil {
		outcome.Detail = err.Error()
	}
	return outcome
}

// call makes the call over the direct path.
func (s *Server) call(ctx context.Context, request *wirepb.Request, wait time.Duration) (Outcome, error) {
	var outcome Outcome
	var err error
	switch body := request.GetBody().(type) {
	case *wirepb.Request_CommitTable:
		var transaction tablestore.Transaction
		if err := json.Unmarshal(body.CommitTable.GetTransaction(), &transaction); err != nil {
			return outcome, errors.Mark(errors.Wrap(err, "decode transaction"), tablestore.ErrRejected)
		}
		outcome.Receipt, err = s.table.direct.Commit(ctx, transaction)
	case *wirepb.Request_RangeTable:
		read := body.RangeTable
		var page tablestore.Page
		page, err = s.table.direct.Range(ctx, read.GetStart(), read.GetEnd(), int(read.GetLimit()))
		outcome.Rows, outcome.Complete = page.Rows, !page.More
	case *wirepb.Request_WatchTable:
		outcome, err = s.watch(ctx, body.WatchTable, wait)
	default:
		return outcome, errors.Mark(errors.New("not a call to the table"), tablestore.ErrRejected)
	}
	return outcome, err
}

// watch reads a table or waits for its changes.
func (s *Server) watch(ctx context.Context, request *wirepb.WatchTable, wait time.Duration) (Outcome, error) {
	var outcome Outcome
	var err error
	if request.GetSnapshot() {
		outcome.Changes, outcome.Version, err = s.table.feed.Snapshot(ctx, request.GetTable())
		return outcome, err
	}
	outcome.Changes, outcome.Version, err = s.table.feed.Changes(ctx, request.GetTable(), request.GetAfter(), wait)
	return outcome, err
}
