package ingress

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
)

// readBody reads the whole body into memory, since an engine may reject the request and another one
// may then get it.
func (r *request) readBody() *api.Error {
	limit := r.view.Table.Configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.http.ContentLength > limit {
		return api.Errorf(api.RequestTooLarge, "body of %d bytes exceeds the limit of %d", r.http.ContentLength, limit)
	}
	if r.http.ContentLength == 0 {
		r.bodyRead = true
		return nil
	}
	limited := http.MaxBytesReader(r.writer, r.http.Body, limit)
	body, err := readSized(limited, r.http.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return api.Errorf(api.RequestTooLarge, "body exceeds the limit of %d bytes", limit)
	case err != nil:
		return api.Errorf(api.MalformedRequest, "reading the body failed: %v", err)
	}
	r.input, r.body = body, body
	r.bodyRead = true
	return nil
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

// readSized reads to the end, into one allocation if the size is known.
func readSized(content io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(content)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(content, body)
	return body, err
}
