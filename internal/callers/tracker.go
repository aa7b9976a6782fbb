// Package callers tracks the connections of callers: which are idle, on which a request is in progress,
// and which end before a request on them has a complete answer. The server of net/http reports none of
// this: it counts a connection as idle until it has read a request's complete header, and does not report
// the connections that it closes.
package callers

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// State is what a connection is doing.
type State int

// States of a connection.
const (
	Idle      State = iota // no byte of a request has arrived since the last answer
	Unread                 // as Idle, but bytes have arrived that are not read yet
	Receiving              // part of a request's header has been read
	Serving                // a request is being served
	Finishing              // the handler has returned; the server ends the answer and reads the rest of the body
)

// Name returns the state's name in logs and metrics.
func (s State) Name() string {
	return [...]string{"resting", "unread", "arriving", "answering", "answered"}[s]
}

// Cause is why a connection ended.
type Cause string

// Causes of an end.
const (
	ClientDisconnected Cause = "caller_left"  // the caller closed or reset it, or is unreachable
	HeaderTimedOut     Cause = "too_slow"     // a request's header took longer than HeaderTimeout
	ResponseAborted    Cause = "broken_off"   // the answer could not be completed
	ProcessStopping    Cause = "process_ends" // this process closed it, as it is stopping
)

// Unanswered describes a connection that ended before a request on it had a complete answer.
type Unanswered struct {
	State     State
	Cause     Cause
	Served    int           // requests on it that were answered completely before
	Age       time.Duration // of the connection
	SinceRead time.Duration // since a byte of the request was last read
	Stopping  bool          // the process was stopping
}

// Options configure a Tracker.
type Options struct {
	// Unanswered is called for each connection that ended before a request on it had a complete
	// answer. It must not block.
	Unanswered func(Unanswered)
	// KeepAlive is the longest keep-alive timeout that is announced to callers; whole seconds.
	KeepAlive time.Duration
	// Limits returns the current limits. A zero field means that of DefaultLimits, and so does a nil
	// function.
	Limits func() Limits
	// Capacity bounds what all callers hold together.
	Capacity Capacity
	// Refused is called for each caller that was refused before its request was read. It must not block. May be nil.
	Refused func(Refusal)
}

// Limits bound callers' connections.
type Limits struct {
	HeaderTimeout time.Duration // to receive a request's header
	IdleTimeout   time.Duration // how long a connection may be idle
	HeaderBytes   int           // of one request's head; 0 for no bound
}

// DefaultLimits apply where the configuration sets none.
var DefaultLimits = Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second}

// limits returns the current limits, with defaults filled in.
func (t *Tracker) limits() Limits {
	var limits Limits
	if t.options.Limits != nil {
		limits = t.options.Limits()
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = DefaultLimits.HeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = DefaultLimits.IdleTimeout
	}
	return limits
}

// Tracker tracks connections. Safe for concurrent use.
type Tracker struct {
	options Options
	heads   headMemory
	closing atomic.Int64  // open connections that are about to be closed
	refused chan struct{} // one entry for each refusal that is being sent

	mutex       sync.Mutex
	connections map[*connection]struct{}
	listeners   []*trackedListener
	reclaimedAt time.Time // when connections were last searched for some that may be closed

	stopping atomic.Bool
}

// NewTracker returns a tracker without connections.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options:     options,
		heads:       headMemory{limit: options.Capacity.HeadBytes},
		refused:     make(chan struct{}, maxRefusing),
		connections: make(map[*connection]struct{}),
	}
}

func (t *Tracker) track(accepted net.Conn) *connection {
	now := time.Now()
	c := &connection{Conn: accepted, tracker: t, openedAt: now, readAt: now, idleSince: now, keepAlive: t.keepAlive()}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.connections[c] = struct{}{}
	return c
}

func (t *Tracker) untrack(c *connection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.connections, c)
}

// SetStopping records that the process is stopping: answers that start from now on ask callers to close
// their connections.
func (t *Tracker) SetStopping() { t.stopping.Store(true) }

// OpenConnections returns the number of open connections.
func (t *Tracker) OpenConnections() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.connections)
}

// keepAliveShare is the fraction of the idle timeout that is announced as the keep-alive timeout.
const keepAliveShare = 0.8

// keepAlive returns the keep-alive timeout to announce now: whole seconds, at least one.
func (t *Tracker) keepAlive() time.Duration {
	limited := time.Duration(keepAliveShare * float64(t.limits().IdleTimeout)).Truncate(time.Second)
	return max(time.Second, min(t.options.KeepAlive, limited))
}

// announceKeepAlive announces the keep-alive timeout in an answer's header, and records it for the
// connection. While the process is stopping it announces the close of the connection instead.
func (t *Tracker) announceKeepAlive(c *connection, header http.Header) {
	if t.stopping.Load() {
		header.Set("Connection", "close")
		return
	}
	keepAlive := t.keepAlive()
	c.setKeepAlive(keepAlive)
	header.Set("Keep-Alive", formatKeepAlive(keepAlive))
}

// formatKeepAlive returns the value of the Keep-Alive header for a timeout.
func formatKeepAlive(keepAlive time.Duration) string {
	return fmt.Sprintf("timeout=%d", int(keepAlive.Seconds()))
}

// KeepAliveHeader returns the value of the Keep-Alive header that answers have now.
func (t *Tracker) KeepAliveHeader() string { return formatKeepAlive(t.keepAlive()) }

// ApplyLimits applies the current limits to idle connections.
func (t *Tracker) ApplyLimits() {
	for _, c := range t.listConnections() {
		c.applyIdleLimit()
	}
}

// contextKey is the key of the connection in a request's context.
type contextKey struct{}

// connContext adds the connection to the context of its requests. It is http.Server.ConnContext.
func (t *Tracker) connContext(ctx context.Context, served net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, served)
}

// connState records when connections become idle. It is http.Server.ConnState.
func (t *Tracker) connState(served net.Conn, state http.ConnState) {
	if c, tracked := served.(*connection); tracked && state == http.StateIdle {
		c.setIdle()
	}
}

// Handler records when requests on tracked connections start and end, and announces the keep-alive
// timeout to callers.
func (t *Tracker) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		c, tracked := request.Context().Value(contextKey{}).(*connection)
		if !tracked {
			next.ServeHTTP(writer, request)
			return
		}
		c.startRequest()
		complete := false
		defer func() { c.endRequest(complete) }()
		next.ServeHTTP(&keepAliveWriter{ResponseWriter: writer, announce: func() { t.announceKeepAlive(c, writer.Header()) }}, request)
		complete = true
	})
}

// Attach makes a server track its connections. Its handler must be one of Handler, and the listener that
// it serves one of WrapListener. The timeouts set here are replaced by those of the current limits.
func (t *Tracker) Attach(server *http.Server) {
	server.ReadHeaderTimeout = DefaultLimits.HeaderTimeout
	server.IdleTimeout = DefaultLimits.IdleTimeout
	server.ConnContext = t.connContext
	server.ConnState = t.connState
}
