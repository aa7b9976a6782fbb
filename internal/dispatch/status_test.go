package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/scheduler"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// engineStatus returns the status of one engine.
func engineStatus(t *testing.T, d *Dispatcher, name string) api.EngineStatus {
	t.Helper()
	for _, status := range d.Status() {
		if status.Name == name {
			return status
		}
	}
	t.Fatalf("no status of %s", name)
	return api.EngineStatus{}
}

func newTestDispatcher(fleet *Fleet) *Dispatcher {
	options := fleet.options
	options.Recorder = explain.NewLog("test", 16)
	return &Dispatcher{Options: options, fleet: fleet, queue: newQueue(options, fleet)}
}

// TestStatusMatchesTheScheduler checks that an engine shown as ready accepts calls at once, and that the
// status shows own calls and ejection.
func TestStatusMatchesTheScheduler(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := newTestNode(t, true)
		defer synctest.Wait()
		defer n.fleet.close()
		d := newTestDispatcher(n.fleet)
		withoutReports := newTestNode(t, false)
		defer withoutReports.fleet.close()
		if status := engineStatus(t, newTestDispatcher(withoutReports.fleet), "engine-a"); status.State != StateUnreachable {
			t.Errorf("before any report: %+v", status)
		}
		time.Sleep(time.Second)
		if status := engineStatus(t, d, "engine-a"); status.State != StateReady || status.InFlight != 0 {
			t.Errorf("after a report: %+v", status)
		}
		for attempt := range 30 {
			call := scheduler.Call{ID: fmt.Sprint(attempt), Model: "small", Submitted: time.Now(), Excluded: []string{"engine-b", "engine-c"}}
			assignment, refusal := d.queue.acquire(context.Background(), call)
			if refusal != nil {
				break
			}
			if status := engineStatus(t, d, assignment.Engine); status.InFlight != 1 {
				t.Errorf("with a call in flight: %+v", status)
			}
			d.queue.finish(call.ID, scheduler.Result{Engine: assignment.Engine})
		}
		if status := engineStatus(t, d, "engine-a"); status.State != StateEjected {
			t.Errorf("after failures in a row: %+v", status)
		}
	})
}
