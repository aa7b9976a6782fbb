package wire

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Reasons why a request was not sent.
var (
	errClientClosed = errors.New("client closed")
	errRedialDelay  = errors.New("waiting before the next dial")
)

// Client sends requests to peers over one connection per address. It opens a
// connection when one is needed, and reopens it at once when the peer closes it.
// After a failed dial, requests to that address fail immediately with ErrNotSent
// until a delay of up to one second has passed. Safe for concurrent use.
type Client struct {
	traffic
	memory  *frameMemory
	options Options
	ctx     context.Context // ends with Close
	stop    context.CancelFunc
	tasks   sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the client's state for one address. Guarded by Client.mu.
type peer struct {
	session      *session
	dial         *dialAttempt
	failures     int  // consecutive failed dials
	closedByPeer bool // the peer closed the last connection
	lastErr      error
	retryAt      time.Time
}

// dialAttempt is one dial, shared by all requests that wait for it. The result
// is valid once done is closed.
type dialAttempt struct {
	done    chan struct{}
	session *session
	err     error
}

// NewClient returns a client. The caller must close it.
func NewClient(options Options) *Client {
	ctx, stop := context.WithCancel(context.Background())
	client := &Client{
		options: options.withDefaults(), ctx: ctx, stop: stop,
		peers: make(map[string]*peer), memory: newFrameMemory(),
	}
	client.tasks.Go(client.dropIdleRegularly)
	return client
}

// Do sends a request and waits for its reply. Parts that arrive before the reply are
// passed to onPart (nil: discarded) in order, on the caller's goroutine; a
// slow onPart slows only this stream. When ctx ends first, the other side is
// sent a cancellation. Every error satisfies errors.Is with one of ErrNotSent, ErrLinkBroken.
func (c *Client) Do(
	ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte),
) (*wirepb.Reply, error) {
	var reply *wirepb.Reply
	err := c.withSession(ctx, address, func(s *session) (err error) {
		reply, err = s.exchange(ctx, request, onPart)
		return err
	})
	return reply, err
}

// Send queues a one-way request and returns without waiting until it is written:
// nil does not mean that it arrived. Its errors are ErrNotSent.
func (c *Client) Send(ctx context.Context, address string, request *wirepb.Request) error {
	return c.withSession(ctx, address, func(s *session) error { return s.send(ctx, request) })
}

// withSession runs the exchange. It runs it once more on a new connection if
// the first connection was closed, or its peer was draining, before the
// request was queued.
func (c *Client) withSession(ctx context.Context, address string, exchange func(*session) error) error {
	var err error
	for range sendAttemptsPerRequest {
		var s *session
		s, err = c.session(ctx, address)
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrNotSent)
		}
		err = exchange(s)
		if !errors.Is(err, errQueueClosed) {
			return err
		}
	}
	return err
}

