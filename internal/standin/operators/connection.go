package operators

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrPeerClosed is returned if the server had closed the connection before a request was sent on it.
var ErrPeerClosed = errors.New("connection was closed by the server")

// Connection is a client's persistent connection to a process; it carries one request at a time.
type Connection struct {
	connection    *net.TCPConn
	reader        *bufio.Reader
	idleSince     time.Time
	reusableUntil time.Time // from the Keep-Alive header of the last response; zero means no limit
	closing       bool      // the last response announced a close, or the connection failed
}

// ConnectionReply is the result of Connection.Send: the reply, and how much of the request was sent.
type ConnectionReply struct {
	Reply
	FirstBytesSent bool          // the first bytes were sent while the connection was open
	AllBytesSent   bool          // the last bytes were sent while the connection was open
	LastBytesAt    time.Time     // when the last bytes were sent, or when sending was abandoned
	SendingTook    time.Duration // from the first bytes until LastBytesAt
}

// Dial opens a connection to a process.
func Dial(ctx context.Context, address string) (*Connection, error) {
	dialled, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	tcp := dialled.(*net.TCPConn)
	return &Connection{connection: tcp, reader: bufio.NewReader(tcp), idleSince: time.Now()}, nil
}

// Close closes the connection.
func (c *Connection) Close() { _ = c.connection.Close() } // nothing depends on a clean close

// Reusable reports whether another request may be sent on the connection: neither side has ended it,
// the Keep-Alive header of the last response still allows it, and it has been idle for at most maxIdle.
func (c *Connection) Reusable(maxIdle time.Duration) bool {
	now := time.Now()
	return !c.closing && now.Sub(c.idleSince) <= maxIdle && (c.reusableUntil.IsZero() || now.Before(c.reusableUntil))
}

// IsOpen reports whether the connection is open and has no unread data from the server.
func (c *Connection) IsOpen() bool {
	raw, err := c.connection.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(descriptor uintptr) {
		_, _, failure := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(failure, syscall.EAGAIN)
	})
	return err == nil && open
}

// Send sends a request and reads the response. With a pause above zero it waits that long after the
// request line.
func (c *Connection) Send(ctx context.Context, host string, request ClientRequest, pause time.Duration) ConnectionReply {
	content, err := request.bytes(ctx, c.connection.RemoteAddr().String(), host)
	if err != nil {
		return ConnectionReply{Reply: Reply{Err: err}}
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	sent := c.write(content, pause)
	if sent.Err != nil {
		c.closing = true
		return sent
	}
	sent.Reply = c.read(request.Method)
	c.closing = c.closing || !sent.Complete
	c.idleSince = time.Now()
	return sent
}

// write sends a request, in two parts if there is a pause. Each part is only sent if the connection
// still appears open.
func (c *Connection) write(content []byte, pause time.Duration) ConnectionReply {
	split := bytes.Index(content, []byte("\r\n")) + len("\r\n")
	if pause == 0 {
		split = len(content)
	}
	if !c.IsOpen() {
		return ConnectionReply{Reply: Reply{Err: ErrPeerClosed}, LastBytesAt: time.Now()}
	}
	_, err := c.connection.Write(content[:split])
	firstBytesAt := time.Now()
	sent := ConnectionReply{FirstBytesSent: err == nil, LastBytesAt: firstBytesAt}
	if pause > 0 && err == nil {
		time.Sleep(pause) // simulates a slow client; not cut short by the context
		if !c.IsOpen() {
			err = ErrPeerClosed
		} else {
			_, err = c.connection.Write(content[split:])
		}
		sent.LastBytesAt = time.Now()
		sent.SendingTook = sent.LastBytesAt.Sub(firstBytesAt)
	}
	sent.AllBytesSent, sent.Err = err == nil, err
	return sent
}

// read reads a response and records what it states about reuse of the connection.
func (c *Connection) read(method string) Reply {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Reply{Err: err}
	}
	defer response.Body.Close()
	reply := replyOf(response)
	c.closing = response.Close
	c.reusableUntil = keepAliveEnd(response.Header)
	return reply
}

// keepAliveEnd returns the end of the Keep-Alive timeout of a response; zero if it names none.
func keepAliveEnd(header http.Header) time.Time {
	_, seconds, found := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	timeout, err := strconv.Atoi(seconds)
	if !found || err != nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(timeout) * time.Second)
}

// bytes returns the request in its HTTP/1.1 encoding.
func (r ClientRequest) bytes(ctx context.Context, address, host string) ([]byte, error) {
	request, err := r.request(ctx, address, host)
	if err != nil {
		return nil, err
	}
	var content bytes.Buffer
	err = request.Write(&content)
	return content.Bytes(), err
}

// request returns the HTTP request.
func (r ClientRequest) request(ctx context.Context, address, host string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	request.Host = host
	r.setHeaders(request.Header)
	return request, nil
}

// replyOf reads a response body, up to maxReplyBytes.
func replyOf(response *http.Response) Reply {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	reply := Reply{Status: response.StatusCode, ID: response.Header.Get("X-Request-Id"), Seal: response.Header.Get("X-Response-Seal"), Complete: err == nil}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		reply.Events = readEvents(string(content))
	} else {
		reply.Body = string(content)
	}
	return reply
}
