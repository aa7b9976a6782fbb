package wire

import "sync/atomic"

// Traffic is what was sent and received on TCP connections. Bytes are payload
// without TCP/IP headers. Writes counts the system calls that sent them; a
// small write is sent as one segment.
type Traffic struct {
	BytesSent     uint64
	BytesReceived uint64
	Writes        uint64
	Frames        uint64 // received
}

// Add returns the sum.
func (t Traffic) Add(other Traffic) Traffic {
	return Traffic{
		BytesSent:     t.BytesSent + other.BytesSent,
		BytesReceived: t.BytesReceived + other.BytesReceived,
		Writes:        t.Writes + other.Writes,
		Frames:        t.Frames + other.Frames,
	}
}

// Since returns the difference to an earlier reading.
func (t Traffic) Since(before Traffic) Traffic {
	return Traffic{
		BytesSent:     t.BytesSent - before.BytesSent,
		BytesReceived: t.BytesReceived - before.BytesReceived,
		Writes:        t.Writes - before.Writes,
		Frames:        t.Frames - before.Frames,
	}
}

// traffic counts payload bytes of TCP connections. Safe for concurrent use.
type traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
	writes   atomic.Uint64
	frames   atomic.Uint64
}

func (t *traffic) addSent(bytes int) {
	t.sent.Add(uint64(bytes))
	t.writes.Add(1)
}

func (t *traffic) addReceived(bytes int) {
	t.received.Add(uint64(bytes))
	t.frames.Add(1)
}

// BytesSent returns the payload bytes written to sockets so far.
func (t *traffic) BytesSent() uint64 { return t.sent.Load() }

// BytesReceived returns the payload bytes read from sockets so far.
func (t *traffic) BytesReceived() uint64 { return t.received.Load() }

// Traffic returns the current values of all counters.
func (t *traffic) Traffic() Traffic {
	return Traffic{
		BytesSent:     t.sent.Load(),
		BytesReceived: t.received.Load(),
		Writes:        t.writes.Load(),
		Frames:        t.frames.Load(),
	}
}