// session returns the connection to the address, dialing if there is none.
func (c *Client) session(ctx context.Context, address string) (*session, error) {
	ready, dial, err := c.sessionOrDial(address)
	if ready != nil || err != nil {
		return ready, err
	}
	select {
	case <-dial.done:
		return dial.session, dial.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sessionOrDial returns the open connection, or the dial in progress.
func (c *Client) sessionOrDial(address string) (*session, *dialAttempt, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return nil, nil, errClientClosed
	}
	entry := c.peers[address]
	if entry == nil {
		entry = &peer{}
		c.peers[address] = entry
	}
	if entry.session != nil && !entry.session.link.hasEnded() && !entry.session.isDraining() {
		return entry.session, nil, nil
	}
	if entry.dial != nil {
		return nil, entry.dial, nil
	}
	if time.Now().Before(entry.retryAt) {
		return nil, nil, errors.Mark(errors.Wrap(entry.lastErr, "waiting before the next dial"), errRedialDelay)
	}
	attempt := &dialAttempt{done: make(chan struct{})}
	entry.dial = attempt
	c.tasks.Go(func() { c.runDial(address, entry, attempt) })
	return nil, attempt, nil
}

// runDial dials and, on success, runs the connection until it ends.
func (c *Client) runDial(address string, entry *peer, attempt *dialAttempt) {
	attempt.session, attempt.err = c.dial(address)
	c.mu.Lock()
	entry.dial = nil
	if attempt.err == nil {
		entry.session = attempt.session
	} else {
		attempt.err = entry.classifyDialError(attempt.err)
	}
	afterBreak := entry.closedByPeer
	if attempt.err == nil {
		entry.failures = 0
		entry.closedByPeer = false
	} else {
		entry.failures++
		entry.lastErr = attempt.err
		entry.retryAt = time.Now().Add(redialDelay(entry.failures))
	}
	c.mu.Unlock()
	close(attempt.done)
	if attempt.err != nil {
		c.options.Logger.Warn("connection failed", "address", address, "error", attempt.err.Error())
		c.reportRefused(address, attempt.err, afterBreak)
		return
	}
	unhook := context.AfterFunc(c.ctx, func() { attempt.session.link.fail(errClientClosed) })
	defer unhook()
	attempt.session.run()
	if attempt.session.link.closedByPeer() || attempt.session.isDraining() {
		c.reconnect(address, entry)
	}
}

// classifyDialError marks a refused dial with ErrPeerDraining if the peer is draining and its previous
// connection is still open: a draining peer has closed its listener but still answers the requests on
// that connection, so the refusal does not mean that it has ended. Client.mu is held.
func (p *peer) classifyDialError(cause error) error {
	if errors.Is(cause, syscall.ECONNREFUSED) && p.session != nil && p.session.isDraining() && !p.session.link.hasEnded() {
		return errors.Mark(cause, ErrPeerDraining)
	}
	return cause
}

func (c *Client) reportRefused(address string, err error, afterBreak bool) {
	if c.options.OnConnectionRefused != nil && errors.Is(err, syscall.ECONNREFUSED) {
		c.options.OnConnectionRefused(address, afterBreak)
	}
}

// reconnect dials a peer that has closed its connection, to detect at once
// whether it has ended.
func (c *Client) reconnect(address string, entry *peer) {
	c.mu.Lock()
	entry.closedByPeer = true
	c.mu.Unlock()
	for attempt := 1; attempt <= reconnectAttempts; attempt++ {
		_, err := c.session(c.ctx, address)
		if err == nil || c.ctx.Err() != nil || errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		timer := time.NewTimer(redialDelay(attempt))
		select {
		case <-timer.C:
		case <-c.ctx.Done():
			timer.Stop()
		}
	}
}

// dial opens a connection and performs the handshake.
func (c *Client) dial(address string) (*session, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(c.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	unhook := context.AfterFunc(c.ctx, func() { _ = conn.Close() })
	defer unhook()
	remote, err := c.prepare(conn)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	return newSession(newLink(conn, remote, c.options, &c.traffic, c.memory, c.options.counterOf(address))), nil
}

func (c *Client) prepare(conn net.Conn) (string, error) {
	if err := tune(conn); err != nil {
		return "", err
	}
	return dialHandshake(conn, c.options, &c.traffic)
}

// redialDelay returns a delay that doubles with every failure, with random jitter.
func redialDelay(failures int) time.Duration {
	delay := maxRedialDelay
	if shift := failures - 1; shift < 8 {
		delay = min(delay, minRedialDelay<<shift)
	}
	return delay/2 + rand.N(delay/2)
}

// dropIdleRegularly closes connections that were unused for idleTimeout and
// deletes addresses without a connection, until the client is closed.
func (c *Client) dropIdleRegularly() {
	ticker := time.NewTicker(idleCheckEvery)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case now := <-ticker.C:
			c.dropIdle(now)
		}
	}
}

func (c *Client) dropIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, entry := range c.peers {
		if entry.dial != nil || now.Before(entry.retryAt) {
			continue
		}
		if entry.session == nil || entry.session.link.hasEnded() {
			delete(c.peers, address)
			continue
		}
		if entry.session.idle() && now.Sub(entry.session.link.idleSince()) > idleTimeout {
			entry.session.link.fail(errIdle)
		}
	}
}

// errIdle is the cause for closing an unused connection.
var errIdle = errors.New("connection idle")

// Close ends all connections and waits for their goroutines. Requests in
// flight fail. Later requests fail with ErrNotSent.
func (c *Client) Close() error {
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	c.tasks.Wait()
	return nil
}
