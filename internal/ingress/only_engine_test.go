package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/placement"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// pausedPeer is a carrier that is paused for 400 ms. It gives up a request that may run on another engine after 300 ms, as carry.Client does.
type pausedPeer struct{}

func (pausedPeer) Choose(carry.Request, string, bool) carry.Decision {
	return carry.Decision{Peer: "carrier", Reason: carry.Carried}
}

func (pausedPeer) Alive(context.Context, string) bool { return true }

func (pausedPeer) Send(_ context.Context, _ string, request carry.Request) (*http.Response, error) {
	if !request.LastRun {
		time.Sleep(300 * time.Millisecond)
		return nil, errors.Mark(errors.New("no acknowledgement in time"), carry.ErrLost)
	}
	time.Sleep(400 * time.Millisecond)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("whole"))}, nil
}

// fullPlacer places a request at its only engine, and at none afterwards.
type fullPlacer struct {
	onePlacer
}

func (p fullPlacer) Place(ctx context.Context, request placement.Request) (placement.Placement, *api.Error) {
	if len(request.Excluded) > 0 {
		return placement.Placement{}, api.Errorf(api.NoReadyBackend, "the other engines were tried")
	}
	return p.onePlacer.Place(ctx, request)
}

// TestRequestOfTheOnlyEngineWaitsForItsCarrier guards against requests that fail although their carrier was only paused: the route
// allows another attempt, but the service has no other engine, so that the request was given up for nothing.
func TestRequestOfTheOnlyEngineWaitsForItsCarrier(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		route := routing.Route{Name: "check", Kind: routing.Safe, MaxAttempts: 2}
		handler := newHandlerOfOneEngine(route, pausedPeer{}, func(only onePlacer) Placer { return fullPlacer{only} })
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodGet, "http://site.example/check", nil).WithContext(t.Context())
		cut := serveUntilAborted(handler, recorder, request)
		if cut || recorder.Code != http.StatusOK || recorder.Body.String() != "whole" {
			t.Errorf("the client got status %d and %q, cut: %v; want the answer of the only engine", recorder.Code, recorder.Body, cut)
		}
	})
}

// slowPeer is a carrier that runs, and whose engine answers after 600 ms.
type slowPeer struct{ pausedPeer }

func (slowPeer) Send(ctx context.Context, _ string, _ carry.Request) (*http.Response, error) {
	select {
	case <-time.After(600 * time.Millisecond): // virtual time
	case <-ctx.Done():
		return nil, errors.Mark(context.Cause(ctx), carry.ErrLost)
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("whole"))}, nil
}

// TestRequestOfTheOnlyEngineIsNotLeftOnSuspicion guards against requests that fail although their engine is at work: its zone was suspected to be
// lost, and the request was given up for another engine, though the service has none.
func TestRequestOfTheOnlyEngineIsNotLeftOnSuspicion(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		route := routing.Route{Name: "check", Kind: routing.Safe, MaxAttempts: 2}
		handler := newHandlerOfOneEngine(route, slowPeer{}, func(only onePlacer) Placer { return fullPlacer{only} })
		handler.(*Handler).options.ZoneLost = func(string) bool { return true }
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodGet, "http://site.example/check", nil).WithContext(t.Context())
		cut := serveUntilAborted(handler, recorder, request)
		if cut || recorder.Code != http.StatusOK || recorder.Body.String() != "whole" {
			t.Errorf("the client got status %d and %q, cut: %v; want the answer of the only engine", recorder.Code, recorder.Body, cut)
		}
	})
}
