package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/httpapi"
	"github.com/pewtermill/pewtermill/internal/operator"
)

const (
	operatorPath  = "/v1/operator"
	maxWatchBytes = 1 << 50 // a watch may last for months
)

// Status returns the fleet as the responding node sees it.
func (c *Client) Status(ctx context.Context) (api.FleetStatus, error) {
	var status api.FleetStatus
	err := c.do(ctx, operatorGet("/status", nil), decodeInto(&status))
	return status, err
}

// Programs lists a tenant's programs; an empty tenant means all.
func (c *Client) Programs(ctx context.Context, tenant string) ([]api.Program, error) {
	query := url.Values{}
	if tenant != "" {
		query.Set("tenant", tenant)
	}
	var programs []api.Program
	err := c.do(ctx, operatorGet("/programs", query), decodeInto(&programs))
	return programs, err
}

// Explain returns the decisions about a program (empty: any) and one of its
// calls (0: all).
func (c *Client) Explain(ctx context.Context, program string, sequence int64) ([]explain.Decision, error) {
	query := programQuery(program)
	if sequence != 0 {
		query.Set("sequence", strconv.FormatInt(sequence, 10))
	}
	var decisions []explain.Decision
	err := c.do(ctx, operatorGet("/explain", query), decodeInto(&decisions))
	return decisions, err
}

// Watch returns the responding node's decisions as it makes them, about one program and its sub-agents or,
// with an empty program, about all programs. The channel is closed when ctx ends or the stream is
// interrupted; until then the receiver must read from it or end ctx.
func (c *Client) Watch(ctx context.Context, program string) (<-chan explain.Decision, error) {
	decisions := make(chan explain.Decision)
	opened := make(chan error, 1)
	request := operatorGet("/watch", programQuery(program))
	request.accept = httpapi.ContentTypeEvents
	go func() {
		defer close(decisions)
		opened <- c.do(ctx, request, func(response *http.Response) error {
			if contentType(response) != httpapi.ContentTypeEvents {
				return unexpectedResponse(response)
			}
			opened <- nil
			forwardDecisions(ctx, response, decisions)
			return nil
		})
	}()
	if err := <-opened; err != nil {
		return nil, err
	}
	return decisions, nil
}

// forwardDecisions sends decisions to the channel until ctx ends or the stream is interrupted.
func forwardDecisions(ctx context.Context, response *http.Response, decisions chan<- explain.Decision) {
	reader := newEventReader(response.Body, maxWatchBytes)
	for {
		next, err := reader.next()
		if err != nil {
			return
		}
		var decision explain.Decision
		if decodeEvent(next, &decision) != nil {
			return
		}
		select {
		case decisions <- decision:
		case <-ctx.Done():
			return
		}
	}
}

// SubmitBundle submits a bundle as the next one in force. The request is not repeated after a lost response;
// use BundleStatus in that case.
func (c *Client) SubmitBundle(ctx context.Context, signed bundle.Signed) (operator.SubmitResult, error) {
	body, err := json.Marshal(signed)
	if err != nil {
		return operator.SubmitResult{}, errors.Wrap(err, "encode bundle")
	}
	var result operator.SubmitResult
	request := call{method: http.MethodPost, path: operatorPath + "/bundle", body: body}
	err = c.do(ctx, request, decodeInto(&result))
	return result, err
}

// Bundle returns the bundle in force on the responding node.
func (c *Client) Bundle(ctx context.Context) (bundle.Signed, error) {
	var signed bundle.Signed
	err := c.do(ctx, operatorGet("/bundle", nil), decodeInto(&signed))
	return signed, err
}

// BundleStatus returns the bundle version of each member.
func (c *Client) BundleStatus(ctx context.Context) (operator.BundleStatus, error) {
	var status operator.BundleStatus
	err := c.do(ctx, operatorGet("/bundle/status", nil), decodeInto(&status))
	return status, err
}

func operatorGet(path string, query url.Values) call {
	path = operatorPath + path
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return call{method: http.MethodGet, path: path, idempotent: true}
}

func programQuery(program string) url.Values {
	query := url.Values{}
	if program != "" {
		query.Set("program", program)
	}
	return query
}
