package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/httpapi"
)

// CreateProgram starts a program. With a non-empty idempotency key, a repeated request returns the same
// program and is therefore safe.
func (c *Client) CreateProgram(ctx context.Context, idempotencyKey string, request api.CreateProgramRequest) (api.Program, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return api.Program{}, errors.Wrap(err, "encode program")
	}
	header := http.Header{}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	return c.program(ctx, call{
		method:     http.MethodPost,
		path:       "/v1/programs",
		body:       body,
		idempotent: idempotencyKey != "",
		header:     header,
	})
}

// Program returns a program's state.
func (c *Client) Program(ctx context.Context, id string) (api.Program, error) {
	return c.program(ctx, call{method: http.MethodGet, path: programPath(id), idempotent: true})
}

// EndProgram closes a program; ending it again changes nothing.
func (c *Client) EndProgram(ctx context.Context, id string) (api.Program, error) {
	return c.program(ctx, call{method: http.MethodDelete, path: programPath(id), idempotent: true})
}

func (c *Client) program(ctx context.Context, request call) (api.Program, error) {
	var program api.Program
	if err := c.do(ctx, request, decodeInto(&program)); err != nil {
		return api.Program{}, err
	}
	return program, nil
}

// Call runs a call and returns its final result; a failed call has a Code other than OK and returns no error.
// The same call may be repeated under the same sequence. A non-nil onPart receives the output as it arrives,
// in the caller's goroutine: each part replaces the output from its byte offset on. If the stream is
// interrupted, another node is used and the parts start again at 0.
func (c *Client) Call(ctx context.Context, program string, sequence int64, request api.CallRequest, onPart func(api.StreamPart)) (api.CallResult, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return api.CallResult{}, errors.Wrap(err, "encode call")
	}
	putRequest := call{method: http.MethodPut, path: callPath(program, sequence), body: body, idempotent: true, firstAttempt: isFirstAttempt(ctx)}
	if onPart != nil {
		putRequest.accept = httpapi.ContentTypeEvents
	}
	return c.callResult(ctx, putRequest, program, sequence, onPart)
}

// CallResult returns the result of an earlier call. For a call in progress it returns the error CallPending.
func (c *Client) CallResult(ctx context.Context, program string, sequence int64) (api.CallResult, error) {
	getRequest := call{method: http.MethodGet, path: callPath(program, sequence), idempotent: true}
	return c.callResult(ctx, getRequest, program, sequence, nil)
}

func (c *Client) callResult(ctx context.Context, request call, program string, sequence int64, onPart func(api.StreamPart)) (api.CallResult, error) {
	var result api.CallResult
	err := c.do(ctx, request, func(response *http.Response) error {
		result = api.CallResult{} // drop the partial result of a previous node
		if err := readCallResult(response, onPart, &result); err != nil {
			return err
		}
		return checkResult(result, program, sequence)
	})
	if err != nil {
		return api.CallResult{}, err
	}
	return result, nil
}

func readCallResult(response *http.Response, onPart func(api.StreamPart), result *api.CallResult) error {
	if contentType(response) == httpapi.ContentTypeEvents && onPart != nil {
		return readStream(response.Body, onPart, result)
	}
	return decodeInto(result)(response)
}

// readStream passes parts to onPart until a result or a problem ends the stream.
func readStream(source io.Reader, onPart func(api.StreamPart), result *api.CallResult) error {
	reader := newEventReader(source, maxResponseBytes)
	for {
		next, err := reader.next()
		if err != nil {
			return &TransportError{MaybeSent: true, Err: errors.Wrap(err, "stream ended early")}
		}
		switch next.name {
		case "part":
			var part api.StreamPart
			if err := decodeEvent(next, &part); err != nil {
				return err
			}
			onPart(part)
		case "result":
			return decodeEvent(next, result)
		case "problem":
			var problem api.Problem
			if err := decodeEvent(next, &problem); err != nil {
				return err
			}
			return problemError(problem)
		}
	}
}

func decodeEvent(source event, target any) error {
	if err := json.Unmarshal(source.data, target); err != nil {
		return &TransportError{MaybeSent: true, Err: errors.Wrapf(err, "decode event %q", source.name)}
	}
	return nil
}

// checkResult returns an error for the result of another call and for an incomplete output.
func checkResult(result api.CallResult, program string, sequence int64) error {
	if result.Program != program || result.Sequence != sequence {
		return &TransportError{MaybeSent: true, Err: errors.Newf("requested call %d of %s, got call %d of %s",
			sequence, program, result.Sequence, result.Program)}
	}
	if result.Output == "" || result.Digest == "" {
		return nil
	}
	digest, err := strconv.ParseUint(result.Digest, 16, 64)
	if err != nil || digest != xxhash.Sum64String(result.Output) {
		return &TransportError{MaybeSent: true, Err: errors.Newf("call %d of %s: the output does not match its digest", sequence, program)}
	}
	return nil
}

func programPath(id string) string { return "/v1/programs/" + url.PathEscape(id) }

func callPath(program string, sequence int64) string {
	return programPath(program) + "/calls/" + strconv.FormatInt(sequence, 10)
}
