package wire

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errQueueClosed means that the connection ended before the frame was queued.
var errQueueClosed = errors.New("connection closed")

// Stages of an outgoing frame.
const (
	stageQueued    int32 = iota // in the queue
	stageClaimed                // passed to the socket, at least in part
	stageWithdrawn              // removed by its sender before that
)

// outgoing is one encoded frame between its sender and the socket. Its stage
// determines whether the frame was certainly not sent.
type outgoing struct {
	encoded    []byte
	flushed    chan struct{} // if not nil, closed once the frame was written to the socket
	closeAfter bool          // the link is closed once the frame was written
	stage      atomic.Int32
}

// claim marks the frame as passed to the socket unless it was withdrawn.
func (o *outgoing) claim() bool { return o.stage.CompareAndSwap(stageQueued, stageClaimed) }

// withdraw removes the frame from the queue unless it was claimed. It reports whether the frame is withdrawn.
func (o *outgoing) withdraw() bool {
	return o.stage.CompareAndSwap(stageQueued, stageWithdrawn) || o.stage.Load() == stageWithdrawn
}

// sendQueue holds the frames that wait for a connection's writer, bounded in
// bytes. Safe for concurrent use.
type sendQueue struct {
	mu      sync.Mutex
	frames  []*outgoing
	bytes   int
	closed  bool
	emptied chan struct{} // closed when the queue was emptied
	filled  chan struct{} // holds one token when frames are waiting
}

func newSendQueue() *sendQueue {
	return &sendQueue{emptied: make(chan struct{}), filled: make(chan struct{}, 1)}
}

// push queues the frame. It waits for free space until the context ends. Errors:
// the context's, errQueueClosed; in both cases the frame is not queued.
func (q *sendQueue) push(ctx context.Context, frame *outgoing) error {
	for {
		emptied, err := q.tryPush(frame)
		if err != nil || emptied == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-emptied:
		}
	}
}

// tryPush queues the frame, or returns a channel that is closed when there
// may be free space.
func (q *sendQueue) tryPush(frame *outgoing) (<-chan struct{}, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, errQueueClosed
	}
	if q.bytes >= sendQueueBytes {
		return q.emptied, nil
	}
	q.add(frame)
	return nil, nil
}

// force queues a small control frame without waiting for free space.
func (q *sendQueue) force(frame *outgoing) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.add(frame)
	}
}

// add requires q.mu.
func (q *sendQueue) add(frame *outgoing) {
	q.frames = append(q.frames, frame)
	q.bytes += len(frame.encoded)
	select {
	case q.filled <- struct{}{}:
	default:
	}
}

// takeAll empties the queue.
func (q *sendQueue) takeAll() []*outgoing {
	q.mu.Lock()
	defer q.mu.Unlock()
	frames := q.frames
	q.frames = nil
	q.bytes = 0
	close(q.emptied)
	q.emptied = make(chan struct{})
	return frames
}

// close rejects further frames and withdraws those that are still queued.
func (q *sendQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	for _, frame := range q.takeAll() {
		frame.withdraw()
	}
}
