package operators

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"
)

// maxPeekedBytes limits how many unread bytes are counted.
const maxPeekedBytes = 1 << 16

// exchangeWatch records how far one exchange gets. Safe for concurrent use: the transport reports from its own
// goroutines.
type exchangeWatch struct {
	mutex      sync.Mutex
	connection net.Conn
	progress   Progress
}

// observe returns a context whose exchange is recorded.
func (w *exchangeWatch) observe(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) {
			w.record(func() { w.connection, w.progress.Connected = got.Conn, time.Now() })
		},
		WroteRequest:         func(httptrace.WroteRequestInfo) { w.record(func() { w.progress.Sent = time.Now() }) },
		GotFirstResponseByte: func() { w.record(func() { w.progress.Begun = time.Now() }) },
	})
}

func (w *exchangeWatch) record(change func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	change()
}

// left records what is unread as the caller leaves. The connection must still be open.
func (w *exchangeWatch) left() {
	w.record(func() { w.progress.Unread = unreadBytes(w.connection) })
}

func (w *exchangeWatch) current() Progress {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.progress
}

// unreadBytes returns how many bytes have arrived on a connection and are not read, up to maxPeekedBytes; 0 for any other
// than a TCP connection.
func unreadBytes(connection net.Conn) int {
	tcp, isTCP := connection.(*net.TCPConn)
	if !isTCP {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0 // it is closed
	}
	count := 0
	_ = raw.Control(func(descriptor uintptr) { // fails only on a closed connection, which has nothing to read
		peeked, _, failure := syscall.Recvfrom(int(descriptor), make([]byte, maxPeekedBytes), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if failure == nil {
			count = peeked
		}
	})
	return count
}
