package originrecord

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestStreamsOfSplitRoutesAreKnownAfterAKill begins a stream of a route that is split over services of one version each. Such a stream is
// never concluded from the versions, so after a kill of all only a row can tell where it began.
func TestStreamsOfSplitRoutesAreKnownAfterAKill(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		first := startProcess(t, "a", store)
		first.set(false, 1)
		origin := origins.Origin{Stream: "stream", Service: "models", Version: "v1", Engine: "engine", EngineStart: 7,
			SentAt: time.Now(), ExpiresAt: time.Now().Add(streamTime), Attempt: 1}
		first.client.Begin(origin, origins.BeginOptions{RouteSplit: true})
		first.client.Began(origin)
		time.Sleep(2 * minWritePeriod)
		first.kill()
		second := startProcess(t, "b", store)
		finding := second.client.Find(t.Context(), origins.Query{Stream: "stream", Service: "models", RouteSplit: true})
		if finding.Basis != origins.ByStore || finding.Origin.Version != "v1" {
			t.Errorf("found %+v, want version v1 by the store", finding)
		}
		second.kill()
	})
}
