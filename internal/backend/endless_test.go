package backend_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// maxEndlessBytes is how much a back end may get rid of for one request: the limits of the client, those of its attempts to
// resume, and what the two ends of a connection hold in their buffers.
const maxEndlessBytes = 48 << 20

// serveEndless returns the URL of a back end that answers every request with head and then repeated, until its caller closes
// the connection, and a counter of the bytes that it sent.
func serveEndless(t *testing.T, head, repeated string) (string, *atomic.Int64) {
	t.Helper()
	var sent atomic.Int64
	block := strings.Repeat(repeated, max(1, 64<<10/len(repeated)))
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer connection.Close()
		_, err = io.WriteString(connection, head)
		for err == nil && sent.Load() < 4*maxEndlessBytes {
			var count int
			count, err = io.WriteString(connection, block)
			sent.Add(int64(count))
		}
	}))
	t.Cleanup(server.Close)
	return server.URL, &sent
}

// TestBackendAnswerWithoutEndIsAborted guards against reading a back end's bytes without a limit.
func TestBackendAnswerWithoutEndIsAborted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	const jsonHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	for _, test := range []struct{ name, head, repeated string }{
		{"no HTTP", "", "#"},
		{"header value", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"line", head, "x"},
		{"comments", head, ": x\n\n"},
		{"empty lines", head, "\n"},
		{"chunks without text", head, "data: {\"choices\":[]}\n\n"},
		{"events after the end", head, "data: [DONE]\n\n"},
		{"JSON string", jsonHead + `{"output":"`, "x"},
		{"JSON array", jsonHead + `{"unknown":[0`, ",0"},
		{"failure", "HTTP/1.1 500 Failed\r\n\r\n", "x"},
	} {
		t.Run(test.name, func(t *testing.T) {
			url, sent := serveEndless(t, test.head, test.repeated)
			engine := backend.NewEngineClient(url, backend.NewHTTPClient())
			_, err := engine.Chat(t.Context(), backend.ChatRequest{RequestID: "r1", Model: "small", Prompt: backend.NewPrompt()}, nil)
			wantKind(t, err, backend.ErrOutcomeUnknown)
			tool := backend.NewToolClient(url, backend.NewHTTPClient())
			_, err = tool.Run(t.Context(), backend.ToolRequest{Tool: "lookup"})
			if !errors.Is(err, backend.ErrOutcomeUnknown) {
				t.Errorf("the tool call returned %v", err)
			}
			if count := sent.Load(); count > maxEndlessBytes {
				t.Errorf("the back end sent %d MB", count>>20)
			}
		})
	}
}
