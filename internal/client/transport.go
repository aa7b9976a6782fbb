package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/httpapi"
)

// Limits on what is read from a node.
const (
	maxHeadBytes     = 64 << 10
	maxResponseBytes = 64 << 20
	maxProblemBytes  = 1 << 20
)

// TransportError means that no node sent a usable response.
type TransportError struct {
	MaybeSent bool // whether a node may have received the request
	Err       error
}

// Error implements error.
func (e *TransportError) Error() string {
	if e.MaybeSent {
		return fmt.Sprintf("no answer to a request that was sent: %v", e.Err)
	}
	return fmt.Sprintf("no node reached: %v", e.Err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// call describes one request.
type call struct {
	method       string
	path         string // with query
	body         []byte
	idempotent   bool // repeating the request has no further effect
	firstAttempt bool // this call was certainly never sent before
	accept       string
	header       http.Header
}

// responseReader reads a successful response.
type responseReader func(response *http.Response) error

// do sends the request to the current node, and then to the other nodes while that is safe, to each at most once.
func (c *Client) do(ctx context.Context, request call, read responseReader) error {
	first := c.current.Load()
	var tracker executionTracker
	var err error
	for attempt := range uint32(len(c.baseURLs)) {
		node := (first + attempt) % uint32(len(c.baseURLs))
		if tracker.mayHaveRun {
			request.firstAttempt = false
		}
		err = c.doAt(ctx, c.baseURLs[node], request, read)
		if err == nil {
			c.current.Store(node)
			return nil
		}
		tryNext := ctx.Err() == nil && mayTryNext(err, request.idempotent)
		if request.method != http.MethodGet {
			err = tracker.record(err)
		}
		if !tryNext {
			c.current.Store(node)
			return err
		}
	}
	return err
}

// executionTracker records whether an attempt of a request may have run: a later attempt's rejection then implies
// nothing about the earlier one.
type executionTracker struct {
	mayHaveRun bool
}

// record records the next attempt's error and returns it with the execution that holds for all attempts so far.
func (c *executionTracker) record(err error) error {
	var transport *TransportError
	if errors.As(err, &transport) {
		c.mayHaveRun = c.mayHaveRun || transport.MaybeSent
		if c.mayHaveRun && !transport.MaybeSent {
			return &TransportError{MaybeSent: true, Err: transport.Err}
		}
		return err
	}
	var problem *api.Error
	if !errors.As(err, &problem) {
		return err
	}
	if problem.Execution != api.NotRun {
		c.mayHaveRun = true
		return err
	}
	if !c.mayHaveRun {
		return err
	}
	unknown := *problem
	unknown.Execution = api.Unknown
	return &unknown
}

// mayTryNext reports whether the request may be sent to another node after err.
func mayTryNext(err error, idempotent bool) bool {
	var transport *TransportError
	if errors.As(err, &transport) {
		return !transport.MaybeSent || idempotent
	}
	var problem *api.Error
	if !errors.As(err, &problem) || (problem.Execution != api.NotRun && !idempotent) {
		return false
	}
	switch problem.Code {
	case api.Draining, api.NotReady, api.OwnerMoving:
		return true
	}
	return false
}

func (c *Client) doAt(ctx context.Context, baseURL string, request call, read responseReader) error {
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, baseURL+request.path, bytes.NewReader(request.body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	for name, values := range request.header {
		httpRequest.Header[name] = values
	}
	if c.key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.key)
	}
	if len(request.body) > 0 {
		httpRequest.Header.Set("Content-Type", httpapi.ContentTypeJSON)
	}
	if request.firstAttempt {
		httpRequest.Header.Set(api.FirstAttemptHeader, "true")
	}
	if request.accept != "" {
		httpRequest.Header.Set("Accept", request.accept)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return &TransportError{MaybeSent: maybeSent(err), Err: err}
	}
	defer response.Body.Close()
	if contentType(response) == httpapi.ContentTypeProblem {
		return readProblem(response)
	}
	return read(response)
}

// maybeSent returns false only if no connection was made.
func maybeSent(err error) bool {
	var operation *net.OpError
	return !errors.As(err, &operation) || operation.Op != "dial"
}

func contentType(response *http.Response) string {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return mediaType
}

// readProblem returns the response's problem as an *api.Error.
func readProblem(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err != nil {
		return &TransportError{MaybeSent: true, Err: err}
	}
	var problem api.Problem
	if err := json.Unmarshal(body, &problem); err != nil {
		return unexpectedResponse(response)
	}
	result := problemError(problem)
	if result.RetryAfter == 0 {
		result.RetryAfter = retryAfter(response.Header)
	}
	return result
}

func problemError(problem api.Problem) *api.Error {
	return &api.Error{
		Code:       problem.Code,
		Detail:     problem.Detail,
		Execution:  problem.Execution,
		RetryAfter: time.Duration(problem.RetryAfterSeconds * float64(time.Second)),
	}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// unexpectedResponse returns the error for a response that no node sends, for example one of a proxy.
func unexpectedResponse(response *http.Response) error {
	return &TransportError{MaybeSent: true, Err: errors.Newf("unexpected response: status %d, content type %q",
		response.StatusCode, response.Header.Get("Content-Type"))}
}

// decodeInto returns a responseReader that decodes a JSON response into target.
func decodeInto(target any) responseReader {
	return func(response *http.Response) error {
		if contentType(response) != httpapi.ContentTypeJSON {
			return unexpectedResponse(response)
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		if err != nil {
			return &TransportError{MaybeSent: true, Err: err}
		}
		if err := json.Unmarshal(body, target); err != nil {
			return &TransportError{MaybeSent: true, Err: errors.Wrap(err, "decode response")}
		}
		return nil
	}
}
