package upstream

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Times of checking how a peer has ended its direction of a connection.
const (
	endCheckInterval = time.Millisecond
	maxEndCheck      = 10 * time.Second // of a connection without a read deadline
)

// endCheckedConn is a connection whose Read returns io.EOF only if the peer has ended its direction, and has not rejected what was sent to it
// since. Without that, an answer whose body ends with the connection may look complete although it was broken off:
//
//   - The kernel reports the failure of a connection to one call only. If a concurrent Write gets it, Read returns io.EOF.
//   - A peer that closes the connection before it has read all of a request ends its direction first, and resets the connection once more of the
//     request arrives.
//
// While the request is on its way, Read therefore waits until the peer has accepted more of it or has stopped to read, until the connection has
// failed, or until its read deadline. At the deadline it returns io.EOF if the connection has not failed. Read and Write may be used concurrently,
// by one goroutine each.
type endCheckedConn struct {
	net.Conn
	writes     atomic.Int32          // in progress, or about to begin
	writeError atomic.Pointer[error] // of the first Write that failed
}

// Read implements net.Conn.
func (c *endCheckedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if err == io.EOF {
		err = c.awaitEnd()
	}
	return count, err
}

// Write implements net.Conn.
func (c *endCheckedConn) Write(content []byte) (int, error) {
	c.beginWrite()
	defer c.endWrite()
	count, err := c.Conn.Write(content)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeError.CompareAndSwap(nil, &err)
	}
	return count, err
}

// beginWrite announces a write, so that the request does not count as sent before it.
func (c *endCheckedConn) beginWrite() { c.writes.Add(1) }

// endWrite ends what beginWrite has announced.
func (c *endCheckedConn) endWrite() { c.writes.Add(-1) }

// SyscallConn implements syscall.Conn.
func (c *endCheckedConn) SyscallConn() (syscall.RawConn, error) { return rawConnOf(c.Conn) }

// awaitEnd returns io.EOF if the peer has ended its direction properly, and otherwise the failure of the connection. Read has returned io.EOF.
func (c *endCheckedConn) awaitEnd() error {
	ticker := time.NewTicker(endCheckInterval)
	defer ticker.Stop()
	var sentBefore uint64 // bytes sent before the end was noticed
	for start := time.Now(); time.Since(start) < maxEndCheck; <-ticker.C {
		isWriting := c.writes.Load() > 0 // read before the state, which then includes what was written
		state := c.sendState()
		if sentBefore == 0 {
			sentBefore = state.sentBytes
		}
		switch {
		case state.acceptedBeyond(sentBefore):
			return io.EOF
		case isWriting && !state.isStalled():
		case state.failed || c.writeError.Load() != nil:
			return c.failure()
		case state.unacknowledged == 0:
			return io.EOF
		}
		var one [1]byte
		_, err := c.Conn.Read(one[:])
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return io.EOF
		case err != io.EOF:
			return err
		}
	}
	return io.EOF
}

// failure returns why the connection has failed.
func (c *endCheckedConn) failure() error {
	cause := error(unix.ECONNRESET)
	if writeError := c.writeError.Load(); writeError != nil {
		cause = *writeError
	}
	return errors.Wrap(cause, "the connection failed before the peer had accepted the request")
}

// sendState is what the kernel knows of the bytes that were written to a connection whose peer has ended its direction. It is empty if the
// kernel does not tell.
type sendState struct {
	failed         bool
	unacknowledged uint32 // segments that were sent
	unsentBytes    uint32
	sentBytes      uint64 // without retransmissions
	acceptedBytes  uint64 // acknowledged ones
}

// sendState returns the current state.
func (c *endCheckedConn) sendState() sendState {
	info, err := c.tcpInfo()
	if err != nil {
		return sendState{}
	}
	// The kernel reads the state of the connection before the other fields, which may be those of one that has failed in between.
	later, err := c.tcpInfo()
	if err != nil || later.State != unix.BPF_TCP_CLOSE && later.State != unix.BPF_TCP_CLOSE_WAIT {
		return sendState{}
	}
	return sendState{
		failed:         later.State == unix.BPF_TCP_CLOSE,
		unacknowledged: info.Unacked,
		unsentBytes:    info.Notsent_bytes,
		sentBytes:      info.Bytes_sent - info.Bytes_retrans,
		acceptedBytes:  info.Bytes_acked,
	}
}

// tcpInfo returns what the kernel knows of the connection.
func (c *endCheckedConn) tcpInfo() (info *unix.TCPInfo, err error) {
	raw, err := rawConnOf(c.Conn)
	if err != nil {
		return nil, err
	}
	controlError := raw.Control(func(descriptor uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.CombineErrors(controlError, err)
}

// isStalled reports whether the peer has accepted all that was sent and allows no more to be sent. It has unread bytes then: had it closed the
// connection, it would have reset it.
func (s sendState) isStalled() bool { return !s.failed && s.unacknowledged == 0 && s.unsentBytes > 0 }

// acceptedBeyond reports whether the peer has accepted bytes that were sent after the first ones. The kernel counts the opening of a
// connection as one accepted byte.
func (s sendState) acceptedBeyond(first uint64) bool { return first > 0 && s.acceptedBytes > first+1 }
