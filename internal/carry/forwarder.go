package carry

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/upstream"
)

// chunkBytes is the maximum size of one forwarded piece of an answer's body.
const chunkBytes = 4 << 10

// ackAfter is the time after which a carrier acknowledges a request whose engine has not answered
// yet. Most engines have answered by then, and need no acknowledgement.
const ackAfter = 100 * time.Millisecond

// forwarder forwards an engine's answer to the peer that sent the request.
type forwarder struct {
	timer *time.Timer

	mutex   sync.Mutex // held while a part is sent
	onPart  func(offset int64, text []byte)
	started bool // a part was sent, or none may be sent after end
}

// newForwarder returns a forwarder that sends an acknowledgement if no part was sent within ackAfter.
func newForwarder(onPart func(offset int64, text []byte)) *forwarder {
	p := &forwarder{onPart: onPart}
	p.timer = time.AfterFunc(ackAfter, p.ack)
	return p
}

// ack sends an acknowledgement, unless a part was sent.
func (p *forwarder) ack() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.started {
		p.started = true
		p.onPart(0, nil)
	}
}

// forwardPart sends a part to the peer.
func (p *forwarder) forwardPart(offset int64, text []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.started = true
	p.onPart(offset, text)
}

// end makes sure that no acknowledgement is sent from now on.
func (p *forwarder) end() {
	p.timer.Stop()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.started = true
}

// forward forwards an answer as it arrives, and returns its last part, or an error if the answer was
// incomplete. An answer that is available at once is one part, with its head.
func (p *forwarder) forward(answer *upstream.Answer) (last []byte, err error) {
	chunk := make([]byte, chunkBytes)
	count, complete := 0, false
	var readErr error
	if answer.Buffered() {
		count, complete, readErr = read(answer.Body, chunk)
	}
	head, err := encodeHead(answer.Response, chunk[:count])
	if err != nil || complete {
		return head, err
	}
	p.forwardPart(0, head)
	if readErr != nil {
		return nil, readErr
	}
	offset := int64(count)
	for {
		count, complete, err := read(answer.Body, chunk)
		if complete {
			return chunk[:count], nil
		}
		if count > 0 {
			p.forwardPart(offset, chunk[:count])
			offset += int64(count)
		}
		if err != nil {
			return nil, err
		}
	}
}

// read reads a chunk of an answer's body, and reports whether it is the last one.
func read(content io.Reader, chunk []byte) (count int, complete bool, err error) {
	count, err = content.Read(chunk)
	switch {
	case err == io.EOF:
		return count, true, nil
	case err != nil:
		return count, false, errors.Wrap(err, "the engine broke its answer off")
	}
	return count, false, nil
}
