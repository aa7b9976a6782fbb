package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
	"github.com/pewtermill/pewtermill/internal/upstream"
)

// TestEngineThatRefusesALaterAttemptHasEnded guards against leaving out an engine that ended under a request: the first connection
// attempt gets no response, as on a machine without processor time, no other engine shows whether this node is isolated, and a later
// attempt is refused.
func TestEngineThatRefusesALaterAttemptHasEnded(t *testing.T) {
	engine := operators.NewEngine("x", 1)
	t.Cleanup(engine.Server.Close)
	if err := engine.FallSilent(); err != nil {
		t.Fatal(err)
	}
	pool := upstream.NewPool(upstream.Options{DialTimeout: time.Second, AckTimeout: time.Second})
	t.Cleanup(pool.Close)
	examined := routing.Engine{ID: "x", Service: "s", Address: engine.Server.Listener.Addr().String()}
	view := &discovery.View{
		Table:   routing.NewTable(&routing.Configuration{Version: 1, Services: map[string]routing.Service{"s": {Name: "s"}}}),
		Engines: map[string]routing.Engine{"x": examined},
	}
	viewOf := func() *discovery.View { return view }
	handler := &Handler{options: Options{View: viewOf, Pool: pool}, prober: newProber(pool, viewOf, "")}
	ctx, cancel := context.WithTimeout(t.Context(), maxEndCheck)
	defer cancel()
	time.AfterFunc(probeTimeout+probeTimeout/2, engine.End)
	if got := handler.howEnded(ctx, examined, time.Now()); got != endRefused {
		t.Errorf("got %q, want %q", got, endRefused)
	}
}
