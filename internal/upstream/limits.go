package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Limits of what is read before the body of an answer. A faulty peer may send bytes in any place, without an end, until
// the connection is closed; together with what many such answers at once take, a process stays within its memory.
const (
	maxHeadBytes  = 32 << 10 // of all heads up to the one of the answer
	maxStaleBytes = 4 << 20  // of the body of an answer to another request, which is discarded
)

// httpPrefix starts the status line of every answer.
const httpPrefix = "HTTP/"

// Place is the place in an answer that a limit is about.
type Place string

// Places.
const (
	StatusLine  Place = "status line" // the bytes are not those of an answer
	Head        Place = "head"
	StaleAnswer Place = "answer to another request"
	Body        Place = "body"
)

// LimitError reports that a peer sent more than a place of an answer may have, or bytes that have no place in one. The
// rest is not read.
type LimitError struct {
	Place Place
	Limit int64 // bytes
}

// Error implements error.
func (e *LimitError) Error() string {
	if e.Place == StatusLine {
		return fmt.Sprintf("the bytes are no answer: the first %d do not begin a %s", e.Limit, e.Place)
	}
	return fmt.Sprintf("the %s exceeds the limit of %d bytes", e.Place, e.Limit)
}

// LimitBody returns a body that fails with a LimitError once more than limit bytes have been read from it.
func LimitBody(content io.ReadCloser, limit int64) io.ReadCloser {
	return &limitedBody{ReadCloser: content, limit: limit, left: limit}
}

type limitedBody struct {
	io.ReadCloser
	limit, left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	b.left -= int64(count)
	if b.left < 0 {
		return count, &LimitError{Place: Body, Limit: b.limit}
	}
	return count, err
}

// headLimiter limits what is read from a connection while the head of an answer is being read.
type headLimiter struct {
	source  io.Reader
	reading bool // a head
	left    int  // bytes that may still be read of heads
}

// begin starts to limit what is read.
func (l *headLimiter) begin() {
	// The buffer in front of the limiter may also read the start of the body.
	l.reading, l.left = true, maxHeadBytes+bufferBytes
}

// Read implements io.Reader.
func (l *headLimiter) Read(buffer []byte) (int, error) {
	if !l.reading {
		return l.source.Read(buffer)
	}
	if l.left <= 0 {
		return 0, &LimitError{Place: Head, Limit: maxHeadBytes}
	}
	count, err := l.source.Read(buffer[:min(len(buffer), l.left)])
	l.left -= count
	return count, err
}

// readHead reads and checks one head. It fails as soon as the bytes cannot be those of an answer: a line that has begun otherwise may
// never end.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	c.heads.reading = true
	defer func() { c.heads.reading = false }()
	prefix, err := c.reader.Peek(len(httpPrefix))
	if !bytes.HasPrefix([]byte(httpPrefix), prefix) {
		return nil, &LimitError{Place: StatusLine, Limit: int64(len(httpPrefix))}
	}
	if err != nil && len(prefix) == 0 {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil && c.heads.left <= 0 {
		// The line that the limit cut off may be reported as malformed instead.
		err = &LimitError{Place: Head, Limit: maxHeadBytes}
	}
	if err == nil {
		err = checkHead(response)
	}
	return response, shortened(err)
}

// maxErrorText limits the text of an error, which is logged and may quote what the peer sent.
const maxErrorText = 200 // bytes

// shortened returns an error that quotes no more than maxErrorText of what the peer sent. Errors of the connection are
// shorter and are returned as they are.
func shortened(err error) error {
	if err == nil || len(err.Error()) <= maxErrorText {
		return err
	}
	return errors.Newf("%s...", err.Error()[:maxErrorText])
}

// skipStale discards the body of an answer to another request.
func skipStale(response *http.Response) error {
	skipped, err := io.CopyN(io.Discard, response.Body, maxStaleBytes+1)
	switch {
	case skipped > maxStaleBytes:
		return &LimitError{Place: StaleAnswer, Limit: maxStaleBytes}
	case err != io.EOF:
		return errors.Wrap(err, "answer to another request")
	case response.Close:
		return errors.New("the connection was closed after an answer to another request")
	}
	return nil
}
