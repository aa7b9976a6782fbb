// Package client is a typed HTTP client of the callers' and the operators'
// endpoints. Refusals and failures come back as *api.Error; a request that got
// no answer comes back as *TransportError.
package client

import (
	"net/http"
	"strings"
	"sync/atomic"
)

const maxIdleConnectionsPerNode = 256

// Client asks one of several equal nodes, and goes on to the next where that
// is safe. Safe for concurrent use.
type Client struct {
	baseURLs []string
	key      string
	http     *http.Client
	current  atomic.Uint32 // index of the node that answered last
}

// New returns a client of one node. baseURL has no path, as in
// "http://10.0.0.1:8080"; key may be empty where none is needed.
func New(baseURL, key string) *Client {
	return NewFailover([]string{baseURL}, key)
}

// NewFailover returns a client of several nodes, at least one.
func NewFailover(baseURLs []string, key string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConns = 0 // no limit beside the one per node
	transport.MaxIdleConnsPerHost = maxIdleConnectionsPerNode
	transport.DisableCompression = true
	return NewWithHTTP(baseURLs, key, &http.Client{Transport: transport})
}

// NewWithHTTP is like NewFailover, over the caller's own HTTP client, which
// should have no overall timeout, since answers may take long.
func NewWithHTTP(baseURLs []string, key string, httpClient *http.Client) *Client {
	trimmed := make([]string, 0, len(baseURLs))
	for _, baseURL := range baseURLs {
		trimmed = append(trimmed, strings.TrimRight(baseURL, "/"))
	}
	return &Client{baseURLs: trimmed, key: key, http: httpClient}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
