package upstream

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// isInterim reports whether a status is that of an interim answer, which precedes the answer. Switching Protocols is a final one, and never
// requested here.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// checkHead returns an error if a head is not that of an answer, or not of a proper interim answer: where its body ends, or whether it has one,
// would be unknown.
func checkHead(response *http.Response) error {
	switch {
	case response.StatusCode >= http.StatusOK:
		return nil
	case !isInterim(response.StatusCode):
		return errors.Newf("the status %d is not that of an answer", response.StatusCode)
	case statesBody(response):
		return errors.Newf("the interim answer with status %d states a body", response.StatusCode)
	}
	return nil
}

// statesBody reports whether a head says that a body follows.
func statesBody(response *http.Response) bool {
	length := response.Header.Get("Content-Length")
	return len(response.TransferEncoding) > 0 || length != "" && length != "0"
}
