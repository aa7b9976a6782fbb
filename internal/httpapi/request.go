package httpapi

import (
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/requestmemory"
)

// Limits of requests.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultBodyTimeout    = 30 * time.Second
	maxKeyBytes           = 512
)

// fullRetryAfter is the mean delay after which a caller whose body found no memory should retry.
const fullRetryAfter = 500 * time.Millisecond

// BearerKey returns the key of the Authorization header, and false if there is no well-formed one.
func BearerKey(request *http.Request) (string, bool) {
	values := request.Header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(values[0], " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	if key == "" || len(key) > maxKeyBytes {
		return "", false
	}
	return key, true
}

// CheckHeaders rejects a request whose headers hold more than limit bytes in total.
func CheckHeaders(request *http.Request, limit int) *api.Error {
	size := 0
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > limit {
		return api.Errorf(api.RequestTooLarge, "the headers hold more than %d bytes", limit)
	}
	return nil
}

// BodyLimits bound the bodies of requests.
type BodyLimits struct {
	Bytes   int64         // of one body
	Timeout time.Duration // for one body to arrive
	Memory  *requestmemory.Memory
}

// ReadBody reads the whole body. The caller must release the returned memory when the body is no longer needed; it is nil
// if there is a problem.
func ReadBody(writer http.ResponseWriter, request *http.Request, limits BodyLimits) (*requestmemory.Body, []byte, *api.Error) {
	tooLarge := api.Errorf(api.RequestTooLarge, "the body holds more than %d bytes", limits.Bytes)
	if request.ContentLength > limits.Bytes {
		return nil, nil, tooLarge
	}
	controller := http.NewResponseController(writer)
	// ResponseWriters that do not support deadlines, as in tests, are read without one.
	_ = controller.SetReadDeadline(time.Now().Add(limits.Timeout))
	held, body, err := limits.Memory.Read(requestmemory.Source{
		Reader: http.MaxBytesReader(writer, request.Body, limits.Bytes),
		Size:   request.ContentLength,
		Abort:  func() { _ = controller.SetReadDeadline(time.Now()) },
	})
	var oversized *http.MaxBytesError
	switch {
	case errors.As(err, &oversized):
		return nil, nil, tooLarge
	case errors.IsAny(err, requestmemory.ErrFull, requestmemory.ErrTooSlow):
		writer.Header().Set("Connection", "close") // otherwise net/http waits for the rest before it writes the answer
		return nil, nil, api.Errorf(api.RequestMemoryFull, "%v", err).WithRetryAfter(backoff.Jitter(fullRetryAfter)).ForThisAttempt()
	case err != nil:
		return nil, nil, api.Errorf(api.MalformedRequest, "the body could not be read")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return held, body, nil
}
