package ingress

import (
	"net/http"
	"strings"
)

// connectionHeaders apply to a single connection and are never forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeaders returns a copy of the headers without those that apply to a single connection,
// and without those that Connection names.
func forwardedHeaders(header http.Header) http.Header {
	copied := make(http.Header, len(header)+4)
	for name, values := range header {
		copied[name] = values
	}
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(copied, name)
	}
	return copied
}

// writeHead forwards an engine's status and headers to the client.
func (r *request) writeHead(status int, header http.Header) {
	out := r.writer.Header()
	for name, values := range forwardedHeaders(header) {
		out[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		out["Content-Type"] = nil // net/http would guess one
	}
	if _, dated := header["Date"]; !dated {
		out["Date"] = nil
	}
	r.headWritten = true
	r.answerBegun.Store(true)
	r.report.Status = status
	r.writer.WriteHeader(status)
}
