package wire

import "sync/atomic"

// traffic counts payload bytes of TCP connections, without TCP/IP headers.
// Safe for concurrent use.
type traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

func (t *traffic) addSent(bytes int)     { t.sent.Add(uint64(bytes)) }
func (t *traffic) addReceived(bytes int) { t.received.Add(uint64(bytes)) }

// BytesSent returns the payload bytes written to sockets so far.
func (t *traffic) BytesSent() uint64 { return t.sent.Load() }

// BytesReceived returns the payload bytes read from sockets so far.
func (t *traffic) BytesReceived() uint64 { return t.received.Load() }
