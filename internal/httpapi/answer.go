// Package httpapi holds what the callers' and the operators' HTTP endpoints share: problem responses, size-limited
// request bodies, keys and server-sent events. All functions are safe for concurrent use on distinct requests.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
)

// Content types of responses.
const (
	ContentTypeJSON    = "application/json"
	ContentTypeProblem = "application/problem+json"
	ContentTypeEvents  = "text/event-stream"
)

// Classify converts any error to an *api.Error with a defined code and an execution. An error that is not an
// *api.Error becomes Internal without its text, which is only for the log; a cancelled context becomes Cancelled.
// ProgramNotFound loses its detail, so that a program of another tenant cannot be distinguished from one that does
// not exist.
func Classify(err error) *api.Error {
	var problem *api.Error
	switch {
	case errors.As(err, &problem) && problem != nil:
		return normalise(problem)
	case errors.Is(err, context.Canceled):
		return api.Errorf(api.Cancelled, "the request was cancelled")
	}
	return api.Errorf(api.Internal, "unexpected fault")
}

func normalise(problem *api.Error) *api.Error {
	if problem.Code == api.ProgramNotFound {
		return api.Errorf(api.ProgramNotFound, "")
	}
	if problem.Code == api.OK || !problem.Code.IsDefined() {
		return api.Errorf(api.Internal, "unexpected fault")
	}
	copied := *problem
	if copied.Execution == "" {
		copied.Execution = copied.Code.Info().Execution
	}
	return &copied
}

// WriteProblem writes the error's RFC 9457 body with its status, and Retry-After if a delay is set.
func WriteProblem(writer http.ResponseWriter, problem *api.Error) {
	header := writer.Header()
	if problem.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(retryAfterSeconds(problem.RetryAfter), 10))
	}
	if problem.Code == api.Unauthenticated {
		header.Set("WWW-Authenticate", "Bearer")
	}
	body := problem.Problem()
	write(writer, ContentTypeProblem, body.Status, body)
}

// retryAfterSeconds rounds up to whole seconds, as the header requires.
func retryAfterSeconds(delay time.Duration) int64 {
	return max(1, int64(math.Ceil(delay.Seconds())))
}

// WriteJSON writes value as a JSON response.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	write(writer, ContentTypeJSON, status, value)
}

func write(writer http.ResponseWriter, contentType string, status int, value any) {
	body, err := Encode(value)
	if err != nil {
		status = http.StatusInternalServerError
		contentType = ContentTypeProblem
		body, _ = Encode(api.Errorf(api.Internal, "the answer could not be encoded").Problem())
	}
	header := writer.Header()
	header.Set("Content-Type", contentType)
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body) // fails only if the client has disconnected
}

// Encode returns value as one line of JSON that ends in a newline, without HTML escapes.
func Encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode response")
	}
	return buffer.Bytes(), nil
}
