package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/upstream"
)

// maxEndlessBytes is how much a peer may get rid of before the connection is closed: the limits of upstream, and what the
// two ends of a connection hold in their buffers.
const maxEndlessBytes = 24 << 20

// sendEndless writes head once and then repeated until the caller closes the connection, or sent far too much. It returns
// how many bytes were written.
func sendEndless(connection net.Conn, head, repeated string) int {
	block := []byte(strings.Repeat(repeated, max(1, 64<<10/len(repeated))))
	sent, err := io.WriteString(connection, head)
	for err == nil && sent < 4*maxEndlessBytes {
		var count int
		count, err = connection.Write(block)
		sent += count
	}
	return sent
}

// serveEndless returns the address of a peer that answers each request without an end, and a channel with the number of
// bytes that it sent.
func serveEndless(t *testing.T, head, repeated string) (string, <-chan int) {
	t.Helper()
	sent := make(chan int, 1)
	address := servePeer(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		sent <- sendEndless(connection, head, repeated)
	})
	return address, sent
}

// TestAnswerWithoutEndIsAborted guards against reading a peer's bytes without a limit: an answer whose head never ends, or
// that never gets to its body, took a process over its memory.
func TestAnswerWithoutEndIsAborted(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
	for _, test := range []struct {
		name, head, repeated string
		place                upstream.Place // empty if the answer is malformed before it is too long
	}{
		{"no HTTP", "", "#", upstream.StatusLine},
		{"no HTTP, in lines", "", "####\r\n", upstream.StatusLine},
		{"status line", "HTTP/1.1 200 O", "K", upstream.Head},
		{"header name", "HTTP/1.1 200 OK\r\nX", "x", upstream.Head},
		{"header value", "HTTP/1.1 200 OK\r\nX: ", "x", upstream.Head},
		{"folded header", "HTTP/1.1 200 OK\r\nX: 1\r\n", " x\r\n", upstream.Head},
		{"headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n", upstream.Head},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n", ""},
		{"interim answers with large headers", "", "HTTP/1.1 102 Processing\r\nX: " + strings.Repeat("x", 12<<10) + "\r\n\r\n", upstream.Head},
		{"answers to other requests", "", whole, ""},
		{"answer to another request", "HTTP/1.1 200 OK\r\n\r\n", "x", upstream.StaleAnswer},
		{"answer to another request in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", upstream.StaleAnswer},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, sent := serveEndless(t, test.head, test.repeated)
			pool := newPool()
			defer pool.Close()
			request := post("x")
			request.Accept = func(http.Header) bool { return false }
			_, _, err := send(t.Context(), t, pool, address, request)
			if !errors.Is(err, upstream.ErrNoAnswer) {
				t.Fatalf("got %v, want ErrNoAnswer", err)
			}
			if count := <-sent; count > maxEndlessBytes {
				t.Errorf("the peer sent %d bytes before the connection was closed", count)
			}
			if text := err.Error(); len(text) > 500 {
				t.Errorf("the text of the error has %d bytes", len(text))
			}
			var limit *upstream.LimitError
			if errors.As(err, &limit) != (test.place != "") || limit != nil && limit.Place != test.place {
				t.Errorf("got %v, want a limit of %q", err, test.place)
			}
		})
	}
}

// TestBytesThatAreNoAnswerFailAtOnce sends a few bytes that do not begin an answer, and then nothing. The caller must not
// wait for the end of a line that does not come.
func TestBytesThatAreNoAnswerFailAtOnce(t *testing.T) {
	address := servePeer(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(connection, "no answer")
		<-t.Context().Done()
	})
	pool := newPool()
	defer pool.Close()
	_, _, err := send(t.Context(), t, pool, address, post("x"))
	if !errors.Is(err, upstream.ErrNoAnswer) {
		t.Errorf("got %v, want ErrNoAnswer", err)
	}
}

// TestBodyFramingWithoutEndIsAborted sends chunk sizes, chunk extensions and trailers without end.
func TestBodyFramingWithoutEndIsAborted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct{ name, head, repeated string }{
		{"chunk size", head, "0"},
		{"chunk extension", head + "4;", "x"},
		{"chunks of one byte with extensions", head, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		{"trailer", head + "0\r\nX: ", "x"},
		{"trailers", head + "0\r\n", "X: y\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, sent := serveEndless(t, test.head, test.repeated)
			pool := newPool()
			defer pool.Close()
			answer, _, err := send(t.Context(), t, pool, address, post("x"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err = io.Copy(io.Discard, answer.Body); err == nil {
				t.Error("the answer counts as complete")
			}
			answer.Close()
			if count := <-sent; count > maxEndlessBytes {
				t.Errorf("the peer sent %d bytes before the connection was closed", count)
			}
		})
	}
}

// TestLargeHeadIsRead checks that a head within the limit is read, after interim answers and an answer to another request.
func TestLargeHeadIsRead(t *testing.T) {
	const value = 12 << 10
	address := servePeer(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n"+strings.Repeat("s", 1<<20))
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Own: 1\r\nX: "+strings.Repeat("x", value)+"\r\nContent-Length: 2\r\n\r\nok")
	})
	pool := newPool()
	defer pool.Close()
	request := post("x")
	request.Accept = func(header http.Header) bool { return header.Get("X-Own") != "" }
	answer, _, err := send(t.Context(), t, pool, address, request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil || string(body) != "ok" || len(answer.Header.Get("X")) != value {
		t.Errorf("got %q, %d bytes of a header, %v", body, len(answer.Header.Get("X")), err)
	}
}
