package operators

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// endableListener is an engine's listener that can stop accepting without refusing connections.
type endableListener struct {
	net.Listener

	silent     chan struct{} // closed once nothing is accepted any more
	closed     chan struct{} // closed once the listener is closed
	silentOnce sync.Once
	closeOnce  sync.Once

	mutex sync.Mutex
	held  []net.Conn // fill the accept queue, or were accepted too late to be served
}

func newEndableListener(listener net.Listener) *endableListener {
	return &endableListener{Listener: listener, silent: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *endableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	select {
	case <-l.silent:
	default:
		return conn, err
	}
	if err == nil {
		l.hold(conn)
	}
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *endableListener) Close() error {
	err := l.Listener.Close()
	l.closeOnce.Do(func() { close(l.closed) })
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, conn := range l.held {
		_ = conn.Close() // fails only if it is closed already
	}
	l.held = nil
	return err
}

func (l *endableListener) hold(conn net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.held = append(l.held, conn)
}

// The accept queue counts as full once so many connection attempts in a row have timed out. One alone may have been slow.
const (
	fillTimeout  = 100 * time.Millisecond
	fillTimeouts = 3
)

// fallSilent shortens the accept queue and fills it, so that further connection attempts get no response.
func (l *endableListener) fallSilent() error {
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	l.silentOnce.Do(func() { close(l.silent) })
	var listenError error
	if err := raw.Control(func(descriptor uintptr) { listenError = syscall.Listen(int(descriptor), 0) }); err != nil {
		return err
	}
	for timeouts := 0; timeouts < fillTimeouts; timeouts++ {
		conn, err := net.DialTimeout("tcp4", l.Addr().String(), fillTimeout)
		if err == nil {
			l.hold(conn)
			timeouts = -1 // counted from the next attempt
		}
	}
	return listenError
}

// End ends the engine as a crash does: its connections are closed, and further ones are refused.
func (e *Engine) End() {
	_ = e.Server.Listener.Close() // fails only if it is closed already
	go e.Server.CloseClientConnections()
}

// FallSilent makes the engine unresponsive: open connections get nothing more, and connection attempts get no response
// either. It returns once that is so.
func (e *Engine) FallSilent() error {
	e.silentOnce.Do(func() { close(e.silent) })
	return e.listener.fallSilent()
}

// stopIfSilent blocks until the connection is closed if the engine fell silent, and aborts the request then.
func (e *Engine) stopIfSilent(request *http.Request) {
	select {
	case <-e.silent:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	default:
	}
}
