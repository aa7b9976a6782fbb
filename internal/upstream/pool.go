// Package upstream sends HTTP/1.1 requests to back ends, each exactly once.
//
// It replaces http.Transport, which repeats requests on its own, uses two goroutines per connection, and
// returns a stale response as the response to the next request. Here a request is sent once, on a
// connection that the caller opened before, so that the caller alone decides what is retried, where, and
// with how much time left. Messages are read and written by net/http.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Defaults of a pool's options.
const (
	defaultIdleTime       = 30 * time.Second
	keepAliveFraction     = 0.8 // of the time for which the peer keeps an idle connection open
	maxIdlePerDestination = 32
	bufferBytes           = 4 << 10
)

// ErrNoConnection means that no connection could be made. Nothing was sent.
var ErrNoConnection = errors.New("no connection")

// Options configure a Pool.
type Options struct {
	DialTimeout time.Duration
	// AckTimeout is how long to wait for a peer that acknowledges nothing.
	AckTimeout time.Duration
	// OnConnect is called with the time that each new connection took; it may be nil and must not block.
	OnConnect func(address string, duration time.Duration)
	// OnDialTimeout is called with the start time of each connection attempt that got no response at
	// all; it may be nil and must not block.
	OnDialTimeout func(address string, start time.Time)
	// NewByteCounter returns the counter of the bytes on a new connection to an address; it may be nil.
	// It must not block, and must not return nil.
	NewByteCounter func(address string) ByteCounter
}

// ByteCounter counts the bytes on one connection. It must not block.
type ByteCounter interface {
	Sent(bytes int)
	Received(bytes int)
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	counter ByteCounter
}

// Read implements net.Conn.
func (c countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.counter.Received(count)
	return count, err
}

// Write implements net.Conn.
func (c countedConn) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	c.counter.Sent(count)
	return count, err
}

// SyscallConn implements syscall.Conn.
func (c countedConn) SyscallConn() (syscall.RawConn, error) { return rawConnOf(c.Conn) }

// rawConnOf returns access to the descriptor of a connection.
func rawConnOf(conn net.Conn) (syscall.RawConn, error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	return syscallConn.SyscallConn()
}

// Destination identifies the target of connections. Connections to one incarnation of a back end are
// never used for another one at its address: they may be unresponsive since it ended.
type Destination struct {
	Incarnation string // identity of the back end; empty if only the address is known
	Address     string // IP:port
}

// Pool keeps idle connections to any number of destinations. Safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mutex  sync.Mutex
	idle   map[Destination][]*Conn   // newest last
	retain func(to Destination) bool // of the last call of RetainOnly; nil if there was none
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	p := &Pool{options: options, idle: make(map[Destination][]*Conn)}
	p.dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable:   true,
		Idle:     options.AckTimeout / 2,
		Interval: options.AckTimeout / 2,
		Count:    2,
	}
	p.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		var optionError error
		err := raw.Control(func(descriptor uintptr) {
			optionError = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
				int(options.AckTimeout/time.Millisecond))
		})
		return errors.CombineErrors(err, optionError)
	}
	return p
}

// Conn is one connection. Not safe for concurrent use.
type Conn struct {
	net.Conn
	Destination
	Reused bool // it has been used for a request before

	checked   *endCheckedConn // below Conn
	reader    *bufio.Reader
	heads     *headLimiter // source of reader
	idleSince time.Time
	idleLimit time.Duration
}

// IdleCount returns how many connections to a destination are idle.
func (p *Pool) IdleCount(to Destination) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle[to])
}

// Open returns the newest idle connection that is still usable, or makes a new one. The error is marked
// ErrNoConnection.
func (p *Pool) Open(ctx context.Context, to Destination) (*Conn, error) {
	for conn := p.takeIdle(to); conn != nil; conn = p.takeIdle(to) {
		if conn.usable(time.Now()) {
			conn.Reused = true
			return conn, nil
		}
		conn.Close()
	}
	return p.dial(ctx, to)
}

// OpenNew makes a connection, whether or not there is an idle one. The error is marked
// ErrNoConnection.
func (p *Pool) OpenNew(ctx context.Context, to Destination) (*Conn, error) {
	return p.dial(ctx, to)
}

func (p *Pool) dial(ctx context.Context, to Destination) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	start := time.Now()
	connection, err := p.dialer.DialContext(ctx, "tcp4", to.Address)
	if err != nil {
		if p.options.OnDialTimeout != nil && IsDialTimeout(err) {
			p.options.OnDialTimeout(to.Address, start)
		}
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", to.Address), ErrNoConnection)
	}
	if p.options.OnConnect != nil {
		p.options.OnConnect(to.Address, time.Since(start))
	}
	checked := &endCheckedConn{Conn: connection}
	connection = checked
	if p.options.NewByteCounter != nil {
		connection = countedConn{Conn: connection, counter: p.options.NewByteCounter(to.Address)}
	}
	heads := &headLimiter{source: connection}
	return &Conn{
		Conn:        connection,
		Destination: to,
		checked:     checked,
		reader:      bufio.NewReaderSize(heads, bufferBytes),
		heads:       heads,
		idleLimit:   defaultIdleTime,
	}, nil
}

// Probe makes a connection to a destination and adds it to the idle ones. The error is marked
// ErrNoConnection.
func (p *Pool) Probe(ctx context.Context, to Destination, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.dial(ctx, to)
	if err != nil {
		return err
	}
	p.release(conn)
	return nil
}

// takeIdle removes and returns the newest idle connection; nil if there is none.
func (p *Pool) takeIdle(from Destination) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[from]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	p.idle[from] = idle[:len(idle)-1]
	return conn
}

// Release returns a connection to the pool on which nothing was sent.
func (p *Pool) Release(conn *Conn) { p.release(conn) }

// release adds a connection to the idle ones.
func (p *Pool) release(conn *Conn) {
	now := time.Now()
	conn.idleSince = now
	p.mutex.Lock()
	idle := p.idle[conn.Destination]
	var dropped *Conn
	switch {
	case p.closed || len(idle) >= maxIdlePerDestination || (p.retain != nil && !p.retain(conn.Destination)):
		dropped = conn
	default:
		if len(idle) > 0 && idle[0].expired(now) {
			dropped, idle = idle[0], idle[1:]
		}
		p.idle[conn.Destination] = append(idle, conn)
	}
	p.mutex.Unlock()
	if dropped != nil {
		dropped.Close()
	}
}

// RetainOnly closes the idle connections to every destination for which keep returns false. Until the next
// call, connections to such a destination are closed when they are released; otherwise they would stay idle
// at an engine that has ended. keep is called with the pool's mutex held and must not block.
func (p *Pool) RetainOnly(retain func(to Destination) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.retain = retain
	for to, idle := range p.idle {
		if retain(to) {
			continue
		}
		for _, conn := range idle {
			conn.Close()
		}
		delete(p.idle, to)
	}
}

// Close closes the idle connections, and the others as they are released.
func (p *Pool) Close() {
	p.RetainOnly(func(Destination) bool { return false })
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
}

func (c *Conn) expired(now time.Time) bool { return now.Sub(c.idleSince) > c.idleLimit }

// usable reports whether the peer has neither closed the connection nor sent anything on it while it was
// idle.
func (c *Conn) usable(now time.Time) bool {
	if c.expired(now) || c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekError := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = peekError == unix.EAGAIN
		return true
	})
	return err == nil && noData
}
