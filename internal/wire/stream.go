package wire

import (
	"context"
	"sync"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

const (
	// maxPartBytes is the maximum text in one Part; longer parts are split.
	maxPartBytes = 64 << 10
	// partCostBytes is charged to the window per part in addition to its text, so
	// that many tiny parts cannot fill the client's memory.
	partCostBytes = 64
	// windowGrantBytes is how many bytes the client consumes before it grants them again.
	windowGrantBytes = StreamWindowBytes / 2
	// streamBufferBytes is the maximum that a correct peer may send ahead of the consumer.
	streamBufferBytes = StreamWindowBytes + maxPartBytes + partCostBytes
)

// partCost returns the bytes that a part takes from its stream's window.
func partCost(text []byte) int { return len(text) + partCostBytes }

// stream is the client side of one exchange: the parts and the reply that arrived
// and were not consumed yet. Safe for concurrent use.
type stream struct {
	ctx         context.Context // of the request; receives progress reports for large frames
	correlation uint64
	wake        chan struct{} // holds one token when something arrived
	ungranted   int           // consumed bytes not granted again; used by the consumer only

	mu       sync.Mutex
	parts    []*wirepb.Part
	buffered int
	reply    *wirepb.Reply
	overrun  bool // the peer sent more than the window allows
}

func newStream(ctx context.Context, correlation uint64) *stream {
	return &stream{ctx: ctx, correlation: correlation, wake: make(chan struct{}, 1)}
}

// addPart stores a part for the consumer. Called by the link's reader; it never
// blocks.
func (s *stream) addPart(part *wirepb.Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overrun || s.reply != nil {
		return
	}
	s.buffered += partCost(part.GetText())
	if s.buffered > streamBufferBytes {
		s.overrun = true
	} else {
		s.parts = append(s.parts, part)
	}
	s.signal()
}

// setReply ends the stream.
func (s *stream) setReply(reply *wirepb.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply = reply
	s.signal()
}

// signal requires s.mu.
func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take returns the parts that arrived since the last take, and the reply if it has arrived.
func (s *stream) take() (parts []*wirepb.Part, reply *wirepb.Reply, overrun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts = s.parts
	s.parts = nil
	return parts, s.reply, s.overrun
}

// consumed frees buffer space after the consumer has processed parts.
func (s *stream) consumed(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffered -= bytes
}
