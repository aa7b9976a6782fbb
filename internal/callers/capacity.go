package callers

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"time"
)

// Costs of a connection and of a head in memory, in bytes.
const (
	// ConnectionBytes is what an open connection takes at most, with a head of smallHeadCost.
	ConnectionBytes = 32 << 10
	// smallHeadCost is the cost up to which a head is covered by its connection.
	smallHeadCost = 8 << 10
	// headCostPerByte counts a byte of a head as it is read and as it is kept.
	headCostPerByte = 2
	// headCostPerLine is what a header takes however short it is.
	headCostPerLine = 256
)

// Limits of what callers hold, and of its reclaiming.
const (
	// headLeeway is what a head may have beyond the limit before it is not read any further. One that is read is refused by the handler,
	// which can say more about it.
	headLeeway = 8 << 10
	// unusedTimeout is how long a connection may stay without its first byte while no other one can be accepted.
	unusedTimeout = time.Second
	// reclaimPeriod is the shortest time between two searches for connections that may be closed.
	reclaimPeriod = 20 * time.Millisecond
	// refusalRetryAfter is the value of the Retry-After header in seconds.
	refusalRetryAfter = "0.5"
	// refusalTimeout bounds the time to send a refusal, and then to read what its caller still sends: closing a connection with unread
	// bytes resets it, and the refusal would be lost.
	refusalTimeout = 300 * time.Millisecond
	// maxRefusing is how many refusals are sent at once. Further connections are closed without one.
	maxRefusing = 64
)

// Refusal is why a caller was refused before its request was read.
type Refusal string

// Refusals.
const (
	HeadTooLarge    Refusal = "head_too_large"   // the head exceeds the limit of one head
	HeadsFull       Refusal = "heads_full"       // all heads together exceed their limit
	ConnectionsFull Refusal = "connections_full" // all connections are in use
)

// Capacity bounds what all callers hold together. A zero field means no bound.
type Capacity struct {
	Connections int   // open connections
	HeadBytes   int64 // memory of heads beyond the small ones
}

// status returns the status of a refusal's answer.
func (r Refusal) status() int {
	if r == HeadTooLarge {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusServiceUnavailable
}

// answer returns the whole answer of a refusal.
func (r Refusal) answer() []byte {
	var answer bytes.Buffer
	header := http.Header{"Connection": {"close"}}
	if r.status() == http.StatusServiceUnavailable {
		header.Set("Retry-After", refusalRetryAfter)
	}
	response := http.Response{StatusCode: r.status(), ProtoMajor: 1, ProtoMinor: 1, Header: header}
	_ = response.Write(&answer) // a buffer takes everything
	return answer.Bytes()
}

// headCost returns the memory that a part of a head takes, in bytes.
func headCost(part []byte) int64 {
	return int64(headCostPerByte*len(part) + headCostPerLine*bytes.Count(part, []byte{'\n'}))
}

// headMemory is the memory that the heads of all requests take. Safe for concurrent use.
type headMemory struct {
	limit int64 // 0 for none
	used  atomic.Int64
}

// reserve reports whether there was memory for further bytes, which the caller then holds.
func (m *headMemory) reserve(cost int64) bool {
	if m.used.Add(cost) > m.limit && m.limit > 0 {
		m.used.Add(-cost)
		return false
	}
	return true
}

// release releases bytes that were reserved.
func (m *headMemory) release(cost int64) { m.used.Add(-cost) }
