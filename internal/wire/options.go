package wire

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
)

// ProtocolVersion is exchanged in the handshake; it must be the same on both sides.
const ProtocolVersion = 1

// Limits and intervals of every connection.
const (
	// DefaultMaxFrameBytes bounds one frame when Options leaves it unset.
	DefaultMaxFrameBytes = 8 << 20
	// StreamWindowBytes of parts may be sent ahead of the consumer, per
	// stream. A single part may exceed the rest of the window.
	StreamWindowBytes = 256 << 10
	// DeadPeerTimeout ends a connection whose sent data is not acknowledged.
	DeadPeerTimeout = 10 * time.Second

	sendQueueBytes         = 1 << 20
	maxHandshakeBytes      = 4 << 10
	maxRequestsPerLink     = 8192
	dialTimeout            = 3 * time.Second
	handshakeTimeout       = 3 * time.Second
	writeTimeout           = 10 * time.Second
	idleTimeout            = 10 * time.Minute
	idleCheckEvery         = time.Minute
	reconnectAttempts      = 5
	minRedialDelay         = 50 * time.Millisecond
	maxRedialDelay         = time.Second
	readBufferBytes        = 4 << 10
	largeFrameBytes        = 16 << 10 // progress is reported from this size on: 4 ms at 30 Mbit/s
	keepAliveIdle          = 15 * time.Second
	keepAliveProbeEvery    = 5 * time.Second
	keepAliveProbes        = 3
	sendAttemptsPerRequest = 2
)

// Errors that state the outcome of a request. See the package comment.
var (
	// ErrNotSent means that the request certainly never reached the other side, or was
	// rejected there without being read.
	ErrNotSent = errors.New("request not sent")
	// ErrLinkBroken means that the request may have been sent; its outcome is unknown.
	ErrLinkBroken = errors.New("link broken, outcome unknown")
	// ErrPeerDraining means that the other side is in a planned stop; see Drain.
	ErrPeerDraining = errors.New("peer is draining")
)

// Options configure a Client or a Server.
type Options struct {
	// Node is the name that this side sends in the handshake.
	Node string
	// ClusterKey is the secret that all nodes of the fleet share.
	ClusterKey []byte
	// Logger receives handshake failures and broken frames; nil: discarded.
	Logger *slog.Logger
	// UnresponsiveTimeout is how long requests may wait on a connection without any frame
	// arriving before a Client closes it and opens another. 0 disables this, as
	// is right where requests may wait long for a reply.
	UnresponsiveTimeout time.Duration
	// OnConnectionRefused is called when an address has refused a connection: its
	// machine is up, and no process listens. afterBreak means that the
	// peer had closed the previous connection. A Client calls it without
	// holding locks; a Server does not call it. May be nil.
	OnConnectionRefused func(address string, afterBreak bool)
	// NewByteCounter returns the counter for the bytes on a Client's connection to an address, without
	// those of the handshake. NewByteCounter and its result may be nil.
	NewByteCounter func(address string) ByteCounter
	// Fault drops traffic in tests; nil in production.
	Fault *Faults
	// MaxFrameBytes bounds one frame both ways; 0: DefaultMaxFrameBytes.
	MaxFrameBytes int
}

// ByteCounter counts the bytes on one connection. It must not block.
type ByteCounter interface {
	Sent(bytes int)
	Received(bytes int)
}

// counterOf returns the byte counter of a connection to an address, or nil.
func (o Options) counterOf(address string) ByteCounter {
	if o.NewByteCounter == nil {
		return nil
	}
	return o.NewByteCounter(address)
}

// withDefaults returns the options with unset fields filled in.
func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.MaxFrameBytes == 0 {
		o.MaxFrameBytes = DefaultMaxFrameBytes
	}
	return o
}
