package ingress

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Limits of reading events.
const (
	eventBuffer   = 4 << 10
	maxEventBytes = 256 << 10
)

// errEventTooLarge reports that an engine sent an event of more than maxEventBytes.
var errEventTooLarge = errors.New("the engine sent an event that is too large")

// event is one complete event of a stream.
type event struct {
	raw     []byte // as received, with the empty line that ends it
	id      string // empty if it has none
	data    []byte // its data lines, joined by line feeds
	hasData bool   // it has a data line
}

// eventReader splits a stream into events. Data after the last empty line is not an event: an engine
// may abort its answer in the middle of one.
type eventReader struct {
	content *bufio.Reader
}

func newEventReader(content io.Reader) *eventReader {
	return &eventReader{content: bufio.NewReaderSize(content, eventBuffer)}
}

// readRest reads the stream to its end, and returns a reader of what it has read. It returns an error if the stream does not
// arrive whole, and tooLong if it is longer than maxBufferedAnswer.
func (e *eventReader) readRest(tooLong error) (*eventReader, error) {
	rest, err := io.ReadAll(io.LimitReader(e.content, maxBufferedAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(rest) > maxBufferedAnswer {
		return nil, tooLong
	}
	return newEventReader(bytes.NewReader(rest)), nil
}

// next returns the next complete event. Empty lines before an event are part of it, since a client gets nothing from them
// alone; at the end of the stream they are an event without fields. io.EOF means that the stream ended between two events;
// io.ErrUnexpectedEOF that it ended within an event.
func (e *eventReader) next() (event, error) {
	var parsed event
	hasFields := false
	for {
		start := len(parsed.raw)
		raw, err := e.appendLine(parsed.raw)
		parsed.raw = raw
		switch {
		case err == io.EOF && (hasFields || len(bytes.TrimSpace(raw)) > 0):
			return event{}, io.ErrUnexpectedEOF
		case err == io.EOF && len(raw) > 0:
			return parsed, nil
		case err != nil:
			return event{}, err
		}
		line := bytes.TrimRight(raw[start:], "\r\n")
		switch {
		case len(line) > 0:
			hasFields = true
			parsed.parseLine(line)
		case hasFields:
			return parsed, nil
		}
	}
}

// appendLine appends the next line, with its end, to the lines of an event. It returns an error once the event exceeds
// maxEventBytes, also within a line.
func (e *eventReader) appendLine(raw []byte) ([]byte, error) {
	for {
		fragment, err := e.content.ReadSlice('\n')
		if len(raw)+len(fragment) > maxEventBytes {
			return nil, errEventTooLarge
		}
		raw = append(raw, fragment...)
		if err != bufio.ErrBufferFull {
			return raw, err
		}
	}
}

// parseLine parses one line of an event.
func (e *event) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id = string(value)
	case "data":
		if e.hasData {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		e.hasData = true
	}
}

// follows reports whether the event comes after the one with the id last. If one of the ids is not a
// number, it returns true.
func (e *event) follows(last string) bool {
	if last == "" || e.id == "" {
		return true
	}
	own, errOwn := strconv.ParseInt(e.id, 10, 64)
	before, errBefore := strconv.ParseInt(last, 10, 64)
	return errOwn != nil || errBefore != nil || own > before
}
