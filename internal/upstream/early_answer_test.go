package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/upstream"
)

const (
	answerPart = "a part of the answer"
	// answerTime is how long a request of these tests may take: far longer than any of them needs.
	answerTime = 20 * time.Second
)

// closeDelimitedHeads are heads of answers whose body ends with the connection.
var closeDelimitedHeads = map[string]string{
	"HTTP 1.1":                  "HTTP/1.1 200 OK\r\n\r\n",
	"HTTP 1.1 Connection close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	"HTTP 1.0":                  "HTTP/1.0 200 OK\r\n\r\n",
}

// uploadSizes are sizes of request bodies: one that is sent with the head, one that fits into the buffers of a connection, and
// one that does not.
var uploadSizes = []int{20 << 10, 200 << 10, 6 << 20}

// readAnswer sends an upload and reads the answer to its end.
func readAnswer(ctx context.Context, t *testing.T, pool *upstream.Pool, address string, upload int) (string, error) {
	t.Helper()
	answer, _, err := send(ctx, t, pool, address, upstream.Request{Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: make([]byte, upload)})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	content, err := io.ReadAll(answer.Body)
	return string(content), err
}

// reset closes a connection with a reset.
func reset(t *testing.T, connection net.Conn) {
	if err := connection.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
	connection.Close()
}

// TestEarlyAnswerThatIsBrokenOffIsNotComplete guards against taking the first part of an answer for all of it: the peer answers an upload
// that it has not read, without a length, and its connection fails while the upload is being written.
func TestEarlyAnswerThatIsBrokenOffIsNotComplete(t *testing.T) {
	const tries = 12
	for ending, end := range map[string]func(net.Conn){
		"reset":                    func(connection net.Conn) { reset(t, connection) },
		"closed with bytes unread": func(connection net.Conn) { connection.Close() },
	} {
		for form, head := range closeDelimitedHeads {
			for _, pause := range []time.Duration{0, 3 * time.Millisecond, 40 * time.Millisecond} {
				for _, upload := range uploadSizes {
					t.Run(fmt.Sprintf("%s/%s/%v/%d bytes", ending, form, pause, upload), func(t *testing.T) {
						t.Parallel()
						address := servePeer(t, func(connection net.Conn, reader *bufio.Reader) {
							if _, err := http.ReadRequest(reader); err != nil {
								return
							}
							_, _ = io.WriteString(connection, head+answerPart)
							<-time.After(pause)
							end(connection)
						})
						pool := newPool()
						defer pool.Close()
						complete := 0
						for range tries {
							if _, err := readAnswer(t.Context(), t, pool, address, upload); err == nil {
								complete++
							}
						}
						if complete > 0 {
							t.Errorf("%d of %d answers that were broken off count as complete", complete, tries)
						}
					})
				}
			}
		}
	}
}

// TestAnswerThatEndsWithItsConnectionIsComplete checks that an answer without a length is complete if the peer ends it properly, also if
// it does so before it reads the upload, or never reads all of it.
func TestAnswerThatEndsWithItsConnectionIsComplete(t *testing.T) {
	for ending, serve := range map[string]func(connection net.Conn, body io.Reader, answer string){
		"closed after the upload": func(connection net.Conn, body io.Reader, answer string) {
			_, _ = io.Copy(io.Discard, body)
			_, _ = io.WriteString(connection, answer)
		},
		"own direction closed, upload read": func(connection net.Conn, body io.Reader, answer string) {
			_, _ = io.WriteString(connection, answer)
			_ = connection.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, body)
		},
		"own direction closed, upload not read": func(connection net.Conn, _ io.Reader, answer string) {
			_, _ = io.WriteString(connection, answer)
			_ = connection.(*net.TCPConn).CloseWrite()
			<-t.Context().Done()
		},
	} {
		for form, head := range closeDelimitedHeads {
			for _, upload := range append(uploadSizes, 0) {
				t.Run(fmt.Sprintf("%s/%s/%d bytes", ending, form, upload), func(t *testing.T) {
					t.Parallel()
					address := servePeer(t, func(connection net.Conn, reader *bufio.Reader) {
						if request, err := http.ReadRequest(reader); err == nil {
							serve(connection, request.Body, head+answerPart)
						}
					})
					pool := newPool()
					defer pool.Close()
					ctx, cancel := context.WithTimeout(t.Context(), answerTime)
					defer cancel()
					for range 12 {
						content, err := readAnswer(ctx, t, pool, address, upload)
						if err != nil || content != answerPart {
							t.Fatalf("got %q, %v", content, err)
						}
					}
					if ctx.Err() != nil {
						t.Error("the answer waited for the upload until the deadline of the request")
					}
				})
			}
		}
	}
}
