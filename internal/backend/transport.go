package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/upstream"
)

const (
	dialTimeout         = 2 * time.Second
	keepAlivePeriod     = 15 * time.Second
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerHost = 256
	maxHeadBytes        = 64 << 10
	maxResponseBytes    = 8 << 20
	maxErrorBytes       = 64 << 10
)

// NewHTTPClient returns an HTTP client for many concurrent calls to each of a few back ends: a large pool
// of idle connections, a short dial timeout, no proxy, and no overall timeout, because streams may be
// long.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Client{Transport: upstream.CheckHeads(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	})}
}

// endpoint sends requests to one back end's base URL.
type endpoint struct {
	url    string
	client *http.Client
}

// newEndpoint copies the client (nil: a new one from NewHTTPClient) and disables redirects, which could
// send one call twice.
func newEndpoint(url string, client *http.Client) endpoint {
	if client == nil {
		client = NewHTTPClient()
	}
	copied := *client
	copied.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return endpoint{url: strings.TrimRight(url, "/"), client: &copied}
}

// do sends one request with a JSON body (nil: none; otherwise a *chatBody or a value to encode as JSON).
// A failure is ErrUnreachable if no connection was obtained, so that no byte can have been sent, and
// ErrOutcomeUnknown otherwise. The caller closes the response's body.
func (e endpoint) do(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var gotConn atomic.Bool
	// A transport retries by itself only if nothing was written to the previous connection, so GetConn
	// resets the flag. GotConn counts as sent because another goroutine writes the request and may
	// continue after the request is cancelled.
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { gotConn.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, e.url+path, body)
	if err != nil {
		return nil, wrapAs(ctx, ErrUnreachable, err)
	}
	response, err := e.client.Do(request)
	if err == nil {
		return response, nil
	}
	if gotConn.Load() {
		return nil, wrapAs(ctx, ErrOutcomeUnknown, err)
	}
	return nil, wrapAs(ctx, ErrUnreachable, err)
}

// wrapAs returns an error that is kind, and also the context's error if ctx has ended, but nothing else:
// it keeps the cause only as text, so that no error is of two kinds at once.
func wrapAs(ctx context.Context, kind, cause error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w: %v", kind, ctx.Err(), cause)
	}
	return fmt.Errorf("%w: %v", kind, cause)
}

func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	switch body := body.(type) {
	case nil:
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	case *chatBody:
		return newChatRequest(ctx, method, url, body)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// newChatRequest returns a request whose body the transport can read again if an idle connection turns out
// to be closed.
func newChatRequest(ctx context.Context, method, url string, body *chatBody) (*http.Request, error) {
	content, size := body.open()
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return nil, err
	}
	request.ContentLength = size
	request.GetBody = func() (io.ReadCloser, error) {
		reopened, _ := body.open()
		return io.NopCloser(reopened), nil
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// doJSON sends one request and decodes a 2xx response into result (nil: none expected). Other statuses
// become errors by statusError.
func (e endpoint) doJSON(ctx context.Context, method, path string, body, result any) error {
	response, err := e.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if response.StatusCode/100 != 2 {
		return statusError(response)
	}
	if result == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return wrapAs(ctx, ErrOutcomeUnknown, errors.Wrap(err, "decode response"))
	}
	return nil
}

// closeBody discards a limited amount of unread data, so that the connection can be reused, and closes
// the body.
func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxErrorBytes)
	_ = response.Body.Close()
}

// statusError returns the error for a response that is not 2xx. Only a code from the back end itself
// proves that the call did not run; any other response may come from an intermediary and is
// ErrOutcomeUnknown.
func statusError(response *http.Response) error {
	var body WireError
	content, readErr := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if readErr == nil {
		readErr = json.Unmarshal(content, &body)
	}
	if readErr != nil {
		return errors.Wrapf(ErrOutcomeUnknown, "status %d", response.StatusCode)
	}
	detail := errors.Newf("status %d, %s: %s", response.StatusCode, body.Error.Code, body.Error.Message)
	return fmt.Errorf("%w: %w", errorOfCode(body.Error.Code), detail)
}

func errorOfCode(code string) error {
	switch code {
	case WireFenced:
		return ErrFenced
	case WireLeaving:
		return ErrLeaving
	case WireNoRecord:
		return ErrNoRecord
	case WireUnknownStream:
		return errStreamUnknown
	case WireUnknownModel:
		return ErrNotLoaded
	case WireRefused, WireOverloaded, WireUnknownTool, WireInvalid, WireTooLarge:
		return ErrRefused
	default:
		return ErrOutcomeUnknown
	}
}
