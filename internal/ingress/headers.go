package ingress

import (
	"net/http"
	"strings"
)

// connectionHeaders concern only one connection and are never passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// passedOn returns a copy of headers without those that concern only one
// connection, and without those that Connection names.
func passedOn(header http.Header) http.Header {
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

// writeHead passes an engine's status and headers on.
func (r *request) writeHead(status int, header http.Header) {
	out := r.writer.Header()
	for name, values := range passedOn(header) {
		out[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		out["Content-Type"] = nil // the library would guess one
	}
	if _, dated := header["Date"]; !dated {
		out["Date"] = nil
	}
	r.started = true
	r.report.Status = status
	r.writer.WriteHeader(status)
}
