package ingress

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Bounds of reading events.
const (
	eventBuffer   = 4 << 10
	maxEventBytes = 1 << 20
)

// errEventTooLarge says that an engine sent an event over maxEventBytes.
var errEventTooLarge = errors.New("an event is too large")

// event is one whole event of a stream.
type event struct {
	raw  []byte // as it came, with the empty line that ends it
	id   string // empty if it has none
	data []byte // its data lines, joined by line feeds
	has  bool   // it has data
}

// eventReader splits a stream into events. What follows the last empty line is
// no event: an engine may break off in the middle of one.
type eventReader struct {
	content *bufio.Reader
}

func newEventReader(content io.Reader) *eventReader {
	return &eventReader{content: bufio.NewReaderSize(content, eventBuffer)}
}

// next returns the next whole event. io.EOF means that the stream has ended as
// it should; io.ErrUnexpectedEOF that it ended within an event.
func (e *eventReader) next() (event, error) {
	var found event
	for {
		line, err := e.content.ReadBytes('\n')
		found.raw = append(found.raw, line...)
		switch {
		case len(found.raw) > maxEventBytes:
			return event{}, errEventTooLarge
		case err == io.EOF && len(bytes.TrimSpace(found.raw)) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			return found, nil
		}
		found.take(content)
	}
}

// take reads one line of an event.
func (e *event) take(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id = string(value)
	case "data":
		if e.has {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		e.has = true
	}
}

// follows reports whether an event comes behind the one with the last id. Ids
// that are no numbers always do.
func (e *event) follows(last string) bool {
	if last == "" || e.id == "" {
		return true
	}
	own, errOwn := strconv.ParseInt(e.id, 10, 64)
	before, errBefore := strconv.ParseInt(last, 10, 64)
	return errOwn != nil || errBefore != nil || own > before
}
