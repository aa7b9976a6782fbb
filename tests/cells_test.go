package tests

import (
	"testing"

	"github.com/pewtermill/pewtermill/api"
)

// Failures of two cells of two nodes each, whose callers ask nodes of both.
var cellFailures = []failure{
	{"cells in health", func(_ *deployment, w *workload) { w.waitProgress(4 * callersAtOnce) }},
	{"seed of a cell killed", killSeed},
	{"seed of a cell frozen", freezeNode},
	{"seed of a cell stopped", stopSeed},
}

// TestInvariantsOverTwoCells is TestInvariantsUnderFailure with programs of
// two cells, each of which is served through nodes of the other too.
func TestInvariantsOverTwoCells(t *testing.T) {
	t.Parallel()
	checkInvariants(t, size{engines: 3, nodes: 4, cells: 2}, cellFailures)
}

// killSeed kills a node that the bundle names as a seed of its cell; what
// takes its place has an address that the bundle does not name.
func killSeed(d *deployment, w *workload) {
	d.nodes[1].kill()
	w.waitTakeover(d.nodes[1].name)
	d.replaceNode(1, "replacement")
	w.waitProgress(2 * callersAtOnce)
}

func stopSeed(d *deployment, w *workload) {
	stopped := d.nodes[1]
	d.replaceNode(1, "replacement")
	stopped.stop()
	w.waitProgress(4 * callersAtOnce)
}

// TestFrozenSeedOfAnotherCell freezes one of two seeds of a cell for good and
// calls a program of that cell through the other cell. The caller sets no limit
// to how long it waits for an answer, so the node that it asks has to find out
// by itself that the seed does not answer.
func TestFrozenSeedOfAnotherCell(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, size{engines: 2, nodes: 4, cells: 2})
	created, err := d.nodes[1].caller().CreateProgram(t.Context(), "", api.CreateProgramRequest{Class: "batch", Budget: programBudget})
	if err != nil {
		t.Fatal(err)
	}
	history := newHistories()
	const calls = 8 // each goes by either seed, so that both are connected
	for sequence := int64(1); sequence <= calls; sequence++ {
		history.ask(t, d.nodes[0], created.ID, sequence)
	}
	d.neighbour(created.Owner).freeze()
	for sequence := int64(calls + 1); sequence <= 2*calls; sequence++ {
		history.ask(t, d.nodes[0], created.ID, sequence)
	}
}
