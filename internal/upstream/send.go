package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Errors of Send.
var (
	// ErrNotSent means that not a single byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrNoAnswer means that the request was sent, at least in part, and no answer arrived: it may have
	// run.
	ErrNoAnswer = errors.New("no answer")
)

// IsAckTimeout reports whether an error of Send means that the connection was closed because the peer
// acknowledged nothing within AckTimeout.
func IsAckTimeout(err error) bool { return errors.Is(err, unix.ETIMEDOUT) }

// IsDialTimeout reports whether an error of Open or Probe means that nothing at all responded in time.
func IsDialTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// maxStaleResponses is how many interim answers, and responses to other requests, are skipped.
const maxStaleResponses = 4

// largeBody is the size from which a body is written concurrently with reading the answer, since the
// peer may answer before it has read the body.
const largeBody = 32 << 10

// pastDeadline is a deadline that ends pending I/O at once.
var pastDeadline = time.Unix(1, 0)

// Request is one request as it is sent.
type Request struct {
	Method string
	Target string // path and query, as in the request line
	Host   string
	Header http.Header // without framing; not changed
	Body   []byte
	// Accept reports whether a response belongs to this request and is not a stale one; nil accepts
	// every response.
	Accept func(header http.Header) bool
}

// Answer is the head of an answer, with its body still to be read. Close must be called.
type Answer struct {
	*http.Response

	pool      *Pool
	conn      *Conn
	stopWatch func() bool // ends watching the context
	writing   chan error  // result of writing a large body; nil if there is none
	complete  bool
}

// Send sends a request on a connection. The connection then belongs to the answer or, with an error, is
// closed. When ctx ends, pending I/O fails. Errors are marked ErrNotSent or ErrNoAnswer.
func (p *Pool) Send(ctx context.Context, conn *Conn, request Request) (*Answer, error) {
	answer := &Answer{pool: p, conn: conn}
	answer.stopWatch = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(pastDeadline) })
	if err := answer.write(request); err != nil {
		answer.abort()
		return nil, err
	}
	response, err := answer.head(request)
	if err != nil {
		answer.abort()
		return nil, errors.Mark(errors.Wrapf(err, "answer of %s", conn.Address), ErrNoAnswer)
	}
	answer.Response = response
	answer.Body = &body{answer: answer, content: response.Body}
	return answer, nil
}

// write sends the head and the body; it sends a large body in the background.
func (a *Answer) write(request Request) error {
	head := encodeHead(request)
	if len(request.Body) < largeBody {
		return a.writeAll(append(head, request.Body...))
	}
	if err := a.writeAll(head); err != nil {
		return err
	}
	conn, writing := a.conn, make(chan error, 1) // abort sets a.conn to nil
	a.writing = writing
	conn.checked.beginWrite() // here, since the peer may end the answer before the goroutine begins
	go func() {
		_, err := conn.Write(request.Body)
		conn.checked.endWrite()
		writing <- err
	}()
	return nil
}

// writeAll writes bytes. The error is marked ErrNotSent if none of them were sent.
func (a *Answer) writeAll(content []byte) error {
	written, err := a.conn.Write(content)
	switch {
	case err == nil:
		return nil
	case written == 0:
		return errors.Mark(errors.Wrapf(err, "write to %s", a.conn.Address), ErrNotSent)
	}
	return errors.Mark(errors.Wrapf(err, "write to %s", a.conn.Address), ErrNoAnswer)
}

// encodeHead returns the request line and the headers.
func encodeHead(request Request) []byte {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(request.Method)
	head.WriteByte(' ')
	head.WriteString(request.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(request.Host)
	head.WriteString("\r\n")
	_ = request.Header.Write(&head) // a buffer returns no error
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(request.Body)))
		head.WriteString("\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// head reads the head of the answer. It skips interim and stale responses.
func (a *Answer) head(request Request) (*http.Response, error) {
	sentRequest := &http.Request{Method: request.Method}
	a.conn.heads.begin()
	for range maxStaleResponses {
		response, err := a.conn.readHead(sentRequest)
		if err != nil {
			return nil, err
		}
		if isInterim(response.StatusCode) {
			continue
		}
		if request.Accept == nil || request.Accept(response.Header) {
			return response, nil
		}
		if err := skipStale(response); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many stale responses")
}

// body records whether the answer's body was read to its end.
type body struct {
	answer  *Answer
	content io.ReadCloser
}

// Read implements io.Reader. io.EOF means that the body is complete.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.content.Read(buffer)
	if err == io.EOF {
		b.answer.complete = true
	}
	return count, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.answer.Close()
	return nil
}

// Buffered reports whether a part of the body, or its end, has arrived.
func (a *Answer) Buffered() bool { return a.conn != nil && a.conn.reader.Buffered() > 0 }

// Close returns the connection to the pool if the answer was read to its end and the peer keeps it open.
// Otherwise it closes the connection, whereupon most engines drop the request.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	if !a.reusable() {
		a.abort()
		return
	}
	conn := a.conn
	a.conn = nil
	conn.idleLimit = idleLimitOf(a.Header, conn.idleLimit)
	a.pool.release(conn)
}

// reusable reports whether the connection can serve another request.
func (a *Answer) reusable() bool {
	if !a.complete || a.Response.Close || a.conn.reader.Buffered() > 0 || !a.stopWatch() {
		return false
	}
	if a.writing == nil {
		return true
	}
	select {
	case err := <-a.writing:
		return err == nil
	default:
		return false // the peer answered early; the rest of the body is still to be written
	}
}

// abort closes the connection.
func (a *Answer) abort() {
	if a.conn == nil {
		return
	}
	a.stopWatch()
	a.conn.Close()
	a.conn = nil
}

// idleLimitOf returns how long a connection may be idle, from the peer's Keep-Alive header.
func idleLimitOf(header http.Header, current time.Duration) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.ParseFloat(value, 64)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(seconds * keepAliveFraction * float64(time.Second))
		}
	}
	return current
}
