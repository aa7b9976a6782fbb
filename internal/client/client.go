// Package client is a typed HTTP client of the callers' and the operators' endpoints. Rejections and
// failures are returned as *api.Error; a request without a response is returned as *TransportError.
package client

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/pewtermill/pewtermill/internal/upstream"
)

const maxIdleConnectionsPerNode = 256

// Client sends requests to one of several equivalent nodes, and fails over to the next node if that is safe.
// Safe for concurrent use.
type Client struct {
	baseURLs []string
	key      string
	http     *http.Client
	current  atomic.Uint32 // index of the node that responded last
}

// New returns a client of one node. baseURL has no path, as in "http://10.0.0.1:8080"; key may be empty if
// none is needed.
func New(baseURL, key string) *Client {
	return NewFailover([]string{baseURL}, key)
}

// NewFailover returns a client of one or more nodes.
func NewFailover(baseURLs []string, key string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConns = 0 // no limit except the one per node
	transport.MaxIdleConnsPerHost = maxIdleConnectionsPerNode
	transport.DisableCompression = true
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return NewWithHTTP(baseURLs, key, &http.Client{Transport: upstream.CheckHeads(transport)})
}

// NewWithHTTP is like NewFailover with the caller's own HTTP client, which should have no overall timeout
// because responses may take long.
func NewWithHTTP(baseURLs []string, key string, httpClient *http.Client) *Client {
	urls := make([]string, 0, len(baseURLs))
	for _, baseURL := range baseURLs {
		urls = append(urls, strings.TrimRight(baseURL, "/"))
	}
	return &Client{baseURLs: urls, key: key, http: httpClient}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
