package tablestore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/upstream"
)

// ErrRejected means that the service rejected the request as malformed or too large; it
// was not applied and a retry does not help.
var ErrRejected = errors.New("request rejected by the platform")

// Limits of the default HTTP client.
const (
	dialTimeout      = 2 * time.Second
	requestTimeout   = 10 * time.Second
	idleTimeout      = 90 * time.Second
	idleConnections  = 256 // per host, so that concurrent requests keep theirs
	maxResponseBytes = 64 << 20
)

// HTTP is a client of the platform's HTTP JSON interface. It does not retry.
// It is safe for concurrent use.
type HTTP struct {
	baseURL string
	client  *http.Client
}

var (
	_ Table    = (*HTTP)(nil)
	_ Objects  = (*HTTP)(nil)
	_ Machines = (*HTTP)(nil)
)

// NewHTTP returns a client of the platform at baseURL. If client is nil, it uses
// one with pooled connections and timeouts.
func NewHTTP(baseURL string, client *http.Client) *HTTP {
	if client == nil {
		client = newHTTPClient()
	}
	return &HTTP{baseURL: strings.TrimSuffix(baseURL, "/"), client: client}
}

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Timeout: requestTimeout,
		Transport: upstream.CheckHeads(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        idleConnections,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		}),
	}
}

// response is a complete response of the service.
type response struct {
	status int
	body   []byte
}

// do sends a request and reads the whole response. Without a complete response
// it fails; sent then reports whether the request may have reached the service.
func (h *HTTP) do(ctx context.Context, method, path string, body []byte) (reply response, sent bool, err error) {
	var wroteHeaders atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wroteHeaders.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, h.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return response{}, false, err
	}
	httpResponse, err := h.client.Do(request)
	if err != nil {
		return response{}, wroteHeaders.Load(), err
	}
	defer httpResponse.Body.Close()
	content, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return response{}, true, err
	}
	return response{status: httpResponse.StatusCode, body: content}, true, nil
}

// Commit implements Table.
func (h *HTTP) Commit(ctx context.Context, transaction Transaction) (Receipt, error) {
	body, err := json.Marshal(transaction)
	if err != nil {
		return Receipt{}, errors.Wrap(ErrRejected, err.Error())
	}
	reply, sent, err := h.do(ctx, http.MethodPost, "/table/commit", body)
	if err != nil && !sent {
		return Receipt{}, unavailable(err)
	}
	if err != nil {
		return Receipt{}, unknownOutcome(err)
	}
	return commitReply(reply)
}

// commitReply maps a complete response to the result of a commit. A malformed
// response leaves the outcome unknown.
func commitReply(reply response) (Receipt, error) {
	switch reply.status {
	case http.StatusOK:
		var receipt Receipt
		if err := json.Unmarshal(reply.body, &receipt); err != nil {
			return Receipt{}, unknownOutcome(err)
		}
		return receipt, nil
	case http.StatusConflict:
		conflict := &ConflictError{}
		if err := json.Unmarshal(reply.body, conflict); err != nil {
			return Receipt{}, unknownOutcome(err)
		}
		return Receipt{}, conflict
	case http.StatusTooManyRequests:
		return Receipt{}, ErrThrottled
	case http.StatusServiceUnavailable:
		return Receipt{}, ErrUnavailable
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return Receipt{}, errors.Wrapf(ErrRejected, "%s", reply.body)
	default:
		return Receipt{}, errors.Wrapf(ErrUnknownOutcome, "status %d", reply.status)
	}
}

// read sends a request that may safely be repeated, and returns the response body.
func (h *HTTP) read(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	reply, _, err := h.do(ctx, method, path, body)
	if err != nil {
		return nil, unavailable(err)
	}
	switch reply.status {
	case http.StatusOK:
		return reply.body, nil
	case http.StatusNotFound:
		return nil, ErrNotFound
	case http.StatusTooManyRequests:
		return nil, ErrThrottled
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return nil, errors.Wrapf(ErrRejected, "%s", reply.body)
	default:
		return nil, errors.Wrapf(ErrUnavailable, "status %d", reply.status)
	}
}

// readJSON is read, but decodes the body into value.
func (h *HTTP) readJSON(ctx context.Context, method, path string, body []byte, value any) error {
	content, err := h.read(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, value); err != nil {
		return unavailable(err)
	}
	return nil
}

// Get implements Table. Errors: ErrUnavailable, ErrThrottled.
func (h *HTTP) Get(ctx context.Context, key string) (Row, error) {
	query := url.Values{"key": {key}}
	var row Row
	err := h.readJSON(ctx, http.MethodGet, "/table/row?"+query.Encode(), nil, &row)
	return row, err
}

// Range implements Table. Errors: ErrUnavailable, ErrThrottled.
func (h *HTTP) Range(ctx context.Context, start, end string, limit int) (Page, error) {
	query := url.Values{"start": {start}, "end": {end}, "limit": {strconv.Itoa(limit)}}
	var page Page
	err := h.readJSON(ctx, http.MethodGet, "/table/range?"+query.Encode(), nil, &page)
	return page, err
}

// PutObject implements Objects. Storing the same content again is harmless,
// so ErrUnavailable here does not show whether the object is stored.
func (h *HTTP) PutObject(ctx context.Context, content []byte) (string, error) {
	var reply struct {
		Digest string `json:"digest"`
	}
	err := h.readJSON(ctx, http.MethodPut, "/objects", content, &reply)
	return reply.Digest, err
}

// GetObject implements Objects. It does not check the content.
func (h *HTTP) GetObject(ctx context.Context, digest string) ([]byte, error) {
	return h.read(ctx, http.MethodGet, "/objects/"+url.PathEscape(digest), nil)
}

// List implements Machines.
func (h *HTTP) List(ctx context.Context) ([]Machine, error) {
	var machines []Machine
	err := h.readJSON(ctx, http.MethodGet, "/machines", nil, &machines)
	return machines, err
}

// unavailable returns an error with the text of the cause for which errors.Is(err, ErrUnavailable) is true.
func unavailable(cause error) error { return errors.Wrap(ErrUnavailable, cause.Error()) }

// unknownOutcome returns an error with the text of the cause for which errors.Is(err, ErrUnknownOutcome) is true.
func unknownOutcome(cause error) error { return errors.Wrap(ErrUnknownOutcome, cause.Error()) }
