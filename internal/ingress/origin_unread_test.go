package ingress

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/routing"
)

// unreadOrigins finds no origin: all peers responded, and the store did not.
type unreadOrigins struct{ Origins }

// Find implements Origins.
func (unreadOrigins) Find(context.Context, origins.Query) origins.Finding {
	return origins.Finding{Basis: origins.Unknown, PeersAsked: 2, PeersAnswered: 2, StoreError: errors.New("throttled")}
}

// TestStreamIsToRetryWhileTheStoreIsUnread resumes a stream after a failure of all nodes: no peer remembers it, and the store could not be
// read in time. A later try may find it there.
func TestStreamIsToRetryWhileTheStoreIsUnread(t *testing.T) {
	r := &request{handler: &Handler{options: Options{Origins: unreadOrigins{}}}, route: &routing.Route{}, service: "models",
		call: Call{ResumesID: "a", LastEvent: "3"}}
	problem := r.findOrigin(t.Context())
	if problem == nil || problem.Code != api.StreamVersionUnknown || problem.RetryAfter == 0 {
		t.Errorf("got %+v, want %d with a Retry-After", problem, api.StreamVersionUnknown)
	}
}
