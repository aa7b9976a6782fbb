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
)

// ErrRejected means that the service refused the request as malformed or too large; it
// was not applied and no retry will help.
var ErrRejected = errors.New("request rejected by the platform")

// Limits of the default HTTP client.
const (
	dialTimeout      = 2 * time.Second
	requestTimeout   = 10 * time.Second
	idleTimeout      = 90 * time.Second
	idleConnections  = 256 // per host, so that concurrent requests keep theirs
	maxResponseBytes = 64 << 20
)

// HTTP is a client of the platform's HTTP JSON interface. It makes no
// retries of its own. It is safe for concurrent use.
type HTTP struct {
	baseURL string
	client  *http.Client
}

var (
	_ Table    = (*HTTP)(nil)
	_ Objects  = (*HTTP)(nil)
	_ Machines = (*HTTP)(nil)
)

// NewHTTP returns a client of the platform at baseURL. A nil client stands
// for one with pooled connections and time limits.
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
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        idleConnections,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		},
	}
}

// response is a complete answer of the service.
type response struct {
	status int
	body   []byte
}

// do sends a request and reads the whole answer. Without a complete answer
// it fails; sent then tells whether the request may have reached the service.
func (h *HTTP) do(ctx context.Context, method, path string, body []byte) (answer response, sent bool, err error) {
	var wroteHeaders atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wroteHeaders.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, h.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return response{}, false, err
	}
	reply, err := h.client.Do(request)
	if err != nil {
		return response{}, wroteHeaders.Load(), err
	}
	defer reply.Body.Close()
	content, err := io.ReadAll(io.LimitReader(reply.Body, maxResponseBytes))
	if err != nil {
		return response{}, true, err
	}
	return response{status: reply.StatusCode, body: content}, true, nil
}

// Commit implements Table.
func (h *HTTP) Commit(ctx context.Context, transaction Transaction) (Receipt, error) {
	body, err := json.Marshal(transaction)
	if err != nil {
		return Receipt{}, errors.Wrap(ErrRejected, err.Error())
	}
	answer, sent, err := h.do(ctx, http.MethodPost, "/table/commit", body)
	if err != nil && !sent {
		return Receipt{}, unavailable(err)
	}
	if err != nil {
		return Receipt{}, unknownOutcome(err)
	}
	return commitAnswer(answer)
}

// commitAnswer maps a complete answer to a commit. What can't be understood
// leaves the outcome unknown.
func commitAnswer(answer response) (Receipt, error) {
	switch answer.status {
	case http.StatusOK:
		var receipt Receipt
		if err := json.Unmarshal(answer.body, &receipt); err != nil {
			return Receipt{}, unknownOutcome(err)
		}
		return receipt, nil
	case http.StatusConflict:
		conflict := &ConflictError{}
		if err := json.Unmarshal(answer.body, conflict); err != nil {
			return Receipt{}, unknownOutcome(err)
		}
		return Receipt{}, conflict
	case http.StatusTooManyRequests:
		return Receipt{}, ErrThrottled
	case http.StatusServiceUnavailable:
		return Receipt{}, ErrUnavailable
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return Receipt{}, errors.Wrapf(ErrRejected, "%s", answer.body)
	default:
		return Receipt{}, errors.Wrapf(ErrUnknownOutcome, "status %d", answer.status)
	}
}

// read sends a request that may be repeated freely and returns its body.
func (h *HTTP) read(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	answer, _, err := h.do(ctx, method, path, body)
	if err != nil {
		return nil, unavailable(err)
	}
	switch answer.status {
	case http.StatusOK:
		return answer.body, nil
	case http.StatusNotFound:
		return nil, ErrNotFound
	case http.StatusTooManyRequests:
		return nil, ErrThrottled
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return nil, errors.Wrapf(ErrRejected, "%s", answer.body)
	default:
		return nil, errors.Wrapf(ErrUnavailable, "status %d", answer.status)
	}
}

// readJSON is read with a decoded body.
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
func (h *HTTP) Range(ctx context.Context, start, end string, limit int) ([]Row, error) {
	query := url.Values{"start": {start}, "end": {end}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := h.readJSON(ctx, http.MethodGet, "/table/range?"+query.Encode(), nil, &rows)
	return rows, err
}

// PutObject implements Objects. Putting the same content again is harmless,
// so ErrUnavailable here does not say whether the object is stored.
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

// unavailable gives the cause and makes errors.Is(err, ErrUnavailable) true.
func unavailable(cause error) error { return errors.Wrap(ErrUnavailable, cause.Error()) }

// unknownOutcome gives the cause and makes errors.Is(err, ErrUnknownOutcome) true.
func unknownOutcome(cause error) error { return errors.Wrap(ErrUnknownOutcome, cause.Error()) }
