package upstream

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

// CheckHeads returns a round tripper that returns an error for an answer whose head is invalid, or that is preceded by an invalid interim one.
// The transport itself ignores lines with an invalid name, and reads the bytes behind an interim answer as the head of the next one.
func CheckHeads(transport *http.Transport) http.RoundTripper { return checkedTransport{transport} }

// checkedTransport implements CheckHeads.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	interim := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
		if interim++; interim > maxStaleResponses { // the transport limits them only without this function
			return errors.New("too many interim answers")
		}
		return checkHead(&http.Response{StatusCode: status, Header: http.Header(header)})
	}}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		return nil, errors.CombineErrors(err, response.Body.Close())
	}
	return response, nil
}
