package backend

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// cancelTimeout bounds the call that cancels a stream after its context ended.
const cancelTimeout = 2 * time.Second

// errStreamUnknown: the engine has no stream under this request id. The request may have run, so the
// error is also ErrOutcomeUnknown.
var errStreamUnknown = errors.Wrap(ErrOutcomeUnknown, "engine has no such stream")

// EngineClient implements Engine against an OpenAI-style HTTP engine with
// resumable streams. It is safe for concurrent use.
type EngineClient struct {
	endpoint endpoint
	resume   resumePolicy
}

var _ Engine = (*EngineClient)(nil)

// NewEngineClient returns a client of the engine at a base URL. If client is nil, it uses a new one
// from NewHTTPClient.
func NewEngineClient(url string, client *http.Client) *EngineClient {
	return &EngineClient{endpoint: newEndpoint(url, client), resume: defaultResumePolicy}
}

// Chat implements Engine. Its errors:
//   - ErrUnreachable: the request was not sent;
//   - ErrRefused, ErrLeaving, ErrFenced: the engine did not run it;
//   - ErrOutcomeUnknown: it may have run, completely or in part. This includes
//     the end of ctx after sending: the stream is then cancelled at the engine
//     by a short separate call, and the error also wraps the context's error.
func (c *EngineClient) Chat(ctx context.Context, request ChatRequest, onText func(offset int64, text string)) (ChatResult, error) {
	stream := &chatStream{onText: onText}
	err := c.startStream(ctx, request, stream)
	if errors.Is(err, errStreamInterrupted) {
		err = c.resumeStream(ctx, request.RequestID, stream, err)
	}
	if err == nil {
		err = stream.check()
	}
	if err == nil {
		return stream.result(), nil
	}
	if errors.Is(err, ErrOutcomeUnknown) {
		go c.cancelStream(context.WithoutCancel(ctx), request.RequestID)
	}
	return ChatResult{}, err
}

// startStream posts the call and reads its stream. An error after sending is errStreamInterrupted if
// the stream may be resumed.
func (c *EngineClient) startStream(ctx context.Context, request ChatRequest, stream *chatStream) error {
	body, err := newChatBody(request)
	if err != nil {
		return wrapAs(ctx, ErrUnreachable, err)
	}
	return c.readStream(ctx, http.MethodPost, "/v1/chat/completions", body, stream)
}

// readStream sends one request and reads the stream that it returns. It returns ErrUnreachable if the
// request was not sent, errStreamInterrupted if the connection failed or sent no data for the idle
// timeout, and otherwise the engine's rejection.
func (c *EngineClient) readStream(ctx context.Context, method, path string, body any, stream *chatStream) error {
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(c.resume.idleTimeout, cancel)
	response, err := c.endpoint.do(attempt, method, path, body)
	watchdog.Stop()
	if errors.Is(err, ErrUnreachable) {
		return wrapAs(ctx, ErrUnreachable, err)
	}
	if err != nil {
		return wrapAs(ctx, errStreamInterrupted, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	return stream.read(ctx, response.Body, c.resume.idleTimeout)
}

// resumeStream requests the rest of an interrupted stream until it is complete, the attempts without
// progress are used up, or ctx ends.
func (c *EngineClient) resumeStream(ctx context.Context, requestID string, stream *chatStream, cause error) error {
	for attempt := 0; attempt < c.resume.attempts; attempt++ {
		if err := c.resume.wait(ctx, attempt); err != nil {
			return wrapAs(ctx, ErrOutcomeUnknown, err)
		}
		previous := stream.offset()
		cause = c.resumeOnce(ctx, requestID, stream)
		if !errors.Is(cause, errStreamInterrupted) {
			return cause
		}
		if stream.offset() > previous {
			attempt = -1
		}
	}
	return wrapAs(ctx, ErrOutcomeUnknown, errors.Wrap(cause, "stream not resumed"))
}

// resumeOnce returns nil if the stream is now complete, ErrOutcomeUnknown if it cannot be completed, and
// errStreamInterrupted if another attempt may succeed.
func (c *EngineClient) resumeOnce(ctx context.Context, requestID string, stream *chatStream) error {
	path := streamPath(requestID) + "?offset=" + strconv.FormatInt(stream.offset(), 10)
	err := c.readStream(ctx, http.MethodGet, path, nil, stream)
	switch {
	case err == nil:
		return nil
	case stream.failed, errors.Is(err, errStreamUnknown):
		return wrapAs(ctx, ErrOutcomeUnknown, err)
	default:
		return wrapAs(ctx, errStreamInterrupted, err)
	}
}

func (c *EngineClient) cancelStream(ctx context.Context, requestID string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	// Best effort: the caller has already returned.
	_ = c.endpoint.doJSON(ctx, http.MethodDelete, streamPath(requestID), nil, nil)
}

func streamPath(requestID string) string { return "/v1/streams/" + url.PathEscape(requestID) }

// Release implements Engine.
func (c *EngineClient) Release(ctx context.Context, program string) error {
	return c.endpoint.doJSON(ctx, http.MethodDelete, "/holds/"+url.PathEscape(program), nil, nil)
}

// HeldPrograms implements Engine.
func (c *EngineClient) HeldPrograms(ctx context.Context) ([]string, error) {
	var holds WireHolds
	if err := c.endpoint.doJSON(ctx, http.MethodGet, "/holds", nil, &holds); err != nil {
		return nil, err
	}
	return holds.Programs, nil
}

// Load implements Engine.
func (c *EngineClient) Load(ctx context.Context) (Load, error) {
	var load Load
	if err := c.endpoint.doJSON(ctx, http.MethodGet, "/load", nil, &load); err != nil {
		return Load{}, err
	}
	return load, nil
}

// CacheEvents implements Engine. With after 0 the engine returns a snapshot.
func (c *EngineClient) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var events CacheEvents
	path := "/cache/events?after=" + strconv.FormatUint(after, 10)
	if err := c.endpoint.doJSON(ctx, http.MethodGet, path, nil, &events); err != nil {
		return CacheEvents{}, err
	}
	return events, nil
}

// Order implements Engine. ErrFenced means that the engine has seen a higher fence.
func (c *EngineClient) Order(ctx context.Context, order Order) error {
	return c.endpoint.doJSON(ctx, http.MethodPost, "/orders", order, nil)
}
