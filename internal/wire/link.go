package wire

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// errFrameDropped ends a connection on which fault injection dropped a frame.
var errFrameDropped = errors.New("frame dropped by fault injection")

// link is one authenticated connection with its writer. The reader is run by
// its owner (Client or Server). Safe for concurrent use.
type link struct {
	conn       net.Conn
	options    Options
	remote     string // name of the node at the other end
	traffic    *traffic
	memory     *frameMemory // of all connections of the owner
	counter    ByteCounter  // may be nil
	onProgress func()       // called for each received chunk of a large frame; may be nil
	queue      *sendQueue
	lastUsed   atomic.Int64 // unix nanoseconds of the last frame in either direction
	liveness   liveness

	drainNoticeOnce sync.Once
	failOnce        sync.Once
	cause           error         // why the link ended; valid once ended is closed
	ended           chan struct{} // closed when the link fails or is closed
	ctx             context.Context
	stop            context.CancelFunc // ends ctx, when the link fails or is closed
	writerDone      chan struct{}      // closed when no more bytes will be written
	droppedOutgoing atomic.Bool        // fault injection dropped an outgoing frame
	droppedIncoming atomic.Bool        // fault injection dropped an incoming frame
}

func newLink(conn net.Conn, remote string, options Options, traffic *traffic, memory *frameMemory, counter ByteCounter) *link {
	ctx, stop := context.WithCancel(context.Background())
	l := &link{
		conn: conn, options: options, remote: remote, traffic: traffic, memory: memory, counter: counter,
		ctx: ctx, stop: stop,
		queue:      newSendQueue(),
		ended:      make(chan struct{}),
		writerDone: make(chan struct{}),
	}
	l.touch()
	l.liveness.connected()
	go l.write()
	return l
}

// tune sets the socket options of every connection.
func tune(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}
	keepAlive := net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveProbeEvery, Count: keepAliveProbes,
	}
	if err := tcp.SetKeepAliveConfig(keepAlive); err != nil {
		return err
	}
	return setDeadPeerTimeout(tcp)
}

// fail ends the link. Only the first cause is kept.
func (l *link) fail(cause error) {
	l.failOnce.Do(func() {
		l.cause = cause
		close(l.ended)
		l.stop()
		_ = l.conn.Close()
	})
}

// hasEnded reports whether the link has failed or was closed.
func (l *link) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// closedByPeer reports whether the other side closed the link. The link has ended.
func (l *link) closedByPeer() bool {
	return errors.IsAny(l.cause, io.EOF, syscall.ECONNRESET, syscall.EPIPE)
}

func (l *link) touch() { l.lastUsed.Store(time.Now().UnixNano()) }

func (l *link) idleSince() time.Time { return time.Unix(0, l.lastUsed.Load()) }

// write sends queued frames until the link ends. Frames that are queued together
// are written in one system call.
func (l *link) write() {
	defer close(l.writerDone)
	defer l.queue.close()
	for {
		select {
		case <-l.ended:
			return
		case <-l.queue.filled:
		}
		if err := l.writeBatch(l.queue.takeAll()); err != nil {
			l.fail(err)
			return
		}
	}
}

// writeBatch writes frames to the socket. After an error, it marks frames of which
// no byte was accepted as withdrawn.
func (l *link) writeBatch(frames []*outgoing) error {
	claimed, buffers := claimAll(frames)
	if len(claimed) == 0 {
		return nil
	}
	l.touch()
	drop, err := l.applyFault(&l.droppedOutgoing, l.options.Fault.dropsTo(l.remote))
	if drop || err != nil {
		return err
	}
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	written, err := buffers.WriteTo(l.conn)
	l.countSent(int(written))
	if err != nil {
		withdrawUnsent(claimed, written)
		return err
	}
	reportFlushed(claimed)
	if slices.ContainsFunc(claimed, func(frame *outgoing) bool { return frame.closeAfter }) {
		return ErrPeerDraining
	}
	return nil
}

// countSent counts written bytes.
func (l *link) countSent(bytes int) {
	l.traffic.addSent(bytes)
	if l.counter != nil {
		l.counter.Sent(bytes)
	}
}

// countReceived counts one frame that was read.
func (l *link) countReceived(bytes int) {
	l.traffic.addReceived(bytes)
	if l.counter != nil {
		l.counter.Received(bytes)
	}
}

