package httpapi

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// eventWriteTimeout is the maximum time to write one event to a client.
const eventWriteTimeout = 30 * time.Second

// EventWriter writes server-sent events. Not safe for concurrent use.
type EventWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	started    bool
}

// NewEventWriter returns a writer that sends nothing before the first event or Start.
func NewEventWriter(writer http.ResponseWriter) *EventWriter {
	return &EventWriter{writer: writer, controller: http.NewResponseController(writer)}
}

// Started reports whether the status and headers have been sent.
func (e *EventWriter) Started() bool { return e.started }

// Start sends the status and headers.
func (e *EventWriter) Start() error {
	if e.started {
		return nil
	}
	e.started = true
	e.writer.Header().Set("Content-Type", ContentTypeEvents)
	e.writer.Header().Set("Cache-Control", "no-store")
	e.writer.WriteHeader(http.StatusOK)
	return e.flush()
}

// Send writes one event with value as its JSON data.
func (e *EventWriter) Send(event string, value any) error {
	data, err := Encode(value)
	if err != nil {
		return err
	}
	var buffer bytes.Buffer
	buffer.WriteString("event: " + event + "\ndata: ")
	buffer.Write(data)
	buffer.WriteString("\n")
	return e.send(buffer.Bytes())
}

// KeepAlive writes a comment, so that a broken connection is detected.
func (e *EventWriter) KeepAlive() error {
	return e.send([]byte(": keep-alive\n\n"))
}

func (e *EventWriter) send(text []byte) error {
	if err := e.Start(); err != nil {
		return err
	}
	// ResponseWriters that do not support deadlines, as in tests, are written without one.
	_ = e.controller.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	if _, err := e.writer.Write(text); err != nil {
		return errors.Wrap(err, "write event")
	}
	if err := e.flush(); err != nil {
		return err
	}
	_ = e.controller.SetWriteDeadline(time.Time{})
	return nil
}

func (e *EventWriter) flush() error {
	err := e.controller.Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "flush events")
	}
	return nil
}

// WantsEvents reports whether the request asks for server-sent events.
func WantsEvents(request *http.Request) bool {
	for _, value := range request.Header.Values("Accept") {
		for choice := range strings.SplitSeq(value, ",") {
			mediaType, _, _ := strings.Cut(choice, ";")
			if strings.EqualFold(strings.TrimSpace(mediaType), ContentTypeEvents) {
				return true
			}
		}
	}
	return false
}
