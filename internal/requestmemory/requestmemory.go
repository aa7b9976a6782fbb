// Package requestmemory bounds the memory that the requests of all callers hold together. A body is read as it arrives and counts
// from its first byte until its request ends, so that callers who send large bodies slowly, or stop sending, cannot take
// a process over the memory of its machine.
package requestmemory

import (
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// DefaultLimit is the memory of requests, in bytes, where that of the machine is unknown.
const DefaultLimit = 64 << 20

// Limits of reading bodies.
const (
	// smallBytes is the size up to which a body may use all of the memory. A larger one is read into chunks of this size, which are
	// used again at once: it takes the collector too long to free those of many bodies that are refused.
	smallBytes = 64 << 10
	// largeShare is the share of the memory that larger bodies may use, so that small ones are still taken.
	largeShare = 0.875
	// minAge is how long a body may arrive at any rate before it may be aborted in favor of others.
	minAge = 500 * time.Millisecond
	// maxAbortWait is how long a body waits for the memory of one that is aborted in its favor.
	maxAbortWait = 100 * time.Millisecond
)

// Errors of bodies that were not read to their end.
var (
	// ErrFull reports that the memory for requests is used up.
	ErrFull = errors.New("the memory for requests is used up")
	// ErrTooSlow reports that a body was aborted in favor of others, since it arrived the slowest while the memory was used up.
	ErrTooSlow = errors.New("the body arrived the slowest while the memory for requests was used up")
)

// Memory is what the requests of a process may hold. Safe for concurrent use.
type Memory struct {
	limit int64

	mutex     sync.Mutex
	used      int64
	receiving map[*Body]struct{} // bodies that have not arrived in full
	released  chan struct{}      // closed, and replaced, when memory is released
	free      [][]byte           // chunks that are not in use; none while nothing is received

	joining sync.Mutex // held while chunks are joined, which takes their memory twice
}

// NewMemory returns a memory of limit bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, receiving: make(map[*Body]struct{}), released: make(chan struct{})}
}

// Limit returns how many bytes requests may hold.
func (m *Memory) Limit() int64 { return m.limit }

// Used returns how many bytes requests hold.
func (m *Memory) Used() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.used
}

// Source is where a body comes from.
type Source struct {
	Reader io.Reader
	Size   int64 // -1 if unknown
	// Abort makes a Read that is in progress fail. It must not block.
	Abort func()
}

// Body is the memory of one request. It must be released when the request ends.
type Body struct {
	memory    *Memory
	source    Source
	startedAt time.Time

	// Guarded by the memory's mutex:
	held     int64
	received int64
	aborted  bool

	// Used by Read only:
	chunks [][]byte // all but the last one are full
	total  int      // bytes in them
}

// Empty returns the memory of a request without a body.
func (m *Memory) Empty() *Body { return &Body{memory: m} }

// Read reads a body to its end. The caller must release the returned body, also after an error. The error is ErrFull or ErrTooSlow if
// there was no memory for the rest, and otherwise that of the source.
func (m *Memory) Read(source Source) (*Body, []byte, error) {
	body := &Body{memory: m, source: source, startedAt: time.Now()}
	m.mutex.Lock()
	m.receiving[body] = struct{}{}
	m.mutex.Unlock()
	content, err := body.receive()
	m.mutex.Lock()
	delete(m.receiving, body)
	if body.aborted {
		err = ErrTooSlow // also if it arrived in full: Abort may have broken its connection
	}
	m.mutex.Unlock()
	if err != nil {
		content = nil
		body.Release()
	}
	m.dropChunks()
	return body, content, err
}

