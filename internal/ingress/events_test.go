package ingress

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// readEvents returns the raw events of a stream, and the error that ended it.
func readEvents(content io.Reader) ([]string, error) {
	reader := newEventReader(content)
	var events []string
	for {
		next, err := reader.next()
		if err != nil {
			return events, err
		}
		events = append(events, string(next.raw))
	}
}

// TestEventsKeepTheirBytes checks that the raw events are the stream's bytes in order, whatever stands between them, and
// that an incomplete event is none.
func TestEventsKeepTheirBytes(t *testing.T) {
	long := strings.Repeat("x", 3*eventBuffer)
	for _, test := range []struct {
		name, content string
		events        int
		end           error
	}{
		{"events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, io.EOF},
		{"empty lines between events", "data: a\n\n\n\ndata: b\n\n", 2, io.EOF},
		{"empty lines at the end", "data: a\n\n\r\n\n", 2, io.EOF},
		{"a line longer than the buffer", "data: " + long + "\n\n", 1, io.EOF},
		{"a comment", ": ping\n\ndata: a\n\n", 2, io.EOF},
		{"carriage returns", "data: a\r\n\r\n", 1, io.EOF},
		{"an incomplete event", "data: a\n\ndata: b\n", 1, io.ErrUnexpectedEOF},
		{"an incomplete line", "data: a\n\nda", 1, io.ErrUnexpectedEOF},
		{"nothing", "", 0, io.EOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			events, err := readEvents(strings.NewReader(test.content))
			if len(events) != test.events || err != test.end {
				t.Errorf("got %d events, then %v; want %d, then %v", len(events), err, test.events, test.end)
			}
			whole := strings.Join(events, "")
			if !strings.HasPrefix(test.content, whole) || (err == io.EOF && whole != test.content) {
				t.Errorf("the events have the bytes %.80q, the stream has %.80q", whole, test.content)
			}
		})
	}
}

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

// TestEventWithoutEndIsAborted guards against reading a line, or an event, without a limit: the limit was compared only once
// a line had ended.
func TestEventWithoutEndIsAborted(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", ": comment\n", "\n", "\r\n"} {
		source := &endlessReader{text: text}
		events, err := readEvents(source)
		if len(events) > 0 || !errors.Is(err, errEventTooLarge) {
			t.Errorf("%q: got %d events, then %v", text, len(events), err)
		}
		if limit := maxEventBytes + 2*eventBuffer; source.read > limit {
			t.Errorf("%q: %d bytes were read, want %d at most", text, source.read, limit)
		}
	}
}
