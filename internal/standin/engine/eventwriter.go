package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// chunkObject is the OpenAI object type of a stream's events.
const chunkObject = "chat.completion.chunk"

// eventWriter writes one stream to one connection. It ignores write errors:
// the request's context ends when the connection fails.
type eventWriter struct {
	writer  http.ResponseWriter
	source  *stream
	offset  int
	written int // bytes of text sent on this connection
}

// newEventWriter sends the headers immediately, so that the client knows that
// its request was accepted.
func newEventWriter(writer http.ResponseWriter, source *stream, offset int) *eventWriter {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	output := &eventWriter{writer: writer, source: source, offset: offset}
	output.flush()
	return output
}

// writeText sends the text up to ready. It returns false once cutAfter bytes
// (0: no limit) were sent on this connection.
func (w *eventWriter) writeText(ready, cutAfter int) bool {
	for w.offset < ready {
		size := min(ready-w.offset, chunkBytes)
		if cutAfter > 0 {
			size = min(size, max(cutAfter-w.written, 0))
		}
		piece := w.source.text[w.offset : w.offset+size]
		w.writeChunk(backend.WireChatChunk{
			Offset:  int64(w.offset),
			Choices: []backend.WireChoice{{Delta: backend.WireDelta{Content: piece}}},
		})
		w.offset += size
		w.written += size
		if cutAfter > 0 && w.written >= cutAfter {
			w.flush()
			return false
		}
	}
	w.flush()
	return true
}

// writeEnd sends the last chunk and the end of the stream.
func (w *eventWriter) writeEnd(finish string) {
	usage := w.source.usage
	w.writeChunk(backend.WireChatChunk{
		Offset:  int64(w.offset),
		Choices: []backend.WireChoice{{FinishReason: finish}},
		Digest:  backend.TextDigest(w.source.text),
		Usage: &backend.WireUsage{
			PromptTokens:        usage.PromptTokens,
			CompletionTokens:    usage.CompletionTokens,
			PromptTokensDetails: backend.WirePromptDetail{CachedTokens: usage.CachedTokens},
		},
	})
	_, _ = io.WriteString(w.writer, "data: "+backend.StreamEnd+"\n\n")
	w.flush()
}

func (w *eventWriter) writeComment() {
	_, _ = io.WriteString(w.writer, ": keep-alive\n\n")
	w.flush()
}

func (w *eventWriter) writeChunk(chunk backend.WireChatChunk) {
	chunk.ID = w.source.request.RequestID
	chunk.Object = chunkObject
	encoded, err := json.Marshal(chunk)
	if err != nil {
		panic(http.ErrAbortHandler) // cuts the connection; a chunk can always be encoded
	}
	_, _ = w.writer.Write([]byte("data: " + string(encoded) + "\n\n"))
}

func (w *eventWriter) flush() { _ = http.NewResponseController(w.writer).Flush() }
