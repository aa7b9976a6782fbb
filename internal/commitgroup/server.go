package commitgroup

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// maxWait is the longest time for which a transaction may wait at a writer.
const maxWait = 5 * time.Second

// StopAccepting makes the node decline transactions of peers from now on, since it is stopping. Transactions that
// it has accepted complete. If a writer ended without this, each of its peers would need ackTimeout to notice.
func (t *Table) StopAccepting() { t.stopping.Store(true) }

// Answer commits a peer's transaction with this node's group. It calls ack if the commit takes longer than ackAfter, and
// once more when the transaction is sent to the service, if it is still queued then. A node without a direct path to
// the service declines: the path of its peer may work.
func (t *Table) Answer(ctx context.Context, peer string, request *wirepb.GroupedCommit, ack func()) *wirepb.Reply {
	if t.stopping.Load() {
		return &wirepb.Reply{Code: int32(api.NotReady), Execution: string(api.NotRun), Detail: "the writer is stopping"}
	}
	if t.options.DirectPathLost() {
		return &wirepb.Reply{Code: int32(api.NotReady), Execution: string(api.NotRun), Detail: "the writer has lost its way to the table"}
	}
	transaction, wait, err := decode(request)
	if err != nil {
		t.options.Observer.OutcomeDropped(peer, err)
		return &wirepb.Reply{Code: int32(api.MalformedRequest), Execution: string(api.NotRun), Detail: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	acked := make(chan struct{})
	ackTimer := time.AfterFunc(ackAfter, func() {
		ack()
		close(acked)
	})
	defer ackTimer.Stop()
	receipt, err := t.group.Commit(tablestore.WithSentReport(ctx, func() {
		select {
		case <-acked:
			ack()
		default:
		}
	}), transaction)
	body, err := proto.Marshal(encodeOutcome(transaction, receipt, err))
	if err != nil {
		return &wirepb.Reply{} // malformed, so the peer treats the reply as lost
	}
	return &wirepb.Reply{Body: body}
}
