package operators

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ParsedRequest holds the parts of a request that an engine uses.
type ParsedRequest struct {
	ID          string
	Path        string
	Body        string
	MaxTokens   int64 // output tokens; 0 if the answer is not a stream
	LastEventID int   // last event that the client has, if it resumes a stream
}

// ParseRequest reads a request; isClientRequest is false for calls of the system itself.
func ParseRequest(request *http.Request) (parsed ParsedRequest, isClientRequest bool) {
	if strings.HasPrefix(request.URL.Path, "/-/") {
		return ParsedRequest{}, false
	}
	body, _ := io.ReadAll(request.Body) // buffered by the engine, so it cannot fail
	parsed = ParsedRequest{ID: request.Header.Get("X-Request-Id"), Path: request.RequestURI, Body: string(body)}
	if _, maxTokens, found := strings.Cut(request.Header.Get("X-Token-Usage"), ","); found {
		parsed.MaxTokens, _ = strconv.ParseInt(maxTokens, 10, 64)
	}
	parsed.LastEventID, _ = strconv.Atoi(request.Header.Get("Last-Event-Id"))
	return parsed, true
}

// WriteAnswerHeader writes the header of an engine's answer with a status and seal.
func WriteAnswerHeader(writer http.ResponseWriter, id, seal string, status int, stream bool) {
	writer.Header().Set("X-Request-Id", id)
	writer.Header().Set("X-Response-Seal", seal)
	if stream {
		writer.Header().Set("Content-Type", "text/event-stream")
	}
	writer.WriteHeader(status)
}

// WriteEvent writes one event of a stream.
func WriteEvent(writer http.ResponseWriter, number int, data string) {
	fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, data)
	_ = http.NewResponseController(writer).Flush() // a client disconnect ends the request's context
}

// ClientRequest is a request that a client sends.
type ClientRequest struct {
	Method, Path, Body string
	ID                 string
	Deadline           time.Duration
	Key                string // of a tenant; empty for none
	Program, Session   string // of a turn
	PreviousTurn       string
	Budget, MaxTokens  int64  // tokens; MaxTokens above 0 makes it a turn
	ResumesID          string // attempt that began the stream to be resumed; empty for none
	LastEventID        int    // last event of that stream that the client has
}

// Reply is the response that a client got.
type Reply struct {
	Status   int // 0 if no response began
	ID, Seal string
	Events   []string // data of the complete events
	Body     string   // if the response is not a stream
	Complete bool
	Err      error // if no response began
	Progress Progress
}

// Progress is how far an exchange on a new connection had got when its caller left or had the reply. Times that did not
// come are zero.
type Progress struct {
	Connected, Sent, Begun time.Time // connection open, request written, first byte of the response read
	Unread                 int       // bytes that had arrived and were not read when the caller left
}

// maxReplyBytes limits how much of a response body is read.
const maxReplyBytes = 1 << 20

// Send sends a request to a process on a new connection and reads the response.
func Send(ctx context.Context, address, host string, clientRequest ClientRequest) Reply {
	watch := &exchangeWatch{}
	requestContext, leave := context.WithCancel(context.WithoutCancel(ctx))
	defer leave()
	defer context.AfterFunc(ctx, func() {
		watch.left()
		leave()
	})()
	reply := exchange(watch.observe(requestContext), address, host, clientRequest)
	reply.Progress = watch.current()
	return reply
}

func exchange(ctx context.Context, address, host string, clientRequest ClientRequest) Reply {
	request, err := clientRequest.request(ctx, address, host)
	if err != nil {
		return Reply{Err: err}
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Reply{Err: err}
	}
	defer response.Body.Close()
	return replyOf(response)
}

func (r ClientRequest) setHeaders(header http.Header) {
	header.Set("X-Request-Id", r.ID)
	header.Set("X-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	if r.Key != "" {
		header.Set("Authorization", "Token "+r.Key)
	}
	if r.Program != "" {
		header.Set("X-Program-Id", r.Program)
		header.Set("X-Session-Id", r.Session)
		header.Set("X-Finish-Ms", "20000")
	}
	if r.MaxTokens > 0 {
		header.Set("X-Token-Budget", strconv.FormatInt(r.Budget, 10))
		header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", len(r.Body), r.MaxTokens))
		header.Set("X-Prompt-Prefix", fmt.Sprintf("ab:16,%x:8", []byte(r.Session)))
	}
	if r.ResumesID != "" {
		header.Set("Resumes", r.ResumesID)
		header.Set("Last-Event-Id", strconv.Itoa(r.LastEventID))
	}
	if r.PreviousTurn != "" {
		header.Set("X-Previous-Turn", r.PreviousTurn)
	}
}

// readEvents returns the data of the complete events of a stream.
func readEvents(content string) []string {
	var events []string
	for {
		event, rest, complete := strings.Cut(content, "\n\n")
		if !complete {
			return events
		}
		for line := range strings.Lines(event + "\n") {
			if data, found := strings.CutPrefix(line, "data: "); found {
				events = append(events, strings.TrimSuffix(data, "\n"))
			}
		}
		content = rest
	}
}
