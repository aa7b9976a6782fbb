package carry_test

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// silentCarrier is a carrier that answers nothing.
type silentCarrier struct{}

func (silentCarrier) Do(ctx context.Context, _ string, _ *wirepb.Request, _ func(offset int64, text []byte)) (*wirepb.Reply, error) {
	<-ctx.Done()
	return nil, context.Cause(ctx)
}

// TestSilentCarrierOfLastRunsIsSkippedForLonger guards against a lost carrier that keeps getting requests which may run on no other
// engine: being late already made it skipped, so that its loss did not double the time for which it is skipped. Each of these requests
// fails after 600 ms.
func TestSilentCarrierOfLastRunsIsSkippedForLonger(t *testing.T) {
	const observed, arrivals = time.Minute, 100 * time.Millisecond
	sends := make(map[bool]int) // by whether the requests may run on no other engine
	for _, lastRun := range []bool{false, true} {
		virtualtime.Test(t, func(t *testing.T) {
			client := carry.NewClient(carry.ClientOptions{MinNodes: 1, Node: "sender", IdleConnections: func(upstream.Destination) int { return 0 }})
			client.SetNodes(silentCarrier{}, "self", []carry.Node{{Address: "carrier"}})
			for start := time.Now(); time.Since(start) < observed; time.Sleep(arrivals) {
				request := carry.Request{Engine: engineIncarnation, Deadline: time.Now().Add(clientTimeout), LastRun: lastRun}
				if client.Choose(request, "", false).Peer == "" {
					continue
				}
				sends[lastRun]++
				if _, err := client.Send(t.Context(), "carrier", request); err == nil {
					t.Fatal("a silent carrier answered")
				}
			}
		})
	}
	if sends[true] > sends[false] {
		t.Errorf("in %s the silent carrier got %d requests that may run on no other engine, and %d others", observed, sends[true], sends[false])
	}
}
