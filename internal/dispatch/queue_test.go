package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
)

// An engine's whole batch may be used as soon as its first report is there,
// although its bundle came into force before.
func TestFirstReportOpensTheWholeBatch(t *testing.T) {
	const batch = 100
	options := Options{Node: "node", Cell: "dev", Recorder: explain.NewLog("node", 1), Client: &http.Client{Transport: &loadTransport{}}}
	fleet := newFleet(options)
	q := newQueue(options, fleet)
	described := bundle.Engine{Name: "engine", URL: "http://engine.invalid", Zone: "zone", Cell: "dev", Models: []string{"small"}}
	member := newEngineMember(described, backend.NewEngineClient(described.URL, options.Client))
	fleet.members.Store(&map[string]*engineMember{described.Name: member})
	now := time.Now()
	q.look(now) // no report yet
	q.states(fleet.Views())

	fleet.polled(member, backend.Load{Models: described.Models, MaxRunning: batch}, now, nil)
	q.look(now)
	states := q.states(fleet.Views())
	if slots := states[described.Name].Slots; slots != batch {
		t.Errorf("%d slots after the first report, want %d", slots, batch)
	}
}
