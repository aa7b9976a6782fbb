package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/conversations"
	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/placement"
	"github.com/pewtermill/pewtermill/internal/poison"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// hangingEngine is a carrier through which one engine never answers, and all others at once.
type hangingEngine struct{ engine string }

func (hangingEngine) Choose(carry.Request, string, bool) carry.Decision {
	return carry.Decision{Peer: "carrier", Reason: carry.Carried}
}

func (hangingEngine) Alive(context.Context, string) bool { return true }

func (h hangingEngine) Send(ctx context.Context, _ string, request carry.Request) (*http.Response, error) {
	if request.Engine == h.engine {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("answer of " + request.Engine))}, nil
}

// orderedPlacer places each send at the first engine that the request has not tried.
type orderedPlacer struct {
	Placer
	engines []routing.Engine
}

func (p orderedPlacer) Place(_ context.Context, request placement.Request) (placement.Placement, *api.Error) {
	for _, engine := range p.engines {
		if !slices.Contains(request.Excluded, engine.ID) {
			return placement.Placement{Engine: engine}, nil
		}
	}
	return placement.Placement{}, api.Errorf(api.NoEngineInRegions, "no engine is left")
}
func (orderedPlacer) Answered(*placement.Placement)              {}
func (orderedPlacer) Done(placement.Placement, placement.Result) {}

// newHandlerOfTwoZones returns a handler of one route and two engines, "first" in zone-b, which hangs, and "second" in zone-c. No zone
// counts as lost when the handler asks.
func newHandlerOfTwoZones(route routing.Route) *Handler {
	engines := []routing.Engine{
		{ID: "first", Service: "models", Address: "127.0.0.1:1", Zone: "zone-b"},
		{ID: "second", Service: "models", Address: "127.0.0.1:2", Zone: "zone-c"},
	}
	route.Host, route.PathPrefix = "site.example", "/"
	route.Backends = []routing.Backend{{Service: "models", Weight: 1}}
	view := &discovery.View{
		Table: routing.NewTable(&routing.Configuration{Routes: []routing.Route{route},
			Services: map[string]routing.Service{"models": {Name: "models"}}}),
		Engines: map[string]routing.Engine{engines[0].ID: engines[0], engines[1].ID: engines[1]},
	}
	return New(Options{
		Protocol: plainProtocol{}, View: func() *discovery.View { return view }, Placer: orderedPlacer{engines: engines},
		Pool: upstream.NewPool(upstream.Options{DialTimeout: time.Second}), Carrier: hangingEngine{engine: "first"},
		Lines: conversations.NewCache(), EndedEngines: poison.NewMemory(), EndReporter: silentReporter{}, Observer: silentObserver{},
		ZoneLost: func(string) bool { return false },
	})
}

// TestShortSuspicionIsNotMissed makes a zone suspected between two checks of the watchdog, and trusted again before the next one. A
// request that hangs at an engine there resumes elsewhere at once.
func TestShortSuspicionIsNotMissed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		handler := newHandlerOfTwoZones(routing.Route{Name: "safe", Kind: routing.Safe, MaxAttempts: 2})
		recorder := httptest.NewRecorder()
		ctx, cancel := context.WithTimeout(t.Context(), stallAfter)
		defer cancel()
		request := httptest.NewRequest(http.MethodGet, "http://site.example/safe", nil).WithContext(ctx)
		start := time.Now()
		const suspectedAfter = zoneCheckAfter + 50*time.Millisecond
		time.AfterFunc(suspectedAfter, func() { handler.ZoneSuspected("zone-b") })
		handler.ServeHTTP(recorder, request)
		if got := recorder.Body.String(); recorder.Code != http.StatusOK || got != "answer of second" {
			t.Errorf("got status %d and %q, want the answer of the second engine", recorder.Code, got)
		}
		if took := time.Since(start); took != suspectedAfter {
			t.Errorf("answered after %s, the zone was suspected after %s", took, suspectedAfter)
		}
		if left := len(handler.zoneAttempts.byZone); left != 0 {
			t.Errorf("attempts of %d zones are kept after the request's end", left)
		}
	})
}

// TestSuspicionLeavesActiveAndOnlyEngines shows which requests stay at an engine when its zone becomes suspected: those that may run on
// one engine only, or have been offered to all, those whose engine has sent something of late, and those at engines of other zones.
func TestSuspicionLeavesActiveAndOnlyEngines(t *testing.T) {
	for name, test := range map[string]struct {
		maxAttempts int
		zone        string
		silentFor   time.Duration
		tried       []string // beside the engine itself
		leaves      bool
	}{
		"silent":                 {maxAttempts: 2, zone: "zone-b", silentFor: zoneCheckAfter, leaves: true},
		"active":                 {maxAttempts: 2, zone: "zone-b", silentFor: zoneCheckAfter - time.Millisecond},
		"only engine":            {maxAttempts: 1, zone: "zone-b", silentFor: zoneCheckAfter},
		"no other engine":        {maxAttempts: 2, zone: "zone-b", silentFor: zoneCheckAfter, tried: []string{"second"}},
		"engine of another zone": {maxAttempts: 2, zone: "zone-c", silentFor: zoneCheckAfter},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				route := routing.Route{Name: "safe", Kind: routing.Safe, MaxAttempts: test.maxAttempts}
				r := &request{handler: newHandlerOfTwoZones(route), route: &route}
				current := &attempt{placed: placement.Placement{Engine: routing.Engine{ID: "first", Service: "models", Zone: test.zone}}, request: r,
					startedAt: time.Now(), lastAllowed: test.maxAttempts == 1, tried: append(test.tried, "first")}
				current.watch(t.Context())
				defer func() { current.watchdog.Stop() }()
				time.Sleep(zoneCheckAfter / 2)
				current.recordActivity()
				current.watchdog.Stop()
				time.Sleep(test.silentFor)
				r.handler.ZoneSuspected("zone-b")
				if left := current.ctx.Err() != nil; left != test.leaves {
					t.Errorf("the request leaves its engine: %t, want %t", left, test.leaves)
				}
				if test.leaves && !current.leftOnSuspicion() {
					t.Errorf("the request left its engine since %v", context.Cause(current.ctx))
				}
			})
		})
	}
}
