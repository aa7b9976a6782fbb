package ingress

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
)

// readBody reads the caller's body whole, since an engine may turn the
// request away and another get it.
func (r *request) readBody() *api.Error {
	limit := r.view.Table.Configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.http.ContentLength > limit {
		return api.Errorf(api.RequestTooLarge, "the body of %d bytes is over the limit of %d", r.http.ContentLength, limit)
	}
	if r.http.ContentLength == 0 {
		return nil
	}
	limited := http.MaxBytesReader(r.writer, r.http.Body, limit)
	body, err := readSized(limited, r.http.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return api.Errorf(api.RequestTooLarge, "the body is over the limit of %d bytes", limit)
	case err != nil:
		return api.Errorf(api.MalformedRequest, "the body could not be read: %v", err)
	}
	r.body = body
	return nil
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
