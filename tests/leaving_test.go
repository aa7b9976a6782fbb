package tests

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/standin/engine"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// engineLeaves lets an engine itself say that it leaves.
func engineLeaves(d *deployment, w *workload) {
	setFaults(d.t, d.engineURLs[0], engine.Faults{Leaving: true})
	w.checkGetsNoWork(0)
	setFaults(d.t, d.engineURLs[0], engine.Faults{})
}

// engineListedLeaving lets the machine list alone say that an engine leaves:
// the engine would take any work.
func engineListedLeaving(d *deployment, w *workload) {
	described := d.bundle.Engines[1]
	machine := tablestore.Machine{Name: described.Name, Role: "engine", Zone: described.Zone, Address: described.URL, Leaving: true}
	d.announce(machine)
	w.checkGetsNoWork(1)
	machine.Leaving = false
	d.announce(machine)
}

func (d *deployment) announce(machine tablestore.Machine) {
	d.t.Helper()
	if err := command.Announce(d.t.Context(), d.platformURL, machine); err != nil {
		d.t.Fatal(err)
	}
}

// checkGetsNoWork waits until all nodes know that an engine leaves, and for
// the calls then under way. From then on the engine must start nothing, and
// no node may place a call on it.
func (w *workload) checkGetsNoWork(index int) {
	w.t.Helper()
	name, url := w.d.bundle.Engines[index].Name, w.d.engineURLs[index]
	marked := time.Now()
	for _, node := range w.d.nodes {
		waitUntil(w.t, node.name+" knows that "+name+" leaves", func(ctx context.Context) bool {
			return engineState(ctx, node, name) == "leaving"
		})
	}
	w.waitProgress(2 * callersAtOnce)
	settled := time.Now()
	w.waitProgress(4 * callersAtOnce)
	last := lastStart(fetch[[]engine.LogEntry](w.t, url+"/log"))
	w.t.Logf("%s started its last request %s after it was marked as leaving", name, max(0, last.Sub(marked)).Round(time.Millisecond))
	if last.After(settled) {
		w.t.Errorf("%s leaves and started a request", name)
	}
	decisions, err := w.d.nodes[0].operator().Explain(w.t.Context(), "", 0)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, decision := range decisions {
		if decision.Kind == explain.Placed && decision.Chosen == name && decision.At.After(settled) {
			w.t.Errorf("%s leaves and was chosen: %+v", name, decision)
		}
	}
}

func engineState(ctx context.Context, node *nodeProcess, name string) string {
	status, err := node.operator().Status(ctx)
	if err != nil {
		return ""
	}
	for _, known := range status.Engines {
		if known.Name == name {
			return known.State
		}
	}
	return ""
}

func lastStart(log []engine.LogEntry) time.Time {
	var last time.Time
	for _, entry := range log {
		if entry.Started.After(last) {
			last = entry.Started
		}
	}
	return last
}
