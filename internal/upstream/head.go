package upstream

import (
	"net/http"
	"strings"

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
	if err := CheckHeaderNames(response.Header); err != nil {
		return err
	}
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

// nameSymbols are the bytes that a header name may have besides letters and digits (RFC 9110, section 5.6.2).
const nameSymbols = "!#$%&'*+-.^_`|~"

// CheckHeaderNames returns an error if a header has an invalid name. Such a line would not be passed on, and what it states be ignored: with a blank
// before its colon, the length or the encoding of the body.
func CheckHeaderNames(header http.Header) error {
	for name := range header {
		if name == "" || strings.ContainsFunc(name, isNoNameSymbol) {
			return errors.Newf("the header name %.40q is invalid", name)
		}
	}
	return nil
}

// isNoNameSymbol reports whether a header name may not contain a character.
func isNoNameSymbol(character rune) bool {
	isLetter := 'a' <= character && character <= 'z' || 'A' <= character && character <= 'Z'
	isDigit := '0' <= character && character <= '9'
	return !isLetter && !isDigit && !strings.ContainsRune(nameSymbols, character)
}
