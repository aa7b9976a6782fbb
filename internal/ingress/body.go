package ingress

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/requestmemory"
)

// readBody reads the whole body into memory, since an engine may reject the request and another one
// may then get it. The request's deadline and the memory for all requests bound it.
func (r *request) readBody(ctx context.Context) *api.Error {
	limit := r.view.Table.Configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.http.ContentLength > limit {
		return api.Errorf(api.RequestTooLarge, "body of %d bytes exceeds the limit of %d", r.http.ContentLength, limit)
	}
	if r.http.ContentLength == 0 {
		r.held = r.handler.options.Memory.Empty()
		r.bodyRead = true
		return nil
	}
	controller := http.NewResponseController(r.writer)
	abort := func() { _ = controller.SetReadDeadline(time.Now()) }
	_ = controller.SetReadDeadline(r.deadline) // a connection that cannot have one is that of a test
	keepReading := context.AfterFunc(ctx, abort)
	held, body, err := r.handler.options.Memory.Read(requestmemory.Source{Reader: http.MaxBytesReader(r.writer, r.http.Body, limit), Size: r.http.ContentLength, Abort: abort})
	r.held = held
	if cause := context.Cause(ctx); !keepReading() && (err == nil || errors.Is(cause, errDrained)) {
		err = cause // also if it arrived in full: the abort may have broken its connection
	} // otherwise ctx may have ended because the body could not be read
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		return bodyProblem(err, limit)
	}
	r.input, r.body = body, body
	r.bodyRead = true
	return nil
}

// bodyProblem returns the problem of a request whose body could not be read.
func bodyProblem(err error, limit int64) *api.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return api.Errorf(api.RequestTooLarge, "body exceeds the limit of %d bytes", limit)
	case errors.IsAny(err, requestmemory.ErrFull, requestmemory.ErrTooSlow):
		return api.Errorf(api.RequestMemoryFull, "%v", err).WithRetryAfter(backoff.Jitter(fullRetryAfter))
	case errors.Is(err, errDrained):
		return api.Errorf(api.Draining, "the body had not arrived when this node stopped").WithRetryAfter(backoff.Jitter(elsewhereRetryAfter))
	case errors.IsAny(err, os.ErrDeadlineExceeded, context.DeadlineExceeded):
		return api.Errorf(api.DeadlineExceeded, "the body had not arrived at the request's deadline")
	}
	return api.Errorf(api.MalformedRequest, "reading the body failed: %v", err)
}

// headLeeway is what a request's head may have beyond what headBytes counts: the separators between
// names and values, and the protocol in the request line.
const headLeeway = 64

// checkHead rejects a request whose head exceeds the limit of the configuration.
func (r *request) checkHead() *api.Error {
	limit := r.view.Table.Configuration.Limits.HeaderBytes
	if size := headBytes(r.http); limit > 0 && size > limit+headLeeway {
		return api.Errorf(api.RequestTooLarge, "request head of about %d bytes exceeds the limit of %d", size, limit)
	}
	return nil
}

// headBytes returns the size of a request's head, except for a few bytes.
func headBytes(request *http.Request) int {
	const separators = len(": ") + len("\r\n")
	size := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}