// claimAll claims the frames that were not withdrawn for writing.
func claimAll(frames []*outgoing) ([]*outgoing, net.Buffers) {
	claimed := make([]*outgoing, 0, len(frames))
	buffers := make(net.Buffers, 0, len(frames))
	for _, frame := range frames {
		if frame.claim() {
			claimed = append(claimed, frame)
			buffers = append(buffers, frame.encoded)
		}
	}
	return claimed, buffers
}

// reportFlushed wakes the goroutines that wait for one of the frames.
func reportFlushed(frames []*outgoing) {
	for _, frame := range frames {
		if frame.flushed != nil {
			close(frame.flushed)
		}
	}
}

// withdrawUnsent marks the frames that begin after the accepted bytes as withdrawn.
func withdrawUnsent(frames []*outgoing, written int64) {
	var start int64
	for _, frame := range frames {
		if start >= written {
			frame.stage.Store(stageWithdrawn)
		}
		start += int64(len(frame.encoded))
	}
}

// applyFault applies fault injection to one frame. It returns true if the frame is
// to be dropped, and an error if an earlier frame was dropped in this direction, so
// that the link must end.
func (l *link) applyFault(dropped *atomic.Bool, drop bool) (bool, error) {
	if !drop {
		if dropped.Load() {
			return false, errFrameDropped
		}
		return false, nil
	}
	if dropped.CompareAndSwap(false, true) {
		time.AfterFunc(DeadPeerTimeout, func() { l.fail(errFrameDropped) })
	}
	return true, nil
}

// read passes every frame to handle until the link ends, and returns after
// the link has failed. handle must not block.
func (l *link) read(handle func(*wirepb.Frame) error) {
	source := &progressReader{link: l}
	reader := bufio.NewReaderSize(source, readBufferBytes)
	for {
		source.pendingBytes = 0
		if err := l.readNext(reader, handle); err != nil {
			l.logBroken(err)
			l.fail(err)
			return
		}
	}
}

// readNext reads one frame and passes it to handle.
func (l *link) readNext(reader io.Reader, handle func(*wirepb.Frame) error) error {
	size, err := readLength(reader, l.options.MaxFrameBytes)
	if err != nil {
		if errors.Is(err, errFrameTooLarge) {
			l.countReceived(lengthBytes)
		}
		return err
	}
	return l.memory.receive(l.ctx, l.conn, size, func() error {
		frame, received, err := readContent(reader, size)
		l.countReceived(received)
		if err != nil {
			return err
		}
		l.touch()
		l.liveness.frameReceived()
		return l.receive(frame, handle)
	})
}

// progressReader reads a connection and reports progress while a large frame is being received. Nothing else
// can arrive on the connection in that time, so the missing frames do not mean that it is unresponsive.
type progressReader struct {
	link         *link
	pendingBytes int // received since the last complete frame
}

// Read implements io.Reader.
func (p *progressReader) Read(into []byte) (int, error) {
	read, err := p.link.conn.Read(into)
	p.pendingBytes += read
	if read > 0 && p.pendingBytes >= largeFrameBytes {
		p.link.liveness.frameReceived()
		if p.link.onProgress != nil {
			p.link.onProgress()
		}
	}
	return read, err
}

// receive handles one frame unless fault injection drops it.
func (l *link) receive(frame *wirepb.Frame, handle func(*wirepb.Frame) error) error {
	drop, err := l.applyFault(&l.droppedIncoming, l.options.Fault.dropsFrom(l.remote))
	if drop || err != nil {
		return err
	}
	return handle(frame)
}

// logBroken logs protocol errors of the other side; the ordinary end of a link is not one.
func (l *link) logBroken(err error) {
	if errors.IsAny(err, errFrameTooLarge, errBrokenFrame, errUnexpectedFrame) {
		l.options.Logger.Error("broken frame, closing connection", "peer", l.remote, "error", err.Error())
	}
}

// errUnexpectedFrame means that the frame is of a kind that this side never receives.
var errUnexpectedFrame = errors.New("unexpected frame")

// control queues a small frame without waiting for free space in the queue.
func (l *link) control(frame *wirepb.Frame) {
	encoded, err := encodeFrame(frame, l.options.MaxFrameBytes)
	if err != nil {
		l.fail(err)
		return
	}
	l.queue.force(&outgoing{encoded: encoded})
}
