package ingress

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pewtermill/pewtermill/api"
)

// Retry-After of rejected requests, before jitter.
const (
	notReadyRetryAfter = 500 * time.Millisecond
	fullRetryAfter     = 150 * time.Millisecond
	// recordUnreadRetryAfter is for clients whose streams the store may have a record of, while it could not be read.
	recordUnreadRetryAfter = 300 * time.Millisecond
	// elsewhereRetryAfter is for clients whose next connection reaches another process.
	elsewhereRetryAfter = 20 * time.Millisecond
)

// statusOf returns the HTTP status of a problem. 503 promises that the request has not run and will
// not run; without that promise it is 502.
func statusOf(problem *api.Error) int {
	status := problem.Code.Info().HTTPStatus
	promisesNotRun := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case problem.Execution != api.NotRun && promisesNotRun:
		return http.StatusBadGateway
	case problem.Execution == api.NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	}
	return status
}

// refuse answers the client with a problem.
func (r *request) refuse(problem *api.Error) {
	r.report.Code = problem.Code
	r.report.Detail = problem.Detail
	header := r.writer.Header()
	r.handler.options.Protocol.SetOwnHeaders(header, r.call)
	status := statusOf(problem)
	if problem.RetryAfter > 0 {
		seconds := math.Ceil(problem.RetryAfter.Seconds()*1000) / 1000
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
		r.report.RetryAfter = problem.RetryAfter
	}
	if problem.Code == api.StoreDown {
		header.Set("Connection", "close") // another node may reach the store
	}
	content, err := json.Marshal(problem.Problem())
	if err != nil {
		content = []byte("{}")
	}
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(content)))
	r.report.Status = status
	unread := !r.bodyRead && r.http.ContentLength != 0
	if unread { // net/http reads up to 256 KiB of it before it writes the head
		_ = http.NewResponseController(r.writer).SetReadDeadline(time.Now().Add(drainBodyTimeout))
	}
	r.writer.WriteHeader(status)
	_, _ = r.writer.Write(content) // a disconnected client is not an error
	if unread {
		r.drainBody()
	}
}

// Limits of reading the rest of a rejected request's body.
const (
	maxDrainedBody   = defaultBodyBytes
	drainBodyTimeout = time.Second
)

// drainBody reads the rest of the body after a rejection, so that the connection is not reset while
// the client still sends, before the answer reaches it. net/http itself reads no more than 256 KiB.
func (r *request) drainBody() {
	controller := http.NewResponseController(r.writer)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(drainBodyTimeout))
	_, _ = io.CopyN(io.Discard, r.http.Body, maxDrainedBody)
}

// abortAnswer marks an answer that has started as truncated, so that it cannot look complete.
func (r *request) abortAnswer(reason string) {
	r.report.Code = api.BackendFailed
	r.report.Detail = reason
	r.report.Truncated = true
}