// receive reads the source to its end.
func (b *Body) receive() ([]byte, error) {
	defer b.returnChunks()
	if size := b.source.Size; size >= 0 && size <= smallBytes {
		return b.receiveSmall(int(size))
	}
	for b.source.Size < 0 || int64(b.total) < b.source.Size {
		space, err := b.space()
		if err != nil {
			return nil, err
		}
		count, err := b.source.Reader.Read(space)
		b.recordReceived(count)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if int64(b.total) < b.source.Size {
		return nil, io.ErrUnexpectedEOF
	}
	return b.join(), nil
}

// receiveSmall reads a source of a small size into one allocation.
func (b *Body) receiveSmall(size int) ([]byte, error) {
	if err := b.reserve(int64(size)); err != nil {
		return nil, err
	}
	content := make([]byte, size)
	for b.total < size {
		count, err := b.source.Reader.Read(content[b.total:])
		b.recordReceived(count)
		if err == io.EOF && b.total < size {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil && err != io.EOF {
			return nil, err
		}
	}
	return content, nil
}

// recordReceived counts bytes that have arrived.
func (b *Body) recordReceived(count int) {
	b.total += count
	b.memory.mutex.Lock()
	defer b.memory.mutex.Unlock()
	b.received += int64(count)
}

// space returns room for the next bytes of the body, of no more than it has left.
func (b *Body) space() ([]byte, error) {
	used := b.total % smallBytes
	if b.total == len(b.chunks)*smallBytes {
		if err := b.reserve(smallBytes); err != nil {
			return nil, err
		}
		b.chunks = append(b.chunks, b.memory.takeChunk())
	}
	space := b.chunks[len(b.chunks)-1][used:]
	if left := b.source.Size - int64(b.total); b.source.Size >= 0 && left < int64(len(space)) {
		space = space[:left]
	}
	return space, nil
}

// join returns the content of all chunks in one allocation. Its memory is held instead of theirs.
func (b *Body) join() []byte {
	b.memory.joining.Lock()
	defer b.memory.joining.Unlock()
	b.hold(int64(b.total))
	content := make([]byte, 0, b.total)
	for _, chunk := range b.chunks {
		content = append(content, chunk[:min(len(chunk), b.total-len(content))]...)
	}
	b.returnChunks()
	return content
}

// returnChunks releases the chunks.
func (b *Body) returnChunks() {
	m := b.memory
	m.mutex.Lock()
	m.free = append(m.free, b.chunks...)
	m.mutex.Unlock()
	b.ReleaseBytes(int64(len(b.chunks)) * smallBytes)
	b.chunks = nil
}

// takeChunk returns a chunk that is not in use. Its memory must be reserved.
func (m *Memory) takeChunk() []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	last := len(m.free) - 1
	if last < 0 {
		return make([]byte, smallBytes)
	}
	chunk := m.free[last]
	m.free = m.free[:last]
	return chunk
}

// dropChunks leaves the chunks that are not in use to the collector: all of them once nothing is received, and otherwise those
// beyond the limit.
func (m *Memory) dropChunks() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	kept := max(0, int(m.limit-m.used)/smallBytes)
	if len(m.receiving) == 0 {
		kept = 0
	}
	if len(m.free) > kept {
		m.free = slices.Clone(m.free[:kept])
	}
}

// hold holds further bytes in any case.
func (b *Body) hold(bytes int64) {
	m := b.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.used += bytes
	b.held += bytes
}

// reserve holds further bytes. If the memory is used up, it aborts the body that arrives the slowest, and waits for its memory.
func (b *Body) reserve(bytes int64) error {
	deadline := time.Now().Add(maxAbortWait)
	for {
		released, ok := b.tryReserve(bytes)
		if ok {
			return nil
		}
		if !b.memory.abortSlowest(b) {
			return ErrFull
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-released:
			timer.Stop()
		case <-timer.C:
			return ErrFull
		}
	}
}

// tryReserve holds further bytes if there is memory for them. Otherwise it returns a channel that is closed when some is released.
// A body that is alone gets all that it needs.
func (b *Body) tryReserve(bytes int64) (released <-chan struct{}, ok bool) {
	m := b.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	limit := m.limit
	if b.held+bytes > smallBytes {
		limit = int64(largeShare * float64(limit))
	}
	if m.used+bytes > limit && m.used > b.held {
		return m.released, false
	}
	m.used += bytes
	b.held += bytes
	return nil, true
}

// Hold holds further bytes for the request of a body that has arrived, such as its conversation's history. It returns false if there
// is no memory for them. A request that is alone cannot hold more than all memory either: conversations have no limit, as bodies do.
func (b *Body) Hold(bytes int64) bool {
	b.memory.mutex.Lock()
	exceeds := b.held+bytes > b.memory.limit
	b.memory.mutex.Unlock()
	if exceeds {
		return false
	}
	_, ok := b.tryReserve(bytes)
	return ok
}

// abortSlowest aborts the body that arrives the slowest, in favor of another one. It returns false if there is none, or that other one
// is the slowest. Bodies that began to arrive less than minAge ago are not aborted.
func (m *Memory) abortSlowest(beneficiary *Body) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	var slowest *Body
	for body := range m.receiving {
		if body.held == 0 || now.Sub(body.startedAt) < minAge {
			continue
		}
		if body.aborted && body != beneficiary {
			return true // its memory is about to be released
		}
		if slowest == nil || body.rate(now) < slowest.rate(now) {
			slowest = body
		}
	}
	if slowest == nil || slowest == beneficiary {
		return false
	}
	slowest.aborted = true
	slowest.source.Abort()
	return true
}

// rate returns how many bytes a second have arrived. The memory's mutex is held.
func (b *Body) rate(now time.Time) float64 {
	return float64(b.received) / now.Sub(b.startedAt).Seconds()
}

// ReleaseBytes releases some of the bytes that are held.
func (b *Body) ReleaseBytes(bytes int64) {
	m := b.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	bytes = min(bytes, b.held)
	if bytes == 0 {
		return
	}
	b.held -= bytes
	m.used -= bytes
	close(m.released)
	m.released = make(chan struct{})
}

// Release releases all bytes that are held. Releasing twice is safe.
func (b *Body) Release() {
	b.memory.mutex.Lock()
	held := b.held
	b.memory.mutex.Unlock()
	b.ReleaseBytes(held)
}
