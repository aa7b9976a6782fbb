package backend

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

// ToolClient implements Tool against an HTTP tool service. It is safe for
// concurrent use and sends each Run at most once.
type ToolClient struct {
	endpoint endpoint
}

var _ Tool = (*ToolClient)(nil)

// NewToolClient returns a client of the tool service at a base URL. If client is nil, it uses a new one
// from NewHTTPClient.
func NewToolClient(url string, client *http.Client) *ToolClient {
	return &ToolClient{endpoint: newEndpoint(url, client)}
}

// Run implements Tool. ErrUnreachable, ErrRefused, ErrLeaving and ErrFenced mean that the tool did not
// run; ErrOutcomeUnknown means that it may have run. That includes the end of ctx after a connection was
// obtained.
func (c *ToolClient) Run(ctx context.Context, request ToolRequest) (ToolResult, error) {
	body := WireToolRequest(request)
	var result WireToolResult
	if err := c.endpoint.doJSON(ctx, http.MethodPost, "/run", body, &result); err != nil {
		return ToolResult{}, err
	}
	return ToolResult(result), nil
}

// Lookup implements Tool. A call that has started and has no outcome yet is ErrUnreachable, like any other
// failure to read the outcome. ErrNoRecord implies nothing about a request that is still in flight to the
// tool.
func (c *ToolClient) Lookup(ctx context.Context, tool, idempotencyKey string) (ToolResult, error) {
	query := url.Values{"tool": {tool}, "key": {idempotencyKey}}
	var result WireToolResult
	err := c.endpoint.doJSON(ctx, http.MethodGet, "/outcome?"+query.Encode(), nil, &result)
	switch {
	case err == nil:
		return ToolResult(result), nil
	case errors.Is(err, ErrNoRecord), errors.Is(err, ErrUnreachable):
		return ToolResult{}, err
	default:
		return ToolResult{}, wrapAs(ctx, ErrUnreachable, errors.Wrap(err, "read outcome"))
	}
}
