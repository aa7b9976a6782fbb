package wire

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errQueueClosed: the connection ended before the frame was queued.
var errQueueClosed = errors.New("connection closed")

// Stages of an outgoing frame.
const (
	stageQueued    int32 = iota // in the queue
	stageHanded                 // given to the socket, at least in part
	stageWithdrawn              // taken back by its sender before that
)

// outgoing is one encoded frame on its way to the socket. Its stage settles
// whether the frame certainly did not leave.
type outgoing struct {
	encoded []byte
	flushed chan struct{} // if set, closed once the frame is with the kernel
	last    bool          // the link ends with it
	stage   atomic.Int32
}

// hand moves the frame to the socket unless it was withdrawn.
func (o *outgoing) hand() bool { return o.stage.CompareAndSwap(stageQueued, stageHanded) }

// withdraw takes the frame back unless it was handed to the socket.
func (o *outgoing) withdraw() bool {
	return o.stage.CompareAndSwap(stageQueued, stageWithdrawn) || o.stage.Load() == stageWithdrawn
}

// sendQueue holds the frames waiting for a connection's writer, bounded in
// bytes. Safe for concurrent use.
type sendQueue struct {
	mu     sync.Mutex
	frames []*outgoing
	bytes  int
	closed bool
	room   chan struct{} // closed when the queue was emptied
	filled chan struct{} // holds one token when frames are waiting
}

func newSendQueue() *sendQueue {
	return &sendQueue{room: make(chan struct{}), filled: make(chan struct{}, 1)}
}

// push queues the frame, waiting for room until the context ends. Errors:
// the context's, errQueueClosed; in both cases the frame is not queued.
func (q *sendQueue) push(ctx context.Context, frame *outgoing) error {
	for {
		room, err := q.tryPush(frame)
		if err != nil || room == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-room:
		}
	}
}

// tryPush queues the frame, or returns a channel that is closed when there
// may be room.
func (q *sendQueue) tryPush(frame *outgoing) (<-chan struct{}, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, errQueueClosed
	}
	if q.bytes >= sendQueueBytes {
		return q.room, nil
	}
	q.add(frame)
	return nil, nil
}

// force queues a small control frame without waiting for room.
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
	close(q.room)
	q.room = make(chan struct{})
	return frames
}

// close refuses further frames and withdraws those still waiting.
func (q *sendQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	for _, frame := range q.takeAll() {
		frame.withdraw()
	}
}
