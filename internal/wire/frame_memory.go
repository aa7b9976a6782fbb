package wire

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// Limits of receiving large frames.
const (
	// largeFramesBytes is the total size of the large frames that a Server, or a Client, receives at the same time on all of
	// its connections: four of the largest size. Further ones wait in their connections.
	largeFramesBytes = 4 * DefaultMaxFrameBytes
	// receiveTimeout is how long a large frame may take to arrive. Its sender gives up writing after writeTimeout, and what its
	// socket has buffered by then arrives within DeadPeerTimeout, or never.
	receiveTimeout = writeTimeout + DeadPeerTimeout
)

// frameMemory bounds the memory for large frames that are being received. Safe for concurrent use.
type frameMemory struct {
	available *semaphore.Weighted // in bytes
	total     int64
}

func newFrameMemory() *frameMemory {
	return &frameMemory{available: semaphore.NewWeighted(largeFramesBytes), total: largeFramesBytes}
}

// receive runs read, which reads the rest of a frame of a size in bytes from conn. That of a large frame waits for free memory, in the
// order in which the frames began to arrive, and has to be over within receiveTimeout. The error is that of ctx, the connection or read.
func (m *frameMemory) receive(ctx context.Context, conn net.Conn, size int, read func() error) error {
	if size < largeFrameBytes {
		return read()
	}
	reserved := min(int64(size), m.total) // a frame may be larger than all if Options allow it
	if err := m.available.Acquire(ctx, reserved); err != nil {
		return errors.Wrap(err, "wait for memory for a frame")
	}
	defer m.available.Release(reserved)
	if err := conn.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
		return err
	}
	if err := read(); err != nil {
		return err
	}
	return conn.SetReadDeadline(time.Time{})
}
