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

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/upstream"
)

// sendAnswer returns the address of a peer that sends the same bytes to each request, and closes the connection.
func sendAnswer(t *testing.T, answer string) string {
	t.Helper()
	return servePeer(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(connection, answer)
		}
	})
}

// exchange sends one request and reads its answer to the end.
func exchange(t *testing.T, address string) (*upstream.Answer, string, error) {
	t.Helper()
	pool := newPool()
	defer pool.Close()
	answer, _, err := send(t.Context(), t, pool, address, post("x"))
	if err != nil {
		return nil, "", err
	}
	defer answer.Close()
	content, err := io.ReadAll(answer.Body)
	return answer, string(content), err
}

// expectNoAnswer sends a request to a peer whose bytes are no answer.
func expectNoAnswer(t *testing.T, bytes string) {
	t.Helper()
	answer, content, err := exchange(t, sendAnswer(t, bytes))
	if err == nil {
		t.Errorf("got status %d, %v, %q", answer.StatusCode, answer.Header, content)
		return
	}
	if !errors.Is(err, upstream.ErrNoAnswer) {
		t.Errorf("got %v, want ErrNoAnswer", err)
	}
}

// TestStatusBelow200IsNoAnswer guards against skipping a final answer as an interim one: the bytes of its body would then be read as the head of the
// answer.
func TestStatusBelow200IsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "100", "101", "102", "199"} {
		t.Run(status, func(t *testing.T) {
			expectNoAnswer(t, fmt.Sprintf("HTTP/1.1 %s Trouble\r\nContent-Length: %d\r\n\r\n%s", status, len(plainAnswer), plainAnswer))
		})
		t.Run(status+" in chunks", func(t *testing.T) {
			expectNoAnswer(t, fmt.Sprintf("HTTP/1.1 %s Trouble\r\nTransfer-Encoding: chunked\r\n\r\n%s", status, plainAnswer))
		})
	}
	for _, status := range []string{"000", "001", "099", "+20", "101"} {
		t.Run(status+" without a body", func(t *testing.T) {
			expectNoAnswer(t, fmt.Sprintf("HTTP/1.1 %s Trouble\r\n\r\n%s", status, plainAnswer))
		})
	}
	for _, status := range []string{"00", "0", "99", "1", "20", "2000", "1000", "-01", "2x0", ""} {
		t.Run("malformed "+status, func(t *testing.T) {
			expectNoAnswer(t, fmt.Sprintf("HTTP/1.1 %s Trouble\r\nContent-Length: 2\r\n\r\nok", status))
		})
	}
}

// TestInvalidStatusFailsAtOnce checks that the caller does not wait for bytes behind an answer whose status is none.
func TestInvalidStatusFailsAtOnce(t *testing.T) {
	address := servePeer(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(connection, "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n")
		}
		<-t.Context().Done()
	})
	pool := newPool()
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, _, err := send(ctx, t, pool, address, post("x")); !errors.Is(err, upstream.ErrNoAnswer) || ctx.Err() != nil {
		t.Errorf("got %v, want ErrNoAnswer before the deadline (%v)", err, ctx.Err())
	}
}

// TestInterimAnswersAreSkipped checks that proper interim answers precede the answer.
func TestInterimAnswersAreSkipped(t *testing.T) {
	for name, interim := range map[string]string{
		"continue":                  "HTTP/1.1 100 Continue\r\n\r\n",
		"continue with length zero": "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n",
		"processing, hints":         "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			answer, content, err := exchange(t, sendAnswer(t, interim+plainAnswer))
			if err != nil || answer.StatusCode != http.StatusOK || content != "ok" {
				t.Errorf("got %q, %v", content, err)
			}
		})
	}
}
