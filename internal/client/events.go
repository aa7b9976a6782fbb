package client

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes limits one event. The largest holds the result of a call.
const maxEventBytes = 32 << 20

// errEventTooLarge reports an event of more than maxEventBytes.
var errEventTooLarge = errors.New("the event is too large")

// event is one server-sent event.
type event struct {
	name string
	data []byte
}

// eventReader reads server-sent events. Not safe for concurrent use.
type eventReader struct {
	lines *bufio.Reader
}

func newEventReader(source io.Reader, limit int64) *eventReader {
	limited := io.LimitReader(source, limit)
	return &eventReader{lines: bufio.NewReader(limited)}
}

// next returns the next event that has data. For an event that the end of the stream truncates it returns
// io.ErrUnexpectedEOF.
func (r *eventReader) next() (event, error) {
	var current event
	var size int
	for {
		line, err := r.line(maxEventBytes - size)
		size += len(line)
		switch {
		case errors.Is(err, io.EOF) && (len(line) > 0 || current.name != "" || current.data != nil):
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if current.data != nil {
				return current, nil
			}
			current, size = event{}, 0
			continue
		}
		current.add(line)
	}
}

// line returns the next line with its end, or errEventTooLarge once it exceeds a number of bytes.
func (r *eventReader) line(limit int) ([]byte, error) {
	var line []byte
	for {
		fragment, err := r.lines.ReadSlice('\n')
		if len(line)+len(fragment) > limit {
			return nil, errEventTooLarge
		}
		line = append(line, fragment...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// add parses one line of an event; comments and unknown fields are skipped.
func (e *event) add(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "event":
		e.name = string(value)
	case "data":
		if e.data != nil {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
}
