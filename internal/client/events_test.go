package client

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// endlessReader repeats a text without an end and counts the bytes that were read.
type endlessReader struct {
	text string
	read int
}

func (r *endlessReader) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(buffer)
	return len(buffer), nil
}

// TestEventWithoutEndIsAborted guards against reading an event of a node without a limit.
func TestEventWithoutEndIsAborted(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", ": comment\n"} {
		source := &endlessReader{text: text}
		_, err := newEventReader(source, maxWatchBytes).next()
		if !errors.Is(err, errEventTooLarge) {
			t.Errorf("%q: got %v", text, err)
		}
		if source.read > maxEventBytes+64<<10 {
			t.Errorf("%q: %d bytes were read", text, source.read)
		}
	}
}

// TestEventsAreReadAcrossBuffers checks lines that are longer than the reader's buffer.
func TestEventsAreReadAcrossBuffers(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	reader := newEventReader(strings.NewReader("event: result\ndata: "+long+"\n\n"), maxWatchBytes)
	next, err := reader.next()
	if err != nil || next.name != "result" || string(next.data) != long {
		t.Errorf("got event %q of %d bytes, %v", next.name, len(next.data), err)
	}
}
