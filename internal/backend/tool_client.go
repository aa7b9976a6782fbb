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

// NewToolClient returns a client of the tool service at a base URL. A nil
// client means one of its own from NewHTTPClient.
func NewToolClient(url string, client *http.Client) *ToolClient {
	return &ToolClient{endpoint: newEndpoint(url, client)}
}

// Run implements Tool. ErrUnreachable, ErrRefused, ErrLeaving and ErrFenced
// mean that the tool did not run; ErrBroken that it may have, also when ctx
// ended after a connection was had.
func (c *ToolClient) Run(ctx context.Context, request ToolRequest) (ToolResult, error) {
	body := WireToolRequest(request)
	var answer WireToolResult
	if err := c.endpoint.doJSON(ctx, http.MethodPost, "/run", body, &answer); err != nil {
		return ToolResult{}, err
	}
	return ToolResult(answer), nil
}

// Lookup implements Tool. A call that has begun and has no outcome yet, like
// any other failure to learn the outcome, is ErrUnreachable. ErrNoRecord says
// nothing about a request that is still on its way to the tool.
func (c *ToolClient) Lookup(ctx context.Context, tool, idempotencyKey string) (ToolResult, error) {
	query := url.Values{"tool": {tool}, "key": {idempotencyKey}}
	var answer WireToolResult
	err := c.endpoint.doJSON(ctx, http.MethodGet, "/outcome?"+query.Encode(), nil, &answer)
	switch {
	case err == nil:
		return ToolResult(answer), nil
	case errors.Is(err, ErrNoRecord), errors.Is(err, ErrUnreachable):
		return ToolResult{}, err
	default:
		return ToolResult{}, ofKind(ctx, ErrUnreachable, errors.Wrap(err, "outcome not learnt"))
	}
}
